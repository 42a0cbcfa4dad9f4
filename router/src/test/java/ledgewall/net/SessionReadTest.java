package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sessions that write at a primary and read what they wrote, beside a replica that has stopped applying commits. */
@Timeout(60)
class SessionReadTest {
    private static final long WINDOW_MS = 5_000;
    private static final long COUNT_TIMEOUT_MS = 20_000;
    private static final long TIMEOUT_MS = 60_000;
    private static final long SHORT_TIMEOUT_MS = 1_500;
    private static final String INSERT = "INSERT INTO facts (code, data) VALUES ('s1', '\\x01') RETURNING data";

    private final RouterHarness harness = new RouterHarness();
    /** Up to when the replica has applied commits, in Unix milliseconds; the present if that is earlier. */
    private volatile long replicaPositionMs = System.currentTimeMillis();
    private long lastId;

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** How the primary answers a write. */
    private interface WriteAnswer {
        void send(StubServer.Connection connection, long commitMs) throws IOException;
    }

    /** Starts a router before a primary, which answers reads with "p" and writes as given, and a replica, which answers "r". */
    private Client start(WriteAnswer writeAnswer) throws IOException {
        StubServer primary = StubServer.host((connection, sql) -> {
            if (sql.startsWith("SHOW")) {
                connection.write(Wire.report(System.currentTimeMillis(), true));
            } else if (sql.contains("INSERT")) {
                writeAnswer.send(connection, System.currentTimeMillis());
            } else {
                connection.write(Wire.row("p"), Wire.param("mode", "read-write"), Wire.ready());
            }
        });
        StubServer replica = StubServer.host((connection, sql) -> connection.write(sql.startsWith("SHOW")
            ? Wire.report(Math.min(replicaPositionMs, System.currentTimeMillis()), false)
            : Wire.join(Wire.row("r"), Wire.param("mode", "read-only"), Wire.ready())));
        harness.deduplicationWindowMs(WINDOW_MS).host("p", primary).host("r", replica).startWith(ReplicaRoutingPolicy::new);
        return harness.client();
    }

    /** Sends a request until it is served, since a refusal says nothing about the member; returns the value. */
    private String serve(Client client, String className, long timeoutMs, String sql) throws IOException {
        while (true) {
            client.send(Wire.query("/* id=" + ++lastId + ",c=" + className + ",t=acme,d=" + timeoutMs + ",cluster=2 */ " + sql));
            List<Message> answer = client.readUntilReady();
            if (answer.get(0).type() == 'T') {
                byte[] row = answer.get(1).body();
                return Character.toString(row[row.length - 1]);
            }
        }
    }

    private void write(Client client) throws IOException {
        serve(client, "keyed", TIMEOUT_MS, INSERT);
    }

    private String read(Client client) throws IOException {
        return serve(client, "own", TIMEOUT_MS, "SELECT data FROM facts WHERE code = 's1'");
    }

