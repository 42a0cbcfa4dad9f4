package ledgewall.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import ledgewall.standin.StubServer;

/** Discovery of a fleet of any size: whole lists, watches, and one member that starts anew with each change. */
final class MemberDirectory implements AutoCloseable {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final long HEARTBEAT_MS = 1_000;

    private final StubServer server;
    private final List<String> entries;
    private final List<String> changes = new ArrayList<>();
    private final AtomicLong bytes = new AtomicLong();

    MemberDirectory(List<String> entries) throws IOException {
        this.entries = entries;
        this.server = new StubServer(this::answer);
    }

    String address() {
        return server.address();
    }

    /** Bytes of bodies written. */
    long bytes() {
        return bytes.get();
    }

    String whole() {
        return "{\"revision\":" + revision() + ",\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
    }

    synchronized int revision() {
        return changes.size() + 1;
    }

    /** Has these members told as a change; entries of the whole list stay as they are. */
    synchronized void change(List<String> changed) {
        changes.add("{\"revision\":" + (changes.size() + 2) + ",\"complete\":false,\"members\":["
            + String.join(",", changed) + "]}");
        notifyAll();
    }

    private void answer(StubServer.Connection connection) throws IOException {
        String head = connection.readRequestHead();
        int since = head.indexOf("since=");
        if (since < 0) {
            byte[] body = whole().getBytes(StandardCharsets.UTF_8);
            bytes.addAndGet(body.length);
            connection.write((HEAD + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8), body);
            return;
        }
        connection.write((HEAD + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        int next = Integer.parseInt(head.substring(since + "since=".length(), head.indexOf(' ', since))) - 1;
        while (true) {
            String line = await(next);
            next += line.isEmpty() ? 0 : 1;
            byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
            bytes.addAndGet(text.length);
            connection.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.UTF_8), text,
                "\r\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The change after that many; an empty line if there is none for a while. */
    private synchronized String await(int known) throws IOException {
        try {
            if (changes.size() <= known) {
                wait(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return changes.size() > known ? changes.get(known) : "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
