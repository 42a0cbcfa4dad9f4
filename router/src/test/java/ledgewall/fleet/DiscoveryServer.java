package ledgewall.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import ledgewall.standin.StubServer;

/** A discovery server for tests: it serves the full list and watches, and publishes the changes that a test makes. */
final class DiscoveryServer implements AutoCloseable {
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final long HEARTBEAT_INTERVAL_MS = 1_000;

    private final StubServer server;
    /** Entries of the full list, as JSON. */
    private final List<String> entries;
    /** Updates published so far, as JSON; the first one has revision 2. */
    private final List<String> changes = new ArrayList<>();
    private final AtomicLong bodyBytes = new AtomicLong();

    DiscoveryServer(List<String> entries) throws IOException {
        this.entries = entries;
        this.server = new StubServer(this::serve);
    }

    String address() {
        return server.address();
    }

    /** The number of bytes written in response bodies, without chunk headers. */
    long bodyBytes() {
        return bodyBytes.get();
    }

    String fullList() {
        return "{\"revision\":" + revision() + ",\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
    }

    synchronized int revision() {
        return changes.size() + 1;
    }

    /** Publishes entries as a change. The full list keeps the entries it was created with. */
    synchronized void publish(List<String> changed) {
        changes.add("{\"revision\":" + (changes.size() + 2) + ",\"complete\":false,\"members\":["
            + String.join(",", changed) + "]}");
        notifyAll();
    }

    private void serve(StubServer.Connection connection) throws IOException {
        String head = connection.readRequestHead();
        int sinceIndex = head.indexOf("since=");
        if (sinceIndex < 0) {
            byte[] body = fullList().getBytes(StandardCharsets.UTF_8);
            bodyBytes.addAndGet(body.length);
            connection.write((RESPONSE_HEAD + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8),
                body);
            return;
        }
        connection.write((RESPONSE_HEAD + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        int knownChanges = Integer.parseInt(head.substring(sinceIndex + "since=".length(), head.indexOf(' ', sinceIndex))) - 1;
        while (true) {
            String line = awaitChange(knownChanges);
            knownChanges += line.isEmpty() ? 0 : 1;
            byte[] chunk = (line + "\n").getBytes(StandardCharsets.UTF_8);
            bodyBytes.addAndGet(chunk.length);
            connection.write((Integer.toHexString(chunk.length) + "\r\n").getBytes(StandardCharsets.UTF_8), chunk,
                "\r\n".getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Waits for the change that follows the known ones; returns an empty line, as a heartbeat, if none comes in time. */
    private synchronized String awaitChange(int knownChanges) throws IOException {
        try {
            if (changes.size() <= knownChanges) {
                wait(HEARTBEAT_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return changes.size() > knownChanges ? changes.get(knownChanges) : "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
