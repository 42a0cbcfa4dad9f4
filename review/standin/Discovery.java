import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent: the whole list, and watches. Each change is written to every open watch at once. */
final class Discovery implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Integer> changedAt = new LinkedHashMap<>();
    private int revision = 1;

    Discovery() throws IOException {
        Threads.start("discovery", () -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start("discovery-call", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void put(String id, String entry) {
        entries.put(id, entry);
        changedAt.put(id, ++revision);
        notifyAll();
    }

    synchronized String fullList() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", entries.values()) + "]}";
    }

    private synchronized String changesSince(int since) {
        List<String> changed = new ArrayList<>();
        changedAt.forEach((id, at) -> {
            if (at > since) {
                changed.add(entries.get(id));
            }
        });
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", changed) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request = in.readLine();
            for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            if (request == null) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            int at = request.indexOf("since=");
            if (at < 0) {
                byte[] body = Wire.ascii(fullList() + "\n");
                out.write(Wire.join(Wire.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n"), body));
                return;
            }
            int known = Integer.parseInt(request.substring(at + 6).split("[ &]")[0]);
            out.write(Wire.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
            boolean first = true;
            while (true) {
                String line;
                synchronized (this) {
                    if (!first && revision <= known) {
                        wait(2_000);
                    }
                    line = first || revision > known ? changesSince(known) : "";
                    known = revision;
                    first = false;
                }
                byte[] chunk = Wire.ascii(line + "\n");
                out.write(Wire.join(Wire.ascii(Integer.toHexString(chunk.length) + "\r\n"), chunk, Wire.ascii("\r\n")));
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
