package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.RoutingPolicy.Outcome;
import ledgewall.RoutingPolicy.ProbeResult;
import ledgewall.RoutingPolicy.Result;
import ledgewall.RoutingPolicy.Role;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Hosts whose answers bring a second copy that arrives only once the next message on the connection has been written. */
@Timeout(60)
class StrayAnswerTest {
    private static final String REPORT = "x0=1767225600.123,x1=1";
    private static final long LONGER_THAN_SETTLING_NANOS = 15 * RouterHarness.MS;

    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** Sends each request to the host, again if its attempt fails and attempts are left, and fails it else. */
    private static ScriptedPolicy retryingPolicy() {
        return new ScriptedPolicy(event ->
            event instanceof Arrival arrival ? List.of(new RoutingPolicy.Send(arrival.request(), "m", 0))
            : event instanceof Outcome outcome && !outcome.complete() ? List.of(outcome.attempt() < 2
                ? new RoutingPolicy.Send(outcome.request(), "m", 0) : new RoutingPolicy.Fail(outcome.request()))
            : List.of());
    }

    /** Answers each statement with its id, or with a report; empty queries as PostgreSQL does. */
    private static byte[] answer(String sql) {
        if (sql.isEmpty()) {
            return Wire.join(Wire.emptyQueryResponse(), Wire.ready());
        }
        String value = sql.equals("SHOW stats") ? REPORT : sql.substring(sql.indexOf("id=") + 3, sql.indexOf(','));
        return Wire.join(Wire.row(value.getBytes(StandardCharsets.US_ASCII)), Wire.ready());
    }

    /** A host that sends the second copy of an answer when the next message has arrived, and then replies to that. */
    private static StubServer lateCopyingHost() throws IOException {
        return new StubServer(connection -> {
            connection.acceptStartup();
            byte[] copy = new byte[0];
            for (String sql = connection.readAnyQuery(); sql != null; sql = connection.readAnyQuery()) {
                connection.write(copy, answer(sql));
                copy = sql.isEmpty() ? new byte[0] : answer(sql);
            }
        });
    }

    private static String value(List<Message> answer) {
        byte[] body = answer.get(1).body();
        return new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
    }

