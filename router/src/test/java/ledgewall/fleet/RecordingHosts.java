package ledgewall.fleet;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import ledgewall.standin.ArrivalLog;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;

/** Stands in for hosts of one role that take their time, and records when each request reached one of them. */
final class RecordingHosts implements AutoCloseable {
    private final boolean primary;
    private final StubServer server;
    private final ArrivalLog arrivals = new ArrivalLog("");
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

    ArrivalLog arrivals() {
        return arrivals;
    }

    private void answer(StubServer.Connection connection, String sql) throws IOException {
        long now = System.currentTimeMillis();
        if (sql.startsWith("SHOW")) {
            connection.write(Wire.report(now, primary));
            return;
        }
        arrivals.record(sql);
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
