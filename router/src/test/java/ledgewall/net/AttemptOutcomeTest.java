package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.RoutingPolicy.Abandoned;
import ledgewall.RoutingPolicy.Outcome;
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

/** Every outcome of an attempt, on real sockets. */
@Timeout(60)
class AttemptOutcomeTest {
    private static final byte[] VALUE = {7, 0, (byte) 0xfe};
    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** Sends one request to one host and returns the outcome that the policy received. */
    private Outcome outcome(StubServer host) throws IOException, InterruptedException {
        return outcome(harness.host("m", host), 0);
    }

    private Outcome outcome(RouterHarness configured, long timeoutNanos) throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", timeoutNanos);
        configured.start(policy);
        configured.client().send(RouterHarness.lookQuery("1"));
        return policy.next(Outcome.class);
    }

    private Outcome outcomeOfAnswer(byte[]... answer) throws IOException, InterruptedException {
        return outcome(StubServer.host((connection, sql) -> connection.write(answer)));
    }

    @Test
    void rowIsPassedToTheClientUnchanged() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.param("mode", "read-write"),
            Wire.row(VALUE), Wire.message('N', Wire.text("SNOTICE"), new byte[1]), Wire.param("wal_time", "1767225600123"),
            Wire.ready())));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        List<Message> answer = client.readUntilReady();
        assertEquals("TDC", answer.stream().map(m -> "" + m.type()).reduce("", String::concat));
        assertArrayEquals(Wire.join(Wire.int16(1), Wire.int32(VALUE.length), VALUE), answer.get(1).body());
        Outcome outcome = policy.next(Outcome.class);
        assertEquals(Result.OK, outcome.result());
        assertTrue(outcome.complete());
        assertEquals(Role.PRIMARY, outcome.role());
        assertEquals(1_767_225_600_123_000_000L, outcome.position());
        assertTrue(outcome.elapsed() > 0);
    }

    @ParameterizedTest
    @CsvSource({"25006,MISDIRECTED", "72000,MISDIRECTED", "XX000,ERROR", "53300,REJECTED", "42P01,ERROR", "57P03,ERROR"})
    void sqlStateDeterminesTheResult(String code, Result result) throws IOException, InterruptedException {
        Outcome outcome = outcomeOfAnswer(Wire.error(code), Wire.param("mode", "read-only"), Wire.ready());
        assertEquals(result, outcome.result());
        assertFalse(outcome.complete());
        assertEquals(Role.REPLICA, outcome.role());
        assertEquals(RoutingPolicy.NONE, outcome.position());
    }

    @Test
    void refusedConnectionIsNotConnected() throws IOException, InterruptedException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            harness.member("m", "127.0.0.1:" + free.getLocalPort());
        }
        assertEquals(Result.NOT_CONNECTED, outcome(harness, 0).result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.CONNECT_REFUSED));
    }

    @Test
    void connectionWithoutAStartupReplyIsNotConnected() throws IOException, InterruptedException {
        harness.connectTimeoutMs(50).host("m", new StubServer(StubServer.Connection::awaitClose));
        assertEquals(Result.NOT_CONNECTED, outcome(harness, 0).result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.CONNECT_TIMED_OUT));
    }

    /** Simulates an unreachable host: the accept queue is full, so that a connection request gets no reply. */
    @Test
    void connectionThatIsNeverAcceptedIsNotConnected() throws IOException, InterruptedException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queued = new ArrayList<>();
            try {
                while (queued.size() < 64) {
                    Socket socket = new Socket();
                    queued.add(socket);
                    socket.connect(silent.getLocalSocketAddress(), 200);
                }
            } catch (SocketTimeoutException e) {
                // the queue is full
            }
            harness.connectTimeoutMs(50).member("m", "127.0.0.1:" + silent.getLocalPort());
            assertEquals(Result.NOT_CONNECTED, outcome(harness, 0).result());
            assertEquals(1, harness.router().counts().of(AttemptOutcome.CONNECT_TIMED_OUT));
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    @Test
    void connectionClosedBeforeTheRequestIsWrittenIsNotConnected() throws IOException, InterruptedException {
        Outcome outcome = outcome(new StubServer(connection -> Message.read(connection.in(), false)));
        assertEquals(Result.NOT_CONNECTED, outcome.result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.BROKEN_BEFORE_WRITTEN));
    }

    @ParameterizedTest
    @CsvSource({"53300,REJECTED", "57P03,NOT_CONNECTED", "28000,NOT_CONNECTED"})
    void errorInsteadOfAStartupReplyDeterminesTheResult(String code, Result result) throws IOException, InterruptedException {
        assertEquals(result, outcome(new StubServer(connection -> {
            Message.read(connection.in(), false);
            connection.write(Wire.error(code));
        })).result());
    }

    @Test
    void connectionClosedAfterTheRequestIsWrittenIsReset() throws IOException, InterruptedException {
        assertEquals(Result.RESET, outcome(new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
        })).result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.BROKEN_AFTER_WRITTEN));
    }

    @Test
    void connectionClosedWithinTheAnswerIsReset() throws IOException, InterruptedException {
        assertEquals(Result.RESET, outcome(new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.rowDescription(), Wire.dataRow(VALUE));
        })).result());
    }

    @Test
    void errorBeforeTheConnectionClosesDeterminesTheResult() throws IOException, InterruptedException {
        assertEquals(Result.REJECTED, outcome(new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.error("53300"));
        })).result());
    }

    /** MINA drops what it has read in the same pass as a reset; DrainBeforeResetProcessor prevents that. */
    @Test
    void answerFollowedByAResetIsServed() throws IOException, InterruptedException {
        // Connections are not reused: the next request on one would be the one that is reset.
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof Arrival arrival
            ? List.of(new RoutingPolicy.Send(arrival.request(), "m", 0))
            : event instanceof Outcome ? List.of(new RoutingPolicy.Disconnect("m")) : List.of());
        harness.host("m", new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.row(VALUE), Wire.ready());
            connection.reset();
        }));
        harness.start(policy);
        Client client = harness.client();
        for (int round = 0; round < 100; round++) {
            client.send(RouterHarness.lookQuery("" + round));
            assertEquals("TDC", client.readTypesUntilReady(), "round " + round);
            assertEquals(Result.OK, policy.next(Outcome.class).result());
        }
    }

    @Test
    void completeRowIsServedWithoutReadyForQuery() throws IOException, InterruptedException {
        Outcome outcome = outcome(new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.row(VALUE));
        }));
        assertEquals(Result.OK, outcome.result());
        assertTrue(outcome.complete());
    }

    @ParameterizedTest
    @CsvSource({"garbage", "oversize", "two rows", "two columns", "ready at once"})
    void malformedAnswerClosesTheConnectionAndIsReset(String input) throws IOException, InterruptedException {
        byte[] bytes = switch (input) {
            case "garbage" -> new byte[] {'T', -1, -1, -1, -1, 0};
            case "oversize" -> Wire.join(new byte[] {'D'}, Wire.int32(1 << 24));
            case "two rows" -> Wire.join(Wire.rowDescription(), Wire.dataRow(VALUE), Wire.dataRow(VALUE));
            case "two columns" -> Wire.message('T', Wire.int16(2));
            default -> Wire.ready();
        };
        CountDownLatch ended = new CountDownLatch(1);
        Outcome outcome = outcome(StubServer.host((connection, sql) -> {
            connection.write(bytes);
            connection.awaitClose();
            ended.countDown();
        }));
        assertEquals(Result.RESET, outcome.result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.GARBLED));
        assertTrue(ended.await(20, TimeUnit.SECONDS));
    }

    /** The statement itself is invalid: its client gets the error, and the policy has nothing left to decide. */
    @ParameterizedTest
    @CsvSource({"08P01", "42601"})
    void invalidStatementIsReportedToTheClientAndCompletesTheRequest(String code) throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.error(code), Wire.ready())));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertEquals("42601", client.readUntilReady().get(0).field('C'));
        assertTrue(policy.next(Outcome.class).complete());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.BAD_STATEMENT));
    }

    /** A malformed message is rejected as soon as its header is read, without waiting for the length that it announces. */
    @ParameterizedTest
    @CsvSource({"a type that is none", "a value of 3 GB", "a value before its description", "a long tag",
        "parameters without end"})
    void malformedMessageIsRejectedAtItsHeader(String input) throws IOException, InterruptedException {
        byte[] bytes = switch (input) {
            case "a type that is none" -> Wire.join(new byte[] {'q'}, Wire.int32(60_000), new byte[9]);
            case "a value of 3 GB" -> Wire.join(Wire.rowDescription(), new byte[] {'D'}, Wire.int32(-1_294_967_296));
            case "a value before its description" -> Wire.join(new byte[] {'D'}, Wire.int32(60_000), new byte[9]);
            case "a long tag" -> Wire.join(Wire.rowDescription(), Wire.dataRow(VALUE), new byte[] {'C'}, Wire.int32(9_000));
            default -> Wire.join(java.util.Collections.nCopies(100, Wire.param("a", "b")).toArray(new byte[0][]));
        };
        Outcome outcome = outcome(StubServer.host((connection, sql) -> {
            connection.write(bytes);
            connection.awaitClose();
        }));
        assertEquals(Result.RESET, outcome.result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.GARBLED));
    }

    /** A second copy of an answer, or other bytes, may follow it at once, later or in part; none may pass for the next answer. */
    @ParameterizedTest
    @CsvSource({"copy", "late copy", "half a copy", "late half", "noise"})
    void dataAfterAnAnswerReachesNoOtherRequest(String input) throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", StubServer.host((connection, sql) -> {
            byte[] answer = Wire.join(Wire.row(sql.substring(6, 9).getBytes(java.nio.charset.StandardCharsets.US_ASCII)),
                Wire.ready());
            byte[] extra = input.contains("copy") && !input.contains("half") ? answer
                : input.equals("noise") ? new byte[] {1, 2, 3} : java.util.Arrays.copyOf(answer, answer.length - 4);
            if (input.startsWith("late")) {
                connection.write(answer);
                connection.write(extra);
            } else {
                connection.write(answer, extra);
            }
        }));
        harness.start(policy);
        Client client = harness.client();
        for (int round = 100; round < 160; round++) {
            client.send(RouterHarness.lookQuery("" + round));
            byte[] body = client.readUntilReady().get(1).body();
            assertEquals("" + round, new String(body, 6, body.length - 6, java.nio.charset.StandardCharsets.US_ASCII));
        }
        assertTrue(harness.router().counts().of(Counters.Count.HOST_CONNECTIONS) > 30,
            "connections with extra data must not be reused");
    }

    @Test
    void hostWithoutAnAnswerTimesOutAndTheConnectionCloses() throws IOException, InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        harness.host("m", StubServer.host((connection, sql) -> {
            connection.awaitClose();
            ended.countDown();
        }));
        Outcome outcome = outcome(harness, 30 * RouterHarness.MS);
        assertEquals(Result.TIMED_OUT, outcome.result());
        assertTrue(outcome.elapsed() >= 30 * RouterHarness.MS);
        assertTrue(ended.await(20, TimeUnit.SECONDS));
    }

    @Test
    void queryCarriesTheAttemptsTimeout() throws IOException, InterruptedException {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        harness.host("m", StubServer.host((connection, sql) -> {
            queries.add(sql);
            connection.write(Wire.row(VALUE), Wire.ready());
        }));
        outcome(harness, 1_500 * RouterHarness.MS);
        String query = queries.poll(20, TimeUnit.SECONDS);
        long told = Long.parseLong(query.replaceAll(".*,d=(\\d+),.*", "$1"));
        assertEquals(RouterHarness.sql("id=1,c=look,t=acme,d=" + told + ",cluster=2"), query);
        assertTrue(told <= 1_500 && told > 500, "told " + told);
    }

    /** Guards against a host that is told the time left when the attempt was decided, which has gone by while it connected. */
    @Test
    void queryCarriesTheTimeLeftWhenItIsWritten() throws IOException, InterruptedException {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        harness.host("m", new StubServer(connection -> {
            Message.read(connection.in(), false);
            java.util.concurrent.locks.LockSupport.parkNanos(300 * RouterHarness.MS);
            connection.write(Wire.startupReply());
            queries.add(connection.readQuery());
            connection.write(Wire.row(VALUE), Wire.ready());
        }));
        outcome(harness, 5_000 * RouterHarness.MS);
        long told = Long.parseLong(queries.poll(20, TimeUnit.SECONDS).replaceAll(".*,d=(\\d+),.*", "$1"));
        assertTrue(told <= 4_700, "told " + told);
    }

    /** Guards against an attempt that begins after its client has left, since its connection came up late. */
    @Test
    void attemptWhoseClientLeftWhileItConnectedIsNotSent() throws IOException, InterruptedException {
        CountDownLatch connecting = new CountDownLatch(1);
        CountDownLatch clientGone = new CountDownLatch(1);
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        StubServer host = new StubServer(connection -> {
            Message.read(connection.in(), false);
            connecting.countDown();
            await(clientGone);
            connection.write(Wire.startupReply());
            for (String sql = connection.readQuery(); sql != null; sql = connection.readQuery()) {
                queries.add(sql);
                connection.write(Wire.row(VALUE), Wire.ready());
            }
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client leaving = harness.client();
        leaving.send(RouterHarness.lookQuery("left"));
        await(connecting);
        leaving.close();
        policy.next(Abandoned.class);
        clientGone.countDown();
        assertEquals(Result.NEVER_SENT, policy.next(Outcome.class).result());
        java.util.concurrent.locks.LockSupport.parkNanos(20 * RouterHarness.MS); // longer than the settling time
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("stayed"));
        assertEquals("TDC", client.readTypesUntilReady());
        assertTrue(queries.take().contains("id=stayed"));
        assertEquals(1, host.acceptedCount());
    }

    @Test
    void cancelledAttemptClosesItsConnectionAndEndsOnce() throws IOException, InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        CountDownLatch received = new CountDownLatch(1);
        harness.host("m", StubServer.host((connection, sql) -> {
            received.countDown();
            connection.awaitClose();
            ended.countDown();
        }));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        long request = policy.next(Arrival.class).request();
        assertTrue(received.await(20, TimeUnit.SECONDS));
        policy.submit(new RoutingPolicy.Cancel(request, 0), new RoutingPolicy.Cancel(request, 0),
            new RoutingPolicy.Cancel(request, 5), new RoutingPolicy.Fail(request));
        assertEquals(Result.CANCELLED, policy.next(Outcome.class).result());
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        assertEquals("E", client.readTypesUntilReady());
        assertFalse(policy.hasReceived(Outcome.class));
    }

    /** The first answer comes only once both hosts have the request: an attempt that waits for a connection then is not sent. */
    @Test
    void firstAnswerIsServedAndTheSecondIsDropped() throws IOException, InterruptedException {
        CountDownLatch slowHasRequest = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof Arrival arrival
            ? List.of(new RoutingPolicy.Send(arrival.request(), "slow", 0), new RoutingPolicy.Send(arrival.request(), "m", 0))
            : List.of());
        harness.host("slow", StubServer.host((connection, sql) -> {
            slowHasRequest.countDown();
            await(release);
            connection.write(Wire.row(new byte[] {1}), Wire.ready());
        })).host("m", StubServer.host((connection, sql) -> {
            await(slowHasRequest);
            connection.write(Wire.row(VALUE), Wire.ready());
        }));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertEquals("TDC", client.readTypesUntilReady());
        Outcome first = policy.next(Outcome.class);
        assertEquals("m", first.member());
        release.countDown();
        Outcome second = policy.next(Outcome.class);
        assertEquals(Result.OK, second.result());
        assertTrue(second.complete());
        client.send(Wire.query(""));
        assertEquals("I", client.readTypesUntilReady()); // nothing of the late row was sent before it
    }

    static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void attemptThatMayNotBeSentEndsAsNeverSent() throws IOException, InterruptedException {
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof Arrival arrival
            ? List.of(new RoutingPolicy.Send(arrival.request(), "unknown", 0),
                new RoutingPolicy.Send(arrival.request(), "m", -1), new RoutingPolicy.Send(arrival.request(), "m", 0),
                new RoutingPolicy.Send(arrival.request(), "m", 0))
            : List.of());
        harness.withoutParallelAttempts().host("m", StubServer.host((connection, sql) ->
            connection.write(Wire.row(VALUE), Wire.ready())));
        harness.start(policy);
        harness.client().send(RouterHarness.lookQuery("1"));
        for (int i = 0; i < 4; i++) {
            Outcome outcome = policy.next(Outcome.class);
            assertEquals(outcome.attempt() == 2 ? Result.OK : Result.NEVER_SENT, outcome.result());
        }
        assertEquals(3, harness.router().counts().of(AttemptOutcome.NEVER_SENT));
    }

    /** Neither an attempt after the answer is sent, nor one before it that still waited for its connection. */
    @Test
    void attemptOfAnAnsweredRequestIsNeverSent() throws IOException, InterruptedException {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        ScriptedPolicy policy = new ScriptedPolicy(event -> event instanceof Arrival arrival && arrival.request() == 1
            ? List.of(new RoutingPolicy.Send(1, "m", 0), new RoutingPolicy.Fail(1), new RoutingPolicy.Send(1, "m", 0),
                new RoutingPolicy.Send(99, "m", 0))
            : event instanceof Arrival arrival ? List.of(new RoutingPolicy.Send(arrival.request(), "m", 0)) : List.of());
        harness.host("m", StubServer.host((connection, sql) -> {
            queries.add(sql);
            connection.write(Wire.row(VALUE), Wire.ready());
        }));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"), RouterHarness.lookQuery("2"));
        assertEquals("E", client.readTypesUntilReady());
        assertEquals("TDC", client.readTypesUntilReady());
        int neverSent = 0;
        for (int i = 0; i < 3; i++) {
            Outcome outcome = policy.next(Outcome.class);
            assertEquals(outcome.request() == 1 ? Result.NEVER_SENT : Result.OK, outcome.result());
            neverSent += outcome.request() == 1 ? 1 : 0;
        }
        assertEquals(2, neverSent);
        assertEquals(1, queries.size());
        assertTrue(queries.take().contains("id=2,"));
    }

    @Test
    void requestOfADisconnectedClientLapsesAndItsAttemptStillEnds() throws IOException, InterruptedException {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", StubServer.host((connection, sql) -> {
            received.countDown();
            await(release);
            connection.write(Wire.row(VALUE), Wire.ready());
        }));
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertTrue(received.await(20, TimeUnit.SECONDS));
        client.close();
        assertEquals(policy.next(Abandoned.class).request(), 1);
        release.countDown();
        Outcome outcome = policy.next(Outcome.class);
        assertTrue(outcome.complete());
        assertEquals(1, harness.router().counts().of(Counters.Count.LAPSED));
        assertEquals(0, harness.router().counts().of(Counters.Count.SERVED));
    }

    @Test
    void idleConnectionsAreReusedAfterTheSettlingTime() throws IOException, InterruptedException {
        BlockingQueue<Integer> used = new LinkedBlockingQueue<>();
        CountDownLatch bothReceived = new CountDownLatch(2);
        StubServer host = StubServer.host((connection, sql) -> {
            used.add(connection.number());
            if (sql.contains("id=a")) {
                bothReceived.countDown();
                await(bothReceived);
            } else {
                java.util.concurrent.locks.LockSupport.parkNanos(20 * RouterHarness.MS); // longer than the settling time
            }
            connection.write(Wire.row(VALUE), Wire.ready());
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client one = harness.client();
        Client two = harness.client();
        one.send(RouterHarness.lookQuery("a1"));
        two.send(RouterHarness.lookQuery("a2"));
        assertEquals("TDC", one.readTypesUntilReady());
        assertEquals("TDC", two.readTypesUntilReady());
        used.clear();
        for (int i = 0; i < 4; i++) {
            one.send(RouterHarness.lookQuery("b" + i));
            assertEquals("TDC", one.readTypesUntilReady());
        }
        assertTrue(host.acceptedCount() <= 3, "at most one more connection, for the request that follows at once");
        assertTrue(Set.copyOf(used).size() <= 2);
    }

    @Test
    void idleConnectionsCloseBeforeTheHostClosesThem() throws IOException, InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            while (connection.readQuery() != null) {
                connection.write(Wire.row(VALUE), Wire.ready());
            }
            ended.countDown();
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.idleTimeoutMs(100).host("m", host).start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertEquals("TDC", client.readTypesUntilReady());
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        client.send(RouterHarness.lookQuery("2"));
        assertEquals("TDC", client.readTypesUntilReady());
        assertNotEquals(1, host.acceptedCount());
    }

    @Test
    void idleConnectionClosedByTheHostIsNotReused() throws IOException, InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.row(VALUE), Wire.ready(), Wire.error("57P01"));
            closed.countDown();
        });
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(policy);
        Client client = harness.client();
        for (int i = 0; i < 20; i++) {
            client.send(RouterHarness.lookQuery("" + i));
            assertEquals("TDC", client.readTypesUntilReady());
            assertTrue(closed.await(20, TimeUnit.SECONDS));
        }
        assertEquals(20, host.acceptedCount());
    }

    @Test
    void memberWithANewAddressIsReachedThere() throws IOException, InterruptedException {
        StubServer second = StubServer.host((connection, sql) -> connection.write(Wire.row(VALUE), Wire.ready()));
        CountDownLatch ended = new CountDownLatch(1);
        CountDownLatch publish = new CountDownLatch(1);
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("spare", second).host("m", new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(Wire.row(VALUE), Wire.ready());
            connection.awaitClose();
            ended.countDown();
        })).discovery(connection -> {
            await(publish);
            String line = "{\"revision\":42,\"complete\":false,\"members\":["
                + RouterHarness.memberJson("m", second.address(), "Ready", 0) + "]}\n";
            connection.write(("HTTP/1.1 200 OK\r\n\r\n" + line).getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            connection.awaitClose();
        });
        harness.start(policy);
        policy.next(RoutingPolicy.MemberList.class);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertEquals("TDC", client.readTypesUntilReady());
        publish.countDown();
        policy.next(RoutingPolicy.MemberList.class);
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        client.send(RouterHarness.lookQuery("2"));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(1, second.acceptedCount());
    }
}