    /** Guards against a request that is served with the value of the request before it on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"look", "put"})
    void lateCopyOfAnAnswerReachesNoOtherRequest(String requestClass) throws IOException {
        ScriptedPolicy policy = retryingPolicy();
        harness.host("m", lateCopyingHost()).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 20; i++) {
            client.send(Wire.query(RouterHarness.sql("id=r" + i + ",c=" + requestClass + ",t=acme,d=60000,cluster=2")));
            assertEquals("r" + i, value(client.readUntilReady()));
            LockSupport.parkNanos(LONGER_THAN_SETTLING_NANOS);
        }
        assertTrue(harness.router().counts().of(Counters.Count.STRAY_ANSWERS) > 0);
    }

    /** Guards against a probe that takes the copy of a request's answer, and a read behind it that takes the probe's answer. */
    @Test
    void lateCopyBeforeAProbeReachesNeitherTheProbeNorTheReadBehindIt() throws IOException, InterruptedException {
        ScriptedPolicy policy = retryingPolicy();
        harness.host("m", lateCopyingHost()).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 20; i++) {
            client.send(RouterHarness.lookQuery("r" + i));
            assertEquals("r" + i, value(client.readUntilReady()));
            policy.next(Outcome.class);
            policy.submit(new RoutingPolicy.Probe("m"));
            ProbeResult probe = policy.next(ProbeResult.class);
            assertEquals(Result.OK, probe.result());
            assertEquals(1_767_225_600_123_000_000L, probe.report().position());
            client.send(RouterHarness.lookQuery("s" + i));
            assertEquals("s" + i, value(client.readUntilReady()));
        }
        assertTrue(harness.router().counts().of(Counters.Count.STRAY_ANSWERS) > 0);
    }

    /** Guards against connections that are off by one for good: whatever comes first, the next query is matched anew. */
    @ParameterizedTest
    @CsvSource({"T", "EZ", "CZ"})
    void strayMessagesBeforeTheReplyToTheBarrierAreNeverServed(String strayTypes) throws IOException, InterruptedException {
        byte[] row = Wire.row("foreign".getBytes(StandardCharsets.US_ASCII));
        byte[] stray = switch (strayTypes) {
            case "T" -> Wire.rowDescription();
            case "EZ" -> Wire.join(Wire.error("XX000"), Wire.ready(), row, Wire.ready());
            default -> Wire.join(Wire.message('C', Wire.text("SELECT 1")), Wire.ready());
        };
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            for (String sql = connection.readAnyQuery(); sql != null; sql = connection.readAnyQuery()) {
                connection.write(sql.isEmpty() ? stray : new byte[0], answer(sql));
            }
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 3; i++) {
            client.send(RouterHarness.lookQuery("r" + i));
            assertEquals("r" + i, value(client.readUntilReady()));
            assertEquals(Result.OK, policy.next(Outcome.class).result());
            LockSupport.parkNanos(LONGER_THAN_SETTLING_NANOS);
        }
        assertEquals(3, host.acceptedCount());
        assertTrue(harness.router().counts().of(Counters.Count.STRAY_ANSWERS) >= 2);
    }

    /** Guards against a query that is sent while a copy of the answer before it can still be on its way. */
    @Test
    void readBehindAProbeIsSentOnlyOnceTheBarrierIsPassed() throws IOException, InterruptedException {
        BlockingQueue<Integer> bytesBeforeTheReply = new LinkedBlockingQueue<>();
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            for (String sql = connection.readAnyQuery(); sql != null; sql = connection.readAnyQuery()) {
                if (sql.isEmpty()) {
                    LockSupport.parkNanos(LONGER_THAN_SETTLING_NANOS);
                    bytesBeforeTheReply.add(connection.in().available());
                }
                connection.write(answer(sql));
            }
        });
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof ProbeResult
            ? List.of(new RoutingPolicy.Send(1, "m", 0)) : List.of());
        harness.host("m", host).start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("r"));
        policy.next(Arrival.class);
        policy.submit(new RoutingPolicy.Probe("m"));
        assertEquals("r", value(client.readUntilReady()));
        assertEquals(0, bytesBeforeTheReply.take());
        assertEquals(1, host.acceptedCount());
    }

    /** A server that rejects empty queries marks the place with its error as well, and its connections are reused. */
    @Test
    void hostThatRejectsEmptyQueriesIsServedOnOneConnection() throws IOException, InterruptedException {
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            for (String sql = connection.readAnyQuery(); sql != null; sql = connection.readAnyQuery()) {
                connection.write(sql.isEmpty() ? Wire.join(Wire.error("08P01"), Wire.ready()) : answer(sql));
            }
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 5; i++) {
            client.send(RouterHarness.lookQuery("r" + i));
            assertEquals("r" + i, value(client.readUntilReady()));
            assertEquals(Result.OK, policy.next(Outcome.class).result());
            LockSupport.parkNanos(LONGER_THAN_SETTLING_NANOS);
        }
        assertEquals(1, host.acceptedCount());
    }

    /** Guards against a copy of an error that is taken for the reply to the next empty query of a host that rejects those. */
    @Test
    void connectionIsNotReusedAfterAnErrorLikeTheReplyToEmptyQueries() throws IOException, InterruptedException {
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            while (connection.readAnyQuery() != null) {
                connection.write(Wire.error("08P01"), Wire.ready());
            }
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 3; i++) {
            client.send(RouterHarness.lookQuery("r" + i));
            assertEquals("42601", client.readUntilReady().get(0).field('C'));
            policy.next(Outcome.class);
            LockSupport.parkNanos(LONGER_THAN_SETTLING_NANOS);
        }
        assertEquals(3, host.acceptedCount());
    }

    /** Guards against a time-out that passes the earlier answer's role on as the waiting attempt's. */
    @Test
    void attemptThatTimesOutBeforeTheBarrierIsPassedReportsNothingOfTheEarlierAnswer() throws IOException, InterruptedException {
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            connection.readAnyQuery();
            connection.write(Wire.param("mode", "read-write"), answer("SHOW stats"));
            connection.awaitClose(); // the empty query gets no reply
        });
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof ProbeResult
            ? List.of(new RoutingPolicy.Send(1, "m", 30 * RouterHarness.MS)) : List.of());
        harness.host("m", host).start(policy);
        harness.client().send(RouterHarness.lookQuery("r"));
        policy.next(Arrival.class);
        policy.submit(new RoutingPolicy.Probe("m"));
        Outcome outcome = policy.next(Outcome.class);
        assertEquals(Result.TIMED_OUT, outcome.result());
        assertEquals(Role.UNKNOWN, outcome.role());
        assertEquals(1, host.acceptedCount());
    }
}