    /** Waits until a counter has a value: the client can have its answer before the exchange with the member has ended. */
    private void awaitCount(long expected, Counters.Count count) {
        long until = System.nanoTime() + COUNT_TIMEOUT_MS * RouterHarness.MS;
        while (harness.router().counts().of(count) < expected && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(expected, harness.router().counts().of(count), count.name());
    }

    /** Guards against a session that reads without its write where the answer to the write told no position that can be used. */
    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-1", "none", "NaN", "1e300", "1767225600", "SECONDS", "AHEAD"})
    void readAfterAWriteWithoutAUsablePositionGoesToThePrimary(String position) throws IOException {
        Client client = start((connection, commitMs) -> connection.write(Wire.row("w"),
            Wire.param("wal_time", position.equals("SECONDS") ? Long.toString(commitMs / 1_000)
                : position.equals("AHEAD") ? Long.toString(commitMs + 3_600_000) : position), Wire.ready()));
        assertReadsFollowTheWrite(client);
    }

    /** Guards against the same where the connection breaks behind CommandComplete, so that the position never comes. */
    @ParameterizedTest
    @ValueSource(strings = {"closed", "reset", "garbage", "error", "position of the time before, reset"})
    void readAfterAWriteWhoseReplyBreaksOffGoesToThePrimary(String end) throws IOException {
        Client client = start((connection, commitMs) -> {
            byte[] before = end.startsWith("position") ? Wire.param("wal_time", "" + replicaPositionMs) : new byte[0];
            connection.write(Wire.row("w"), before, switch (end) {
                case "garbage" -> new byte[] {'T', -1, -1, -1, -1, 0};
                case "error" -> Wire.error("XX000");
                default -> new byte[0];
            });
            if (end.endsWith("reset")) {
                connection.reset();
            } else if (end.equals("closed")) {
                throw new IOException("the script ends, which closes the connection");
            }
        });
        assertReadsFollowTheWrite(client);
    }

    /** The replica takes the session's reads up to its write, and the primary those after it. */
    private void assertReadsFollowTheWrite(Client client) throws IOException {
        assertEquals("r", read(client));
        write(client);
        assertEquals("p", read(client));
    }

    /** Guards against a read that comes while the reply to its session's write, with the position, has not ended. */
    @Test
    void readBeforeTheEndOfTheReplyToAWriteGoesToThePrimary() throws IOException {
        CountDownLatch hasRead = new CountDownLatch(1);
        Client client = start((connection, commitMs) -> {
            connection.write(Wire.row("w"));
            AttemptOutcomeTest.await(hasRead);
            connection.write(Wire.param("wal_time", Long.toString(commitMs)), Wire.ready());
        });
        assertReadsFollowTheWrite(client);
        hasRead.countDown();
        assertEquals("p", read(client));
        awaitCount(0, Counters.Count.WRITES_WITHOUT_POSITION);
    }

    /** Guards against the same where the reply never ends, so that the attempt runs out of time after its answer. */
    @Test
    void readAfterAWriteWhoseReplyNeverEndsGoesToThePrimary() throws IOException {
        Client client = start((connection, commitMs) -> {
            connection.write(Wire.row("w"));
            connection.awaitClose();
        });
        assertEquals("r", read(client));
        serve(client, "keyed", SHORT_TIMEOUT_MS, INSERT);
        assertEquals("p", read(client));
        awaitCount(1, Counters.Count.WRITES_WITHOUT_POSITION);
        assertEquals("p", read(client));
    }

    /** A write without a position keeps its session at the primary only until a replica is known to have applied it. */
    @Test
    void replicaServesTheSessionAgainOnceItHasAppliedAWriteOfUnknownPosition() throws IOException {
        Client client = start((connection, commitMs) -> {
            connection.write(Wire.row("w"));
            connection.reset();
        });
        assertReadsFollowTheWrite(client);
        replicaPositionMs = Long.MAX_VALUE;
        long until = System.nanoTime() + COUNT_TIMEOUT_MS * RouterHarness.MS;
        while (read(client).equals("p")) {
            assertTrue(System.nanoTime() < until, "the session stays at the primary");
        }
    }

    /** The counters show what sessions cost the primary, and which writes leave their position open. */
    @Test
    void sessionReadsAtThePrimaryAndWritesWithoutAPositionAreCounted() throws IOException {
        AtomicBoolean tellsPosition = new AtomicBoolean(true);
        Client client = start((connection, commitMs) -> connection.write(Wire.row("w"),
            tellsPosition.get() ? Wire.param("wal_time", Long.toString(commitMs)) : new byte[0], Wire.ready()));
        assertEquals("r", read(client));
        write(client);
        assertEquals("p", read(client));
        awaitCount(2, Counters.Count.SESSION_READS);
        awaitCount(1, Counters.Count.SESSION_READS_AT_PRIMARY);
        awaitCount(0, Counters.Count.WRITES_WITHOUT_POSITION);
        tellsPosition.set(false);
        write(client);
        awaitCount(1, Counters.Count.WRITES_WITHOUT_POSITION);
    }
}
