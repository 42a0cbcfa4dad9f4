package ledgewall.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;

/** Stands in for hosts of one role that take their time, and records when each request reached one of them. */
final class RecordingHosts implements AutoCloseable {
    private final boolean primary;
    private final StubServer server;
    /** By request id, the times of {@link System#nanoTime()} at which its last byte came. */
    private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();
    private volatile long delayMillis;
    private volatile boolean turnsAway;

    RecordingHosts(boolean primary) throws IOException {
        this.primary = primary;
        this.server = StubServer.host(this::answer);
    }

    String address() {
        return server.address();
    }

    /** Has requests take this long, and then be answered, or turned away with SQLSTATE 53300. */
    RecordingHosts answerAfter(long millis, boolean turnAway) {
        delayMillis = millis;
        turnsAway = turnAway;
        return this;
    }

    /** When the request reached a host, once for each attempt. */
    List<Long> arrivalsOf(String id) {
        return arrivals.getOrDefault(id, List.of());
    }

    private void answer(StubServer.Connection connection, String sql) throws IOException {
        long now = System.currentTimeMillis();
        if (sql.startsWith("SHOW")) {
            String report = "x0=" + now / 1e3 + ",x1=" + (primary ? 1 : 0);
            connection.write(Wire.row(report.getBytes(StandardCharsets.UTF_8)), Wire.ready());
            return;
        }
        String id = sql.substring(sql.indexOf("id=") + 3, sql.indexOf(','));
        arrivals.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
        sleep(delayMillis);
        if (turnsAway) {
            connection.write(Wire.error("53300"), Wire.ready());
        } else {
            connection.write(Wire.param("mode", primary ? "read-write" : "read-only"), Wire.param("wal_time", "" + now),
                Wire.row(new byte[] {'v'}), Wire.ready());
        }
    }

    private static void sleep(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
