package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.RoutingPolicy;
import ledgewall.standin.Client;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Attempts whose connection to a host comes up long after the decision to send them. */
@Timeout(60)
class LateConnectionTest {
    private static final long WINDOW_MS = 2_000;
    /** When the first attempt's connection is reset: within the window, so that a repeat is decided on. */
    private static final long RESET_AFTER_MS = 1_600;
    /** How long later connections take to come up: past the window's end. */
    private static final long STARTUP_MS = 1_500;

    private final RouterHarness harness = new RouterHarness();
    /** When each copy of the keyed write arrived, by System.nanoTime. */
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    private static void sleep(long millis) {
        long until = System.nanoTime() + millis * RouterHarness.MS;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /** A primary that closes each connection after one probe, and resets the connection of the first keyed write late. */
    private StubServer primary() throws IOException {
        return new StubServer(connection -> {
            if (!arrivals.isEmpty()) {
                sleep(STARTUP_MS);
            }
            connection.acceptStartup();
            String sql = connection.readQuery();
            if (sql == null) {
                return; // the router has given this connection up
            }
            if (!sql.contains("c=keyed")) {
                connection.write(Wire.report(System.currentTimeMillis(), true));
                return;
            }
            arrivals.add(System.nanoTime());
            if (arrivals.size() == 1) {
                sleep(RESET_AFTER_MS);
                connection.reset();
            }
        });
    }

    /** A policy whose sends may be written until the moment in which it is asked, so that the I/O thread is always too late. */
    private record LateWritePolicy(ScriptedPolicy script) implements RoutingPolicy {
        @Override
        public List<Action> decide(long now, List<Event> events) {
            return script.decide(now, events);
        }

        @Override
        public long confirmSend(long now, long request, int attempt) {
            return now;
        }
    }

    /** Guards against a query that was permitted when the event loop handed it over, and is written after its latest time. */
    @Test
    void queryToWhichTheIoThreadComesTooLateIsNotWritten() throws IOException, InterruptedException {
        List<String> queries = new CopyOnWriteArrayList<>();
        StubServer host = StubServer.host((connection, sql) -> queries.add(sql));
        ScriptedPolicy script = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(new LateWritePolicy(script));
        harness.client().send(RouterHarness.lookQuery("1"));
        assertEquals(RoutingPolicy.Result.WITHDRAWN, script.next(RoutingPolicy.Outcome.class).result());
        assertEquals(List.of(), queries);
        assertEquals(1, harness.router().counts().of(AttemptOutcome.WITHDRAWN));
    }

    /** Guards against a keyed write that is repeated after its hosts have stopped remembering the first copy. */
    @Test
    void keyedWriteIsNotRepeatedAfterItsWindowWhenItsConnectionComesUpLate() throws IOException {
        harness.deduplicationWindowMs(WINDOW_MS).host("m", primary()).startWith(ReplicaRoutingPolicy::new);
        Client client = harness.client();
        client.send(Wire.query("/* id=k1,c=keyed,t=acme,d=60000,cluster=2 */ INSERT INTO facts (code, data)"
            + " VALUES ('k1', '\\x01') RETURNING data"));
        assertEquals("E", client.readTypesUntilReady());
        sleep(STARTUP_MS);
        for (long arrival : arrivals) {
            long ageMs = (arrival - arrivals.get(0)) / RouterHarness.MS;
            assertTrue(ageMs <= WINDOW_MS, "a copy came " + ageMs + " ms after the first");
        }
    }
}
