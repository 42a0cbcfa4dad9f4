import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stands in for the agent through which a router reaches discovery: the whole list, and a watch on changes. */
final class DiscoveryAgent implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final long HEARTBEAT_MILLIS = 2_000;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Map<String, String> entries = new LinkedHashMap<>();
    private int revision = 1;
    private boolean silent;
    private volatile long delayMillis;

    DiscoveryAgent(Collection<DatabaseHost> hosts) throws IOException {
        hosts.forEach(host -> entries.put(host.id, host.entry("Ready")));
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The whole list. */
    synchronized String list() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", entries.values()) + "]}";
    }

    /** Changes one host's entry; open watches tell it. */
    synchronized void change(DatabaseHost host, String phase) {
        entries.put(host.id, host.entry(phase));
        revision++;
        notifyAll();
    }

    /** Begins or ends a time in which discovery is down: the agent takes connections and says nothing. */
    synchronized void silent(boolean value) {
        silent = value;
        notifyAll();
    }

    /** Sets how long the agent takes to answer a call. */
    void delay(long millis) {
        delayMillis = millis;
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String requestLine = in.readLine();
            for (String line = requestLine; line != null && !line.isEmpty(); line = in.readLine()) {
                continue; // the head's other lines tell nothing that matters
            }
            if (requestLine == null) {
                return;
            }
            Thread.sleep(delayMillis);
            awaitSpeech();
            String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            OutputStream out = socket.getOutputStream();
            int since = requestLine.indexOf("since=");
            if (since < 0) {
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                out.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(body);
            } else {
                out.write((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                watch(out, Integer.parseInt(requestLine.substring(since + "since=".length(), requestLine.indexOf(' ', since))));
            }
            out.flush();
        }
    }

    private synchronized void awaitSpeech() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    private void watch(OutputStream out, int since) throws IOException, InterruptedException {
        int told = since;
        while (true) {
            String line;
            synchronized (this) {
                if (told == revision && !silent) {
                    wait(HEARTBEAT_MILLIS);
                }
                awaitSpeech();
                line = told == revision ? "" : list();
                told = revision;
            }
            byte[] chunk = (line + "\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(chunk.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(chunk);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
