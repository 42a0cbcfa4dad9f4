package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.RoutingPolicy.Abandoned;
import ledgewall.RoutingPolicy.Outcome;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The protocol between clients and the router, its limits and its errors, on real sockets. */
@Timeout(60)
class ClientConnectionTest {
    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** Starts a router and a host that answers each request with its id. */
    private ScriptedPolicy startEcho() throws IOException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", StubServer.host((connection, sql) -> {
            String id = sql.substring(sql.indexOf("id=") + 3, sql.indexOf(','));
            connection.write(Wire.row(id.getBytes(java.nio.charset.StandardCharsets.US_ASCII)), Wire.ready());
        }));
        harness.start(policy);
        return policy;
    }

    private static String value(List<Message> answer) {
        byte[] body = answer.get(1).body();
        return new String(body, 6, body.length - 6, java.nio.charset.StandardCharsets.US_ASCII);
    }

    @Test
    void startupAndFirstQueryInOneSegmentAreBothAnswered() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        client.send(Wire.startup("user", "portal", "database", "crm"), Wire.query(""));
        String startupReply = client.readTypesUntilReady();
        assertEquals('R', startupReply.charAt(0));
        assertTrue(startupReply.endsWith("K"));
        assertEquals("I", client.readTypesUntilReady());
    }

    @Test
    void startupAndQuerySentByteByByteAreAnswered() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        for (byte b : Wire.join(Wire.startup("user", "u"), RouterHarness.lookQuery("7"))) {
            client.send(new byte[] {b});
        }
        client.readUntilReady();
        assertEquals("7", value(client.readUntilReady()));
    }

    @Test
    void arrivalCarriesTheIndexesOfClassAndTenant() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client client = harness.client();
        client.send(Wire.query("/* r=1,cluster=9,d=60000,t=zeta,c=put,id=a */ INSERT INTO f (c, d) VALUES ('k1', 'v')"));
        Arrival put = policy.next(Arrival.class);
        assertEquals(List.of(1, 1, 9L, true),
            List.of(put.requestClass(), put.tenant(), put.group(), put.retry()));
        assertTrue(put.session() > 0);
        assertEquals(RoutingPolicy.NONE, put.timeSinceWrite());
        assertTrue(put.timeLeft() > 50_000 * RouterHarness.MS && put.timeLeft() <= 60_000 * RouterHarness.MS);
        client.send(Wire.query(RouterHarness.sql("id=b,c=look,t=other,d=60000,cluster=2")));
        Arrival look = policy.next(Arrival.class);
        assertEquals(2, look.tenant());
        assertEquals(RoutingPolicy.NONE, look.session());
        long after = System.currentTimeMillis() - 5_000;
        client.send(Wire.query(RouterHarness.sql("id=c,c=own,t=other,d=60000,cluster=2,after=" + after)));
        Arrival own = policy.next(Arrival.class);
        assertEquals(put.session(), own.session());
        assertEquals(2, own.tenant());
        assertTrue(own.timeSinceWrite() >= 4_999 * RouterHarness.MS && own.timeSinceWrite() < 60_000 * RouterHarness.MS,
            "" + own.timeSinceWrite());
    }

    @Test
    void pipelinedQueriesAreAnsweredInOrder() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"), Wire.query("nonsense"), RouterHarness.lookQuery("2"), Wire.query(""));
        long first = policy.next(Arrival.class).request();
        long second = policy.next(Arrival.class).request();
        policy.submit(new RoutingPolicy.Refuse(second, 0), new RoutingPolicy.Fail(first));
        assertEquals("08006", client.readUntilReady().get(0).field('C'));
        assertEquals("42601", client.readUntilReady().get(0).field('C'));
        assertEquals("53300", client.readUntilReady().get(0).field('C'));
        assertEquals("I", client.readTypesUntilReady());
    }

    @Test
    void commandsBeyondThePipelineLimitAreAnsweredInOrder() throws IOException {
        startEcho();
        Client client = harness.client();
        byte[][] queries = new byte[200][];
        for (int i = 0; i < queries.length; i++) {
            queries[i] = RouterHarness.lookQuery("" + i);
        }
        client.send(queries);
        for (int i = 0; i < queries.length; i++) {
            assertEquals("" + i, value(client.readUntilReady()));
        }
    }

    @Test
    void refusalCarriesTheRetryDelayAndLaterActionsAreIgnored() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        long request = policy.next(Arrival.class).request();
        policy.submit(new RoutingPolicy.Refuse(request, 250 * RouterHarness.MS), new RoutingPolicy.Fail(request),
            new RoutingPolicy.Refuse(request, 0));
        Message refusal = client.readUntilReady().get(0);
        assertEquals("53300", refusal.field('C'));
        assertEquals("250", refusal.field('D'));
        client.send(RouterHarness.lookQuery("2"));
        policy.submit(new RoutingPolicy.Refuse(policy.next(Arrival.class).request(), 0));
        assertNull(client.readUntilReady().get(0).field('D'));
        harness.router().sizes(); // answered by the event loop's next turn: a refusal is counted after it is sent
        assertEquals(2, harness.router().counts().of(Counters.Count.REFUSED));
        assertEquals(0, harness.router().counts().of(Counters.Count.FAILED));
    }

    @Test
    void waitIsLimitedToOneDay() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        harness.client().send(Wire.query(RouterHarness.sql("id=1,c=own,d=999999999999999,cluster=2,after=999999999999999")));
        Arrival arrival = policy.next(Arrival.class);
        assertTrue(arrival.timeLeft() > 0 && arrival.timeLeft() <= 86_400_000L * RouterHarness.MS, "" + arrival.timeLeft());
        assertEquals(RoutingPolicy.NONE, arrival.timeSinceWrite());
    }

    @Test
    void requestWithoutADecisionFailsOnceOverdue() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client client = harness.client();
        client.send(Wire.query(RouterHarness.sql("id=1,c=look,d=20,cluster=2")));
        assertEquals("08006", client.readUntilReady().get(0).field('C'));
        assertEquals(policy.next(Arrival.class).request(), policy.next(Abandoned.class).request());
        assertEquals(1, harness.router().counts().of(Counters.Count.OVERDUE));
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "SELECT 1", "/* id=1,c=look,cluster=2 */ SELECT 1", "/* id=1,c=look,d=x,cluster=2 */ SELECT 1",
        "/* id=1,c=nosuch,d=5,cluster=2 */ SELECT 1", "/* id=1,c=look,d=5,cluster=2 */ SELECT 1; SELECT 2"})
    void invalidRequestGetsAnErrorAndTheConnectionStaysOpen(String sql) throws IOException {
        startEcho();
        Client client = harness.client();
        client.send(Wire.query(sql), RouterHarness.lookQuery("5"));
        Message error = client.readUntilReady().get(0);
        assertEquals("42601", error.field('C'));
        assertEquals("5", value(client.readUntilReady()));
    }

    @Test
    void encryptionIsDeclinedAndTheConnectionStaysOpen() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        client.send(Wire.untypedPacket(80877103));
        assertEquals('N', client.readByte());
        client.send(Wire.untypedPacket(80877104));
        assertEquals('N', client.readByte());
        client.send(Wire.startup("user", "u"), RouterHarness.lookQuery("3"));
        client.readUntilReady();
        assertEquals("3", value(client.readUntilReady()));
    }

    @Test
    void thirdEncryptionRequestEndsTheConnection() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        client.send(Wire.untypedPacket(80877103), Wire.untypedPacket(80877104), Wire.untypedPacket(80877103));
        assertEquals('N', client.readByte());
        assertEquals('N', client.readByte());
        assertEquals("FATAL", client.read().field('S'));
        assertTrue(client.endOfStream());
    }

    @Test
    void newerMinorVersionIsNegotiated() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        byte[] startup = Wire.startup("user", "u");
        startup[7] = 2;
        client.send(startup);
        assertEquals('v', client.read().type());
        assertTrue(client.readTypesUntilReady().startsWith("R"));
    }

    @Test
    void extendedProtocolGetsOneErrorUpToSync() throws IOException {
        startEcho();
        Client client = harness.client();
        client.send(Wire.message('P', Wire.text(""), Wire.text("SELECT 1"), Wire.int16(0)), Wire.message('B', new byte[8]),
            Wire.message('H'), RouterHarness.lookQuery("skipped"), Wire.message('E', new byte[5]), Wire.message('S'),
            RouterHarness.lookQuery("8"));
        List<Message> answer = client.readUntilReady();
        assertEquals(1, answer.size());
        assertEquals("0A000", answer.get(0).field('C'));
        assertEquals("8", value(client.readUntilReady()));
    }

    @ParameterizedTest
    @CsvSource({"length", "type", "version", "long startup", "unended query"})
    void protocolViolationGetsAFatalErrorAndEndsOnlyItsConnection(String input) throws IOException {
        startEcho();
        Client other = harness.client();
        Client client = input.contains("version") || input.contains("startup") ? harness.rawClient() : harness.client();
        client.send(switch (input) {
            case "length" -> Wire.join(new byte[] {'Q'}, Wire.int32(2));
            case "type" -> Wire.message('~');
            case "version" -> Wire.join(Wire.int32(8), Wire.int32(2 << 16));
            case "long startup" -> Wire.int32(1 << 20);
            default -> Wire.message('Q', new byte[] {'x'});
        });
        Message fatal = client.read();
        assertEquals('E', fatal.type());
        assertEquals("FATAL", fatal.field('S'));
        assertEquals("08P01", fatal.field('C'));
        assertTrue(client.endOfStream());
        other.send(RouterHarness.lookQuery("4"));
        assertEquals("4", value(other.readUntilReady()));
    }

    @Test
    void requestBeforeAProtocolViolationFailsAtOnceAndIsAnsweredFirst() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"), Wire.message('~'));
        assertEquals("08006", client.readUntilReady().get(0).field('C'));
        assertEquals("08P01", client.read().field('C'));
        assertTrue(client.endOfStream());
        assertEquals(policy.next(Arrival.class).request(), policy.next(Abandoned.class).request());
    }

    @Test
    void cancelRequestClosesItsConnection() throws IOException {
        startEcho();
        Client client = harness.rawClient();
        client.send(Wire.int32(16), Wire.int32(80877102), Wire.int32(0), Wire.int32(0));
        assertTrue(client.endOfStream());
    }

    @Test
    void connectionClosedAfterAnyByteLeavesNoRequest() throws IOException, InterruptedException {
        startEcho();
        byte[] all = Wire.join(Wire.startup("user", "u"), RouterHarness.lookQuery("1"));
        for (int cut = 0; cut < all.length; cut++) {
            try (Client client = new Client(harness.router().listenAddress())) {
                client.send(Arrays.copyOf(all, cut));
            }
        }
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("2"));
        assertEquals("2", value(client.readUntilReady()));
        assertEquals(1, harness.router().counts().of(Counters.Count.REQUESTS));
    }

    @Test
    void randomBytesNeverStopTheRouter() throws IOException {
        startEcho();
        Random random = new Random(9);
        for (int round = 0; round < 200; round++) {
            byte[] randomBytes = new byte[random.nextInt(300)];
            random.nextBytes(randomBytes);
            try (Client client = clientForRandomBytes(round)) {
                client.send(randomBytes);
            } catch (IOException e) {
                // closed by the router while the bytes were being sent
            }
        }
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("6"));
        assertEquals("6", value(client.readUntilReady()));
    }

    private Client clientForRandomBytes(int round) throws IOException {
        return round % 2 == 0 ? new Client(harness.router().listenAddress()) : Client.connect(harness.router().listenAddress());
    }

    @Test
    void atTheDescriptorLimitNewClientsAreClosedAndAttemptsAreRejected() throws IOException, InterruptedException {
        // files of the process, the reserve, the watch of the member list, two clients and one attempt
        harness.descriptorLimit(32 + 16 + 1 + 3);
        CountDownLatch release = new CountDownLatch(1);
        ScriptedPolicy policy = new ScriptedPolicy(event ->
            event instanceof Arrival arrival ? List.of(new RoutingPolicy.Send(arrival.request(), "m", 0))
            : event instanceof Outcome outcome && !outcome.complete() ? List.of(new RoutingPolicy.Fail(outcome.request()))
            : List.of());
        harness.host("m", StubServer.host((connection, sql) -> {
            AttemptOutcomeTest.await(release);
            connection.write(Wire.row(new byte[1]), Wire.ready());
        }));
        harness.start(policy);
        Client first = harness.client();
        Client second = harness.client();
        assertTrue(harness.rawClient().endOfStream());
        assertEquals(1, harness.router().counts().of(Counters.Count.CLIENTS_TURNED_AWAY));
        first.send(RouterHarness.lookQuery("1"));
        policy.next(Arrival.class);
        second.send(RouterHarness.lookQuery("2"));
        assertEquals("E", second.readTypesUntilReady());
        assertEquals(RoutingPolicy.Result.REJECTED, policy.next(Outcome.class).result());
        release.countDown();
        assertEquals("TDC", first.readTypesUntilReady());
    }

    /** Clients never reuse ids: an id that is or recently was in use belongs to another client's request. */
    @Test
    void idInUseIsRejectedAndItsFirstRequestIsServed() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.row(new byte[1]), Wire.ready())));
        harness.start(policy);
        Client first = harness.client();
        first.send(RouterHarness.lookQuery("1"));
        long request = policy.next(Arrival.class).request();
        Client other = harness.client();
        other.send(RouterHarness.lookQuery("1"));
        assertEquals("42601", other.readUntilReady().get(0).field('C'));
        policy.submit(new RoutingPolicy.Send(request, "m", 0));
        assertEquals("TDC", first.readTypesUntilReady());
        other.send(RouterHarness.lookQuery("1"));
        assertEquals("42601", other.readUntilReady().get(0).field('C'));
    }

    @Test
    void idIsReusableAfterADisconnectIfNothingWasSent() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client first = harness.client();
        first.send(RouterHarness.lookQuery("1"));
        policy.next(Arrival.class);
        first.close();
        policy.next(Abandoned.class);
        harness.client().send(RouterHarness.lookQuery("1"));
        assertEquals(2, policy.next(Arrival.class).request());
    }

    @ParameterizedTest
    @ValueSource(strings = {"id=1,c=look,d=60000,cluster=77", "id=1,c=look,d=0,cluster=2"})
    void unknownClusterAndZeroWaitAreRejected(String fields) throws IOException {
        ScriptedPolicy policy = startEcho();
        Client client = harness.client();
        client.send(Wire.query(RouterHarness.sql(fields)));
        assertEquals("42601", client.readUntilReady().get(0).field('C'));
        assertFalse(policy.hasReceived(Arrival.class));
    }

    @Test
    void connectionEndsAfterTooManyInvalidCommands() throws IOException {
        startEcho();
        Client client = harness.client();
        byte[][] invalid = new byte[300][];
        Arrays.fill(invalid, Wire.query("nonsense"));
        client.send(invalid);
        int errors = 0;
        Message last = client.read();
        for (Message next = last; next != null && !"FATAL".equals(next.field('S')); next = client.read()) {
            errors += next.type() == 'E' ? 1 : 0;
            last = next;
        }
        assertTrue(errors < 8, "" + errors);
    }

    /** A client that sends nothing, or only part of a message, must get an error and be disconnected within 3 s. */
    @ParameterizedTest
    @ValueSource(strings = {"nothing", "half a startup", "a startup", "half a query"})
    void clientWithoutACompleteCommandIsEndedAfterTheTimeout(String input) throws IOException {
        startEcho();
        long startedAt = System.nanoTime();
        Client client = harness.rawClient();
        byte[] startup = Wire.startup("user", "u");
        byte[] query = RouterHarness.lookQuery("1");
        client.send(switch (input) {
            case "nothing" -> new byte[0];
            case "half a startup" -> Arrays.copyOf(startup, 6);
            case "a startup" -> startup;
            default -> Wire.join(startup, Arrays.copyOf(query, query.length - 3));
        });
        Message last = client.read();
        while (last.type() != 'E') {
            last = client.read();
        }
        assertEquals("FATAL", last.field('S'));
        assertTrue(client.endOfStream());
        long elapsed = System.nanoTime() - startedAt;
        assertTrue(elapsed > 2_000 * RouterHarness.MS, "slow clients must not be ended early: " + elapsed);
        assertEquals(1, harness.router().counts().of(Counters.Count.SILENT_CLIENTS));
    }

    /** With far more silent clients than there are descriptors for, an ordinary client must still be served. */
    @Test
    void silentClientsAreEvictedForAnActiveOne() throws IOException {
        harness.descriptorLimit(32 + 16 + 1 + 20);
        startEcho();
        for (int i = 0; i < 300; i++) {
            harness.rawClient();
        }
        assertEquals("1", value(connectUntilServed("1")));
        assertTrue(harness.router().counts().of(Counters.Count.SILENT_CLIENTS) > 0);
    }

    /** Where clients keep their connections after one request, the longest idle is evicted rather than a new one turned away. */
    @Test
    void longestIdleClientsAreEvictedForNewOnes() throws IOException {
        harness.descriptorLimit(32 + 16 + 2 + 10); // eight clients at most
        startEcho();
        for (int i = 0; i < 14; i++) {
            assertEquals("TDC", connectUntilServed("" + i).stream().map(m -> "" + m.type()).reduce("", String::concat));
        }
        assertTrue(harness.router().counts().of(Counters.Count.IDLE_CLIENTS_CLOSED) > 0);
    }

    /** Clients may hold a third of the descriptors; beyond that idle ones are evicted before descriptors run short. */
    @Test
    void idleClientsBeyondAThirdOfTheDescriptorsAreEvicted() throws IOException {
        harness.descriptorLimit(120);
        startEcho();
        for (int i = 0; i < 46; i++) {
            Client client = harness.client();
            client.send(RouterHarness.lookQuery("" + i));
            assertEquals("" + i, value(client.readUntilReady()));
        }
        while (!harness.router().sizes().contains("clients 40,")) {
            Thread.onSpinWait(); // the sweep runs every 0.25 s; the test's timeout ends the loop
        }
        assertEquals(6, harness.router().counts().of(Counters.Count.IDLE_CLIENTS_CLOSED));
        assertEquals(0, harness.router().counts().of(Counters.Count.CLIENTS_TURNED_AWAY));
    }

    /** Reconnects as soon as it is turned away, as ordinary clients do, and stays connected once it is served. */
    private List<Message> connectUntilServed(String id) throws IOException {
        while (true) {
            Client client = harness.rawClient();
            try {
                client.send(Wire.startup("user", "u"), RouterHarness.lookQuery(id));
                Message first = client.read();
                if (first != null) {
                    client.readUntilReady();
                    List<Message> reply = client.readUntilReady();
                    if (!"53300".equals(reply.get(0).field('C'))) {
                        return reply;
                    }
                }
            } catch (java.net.SocketException e) {
                // turned away while it was sending
            }
            client.close();
        }
    }

    /**
     * Suspends and resumes reading hundreds of times: MINA could lose a write that was half done by that, as
     * DrainBeforeResetProcessor explains.
     */
    @RepeatedTest(3)
    void clientThatDoesNotReadDelaysNoOtherAndLosesNoAnswer() throws IOException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        byte[] large = new byte[64 * 1024];
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.row(large), Wire.ready())));
        harness.start(policy);
        Client slow = harness.client();
        byte[][] queries = new byte[800][];
        Arrays.setAll(queries, i -> RouterHarness.lookQuery("" + i));
        slow.send(queries);
        Client client = harness.client();
        for (int i = 0; i < 20; i++) {
            client.send(RouterHarness.lookQuery("x" + i));
            byte[] body = client.readUntilReady().get(1).body();
            assertArrayEquals(large, Arrays.copyOfRange(body, 6, body.length));
        }
        long received = harness.router().counts().of(Counters.Count.REQUESTS);
        assertTrue(received < 820, "requests must wait unread beyond what the kernel buffers: " + received);
        for (int i = 0; i < queries.length; i++) {
            assertEquals("TDC", slow.readTypesUntilReady(), "query " + i);
        }
        assertEquals(0, harness.router().counts().of(Counters.Count.CUT_OFF));
    }

    @Test
    void thousandsOfPipelinedEmptyQueriesAreAnswered() throws IOException {
        startEcho();
        Client client = harness.client();
        byte[][] queries = new byte[3_000][];
        Arrays.fill(queries, Wire.query(""));
        client.send(queries);
        for (int i = 0; i < queries.length; i++) {
            assertEquals("I", client.readTypesUntilReady());
        }
    }

    /** Together the clients exceed the limit of buffered bytes, so the one with the most has its requests answered at once. */
    @Test
    void requestsOfTheClientWithTheMostBufferedBytesAreAnsweredAtOnce() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        Client small = harness.client();
        small.send(RouterHarness.lookQuery("small"));
        byte[][] queries = new byte[120][];
        Arrays.setAll(queries, i -> Wire.query(
            RouterHarness.sql("id=large" + i + ",c=look,d=60000,cluster=2") + " -- " + "x".repeat(150_000)));
        Client first = harness.client();
        first.send(Arrays.copyOf(queries, 60));
        Client second = harness.client();
        second.send(Arrays.copyOfRange(queries, 60, 120));
        for (int i = 0; i < 1 + queries.length; i++) {
            policy.next(Arrival.class);
        }
        assertTrue(harness.router().counts().of(Counters.Count.SHED_FOR_MEMORY) >= 1);
        small.send(Wire.query(""));
        for (long request = 1; request <= 1 + queries.length; request++) {
            policy.submit(new RoutingPolicy.Fail(request));
        }
        assertEquals("E", small.readTypesUntilReady());
        assertEquals("I", small.readTypesUntilReady());
        for (int i = 0; i < 60; i++) {
            assertEquals("E", first.readTypesUntilReady(), "query " + i);
            assertEquals("E", second.readTypesUntilReady(), "query " + i);
        }
        assertEquals(0, harness.router().counts().of(Counters.Count.CUT_OFF));
    }

    /** Clients that send messages without end hold no request; together they exceed the limit, so the largest are closed. */
    @Test
    void clientWithTheMostBufferedBytesAndNoRequestIsClosed() throws IOException {
        harness.start(ScriptedPolicy.idle());
        byte[] incomplete = Arrays.copyOf(Wire.query("x".repeat(190_000)), 180_000);
        for (int i = 0; i < 100; i++) {
            harness.client().send(incomplete);
        }
        while (harness.router().counts().of(Counters.Count.CUT_OFF) == 0) {
            Thread.onSpinWait(); // the test's timeout ends the loop
        }
        Client client = harness.client();
        client.send(Wire.query(""));
        assertEquals("I", client.readTypesUntilReady());
        assertEquals(0, harness.router().counts().of(Counters.Count.SHED_FOR_MEMORY));
    }

    /** Guards against large requests that get no answer because many of them wait: those given up are answered at once. */
    @Test
    void largeRequestsThatWaitAreAnsweredWhereTheyTakeTooMuchMemory() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        harness.start(policy);
        String value = "f".repeat(2 * 64 * 1024);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 150; i++) { // each holds 128 KiB, of 16 MiB in all
            Client client = harness.client();
            client.send(Wire.query("/* id=" + i + ",c=put,t=acme,d=60000,cluster=2 */ "
                + "INSERT INTO facts (code, data) VALUES ('k', '\\x" + value + "') RETURNING data"));
            policy.next(Arrival.class);
            clients.add(client);
        }
        harness.router().sizes(); // answered by the event loop's next turn: what is given up is counted after it is answered
        long refused = harness.router().counts().of(Counters.Count.REFUSED);
        assertTrue(refused >= 150 - 128 && refused < 40, "refused " + refused);
        assertEquals(refused, harness.router().counts().of(Counters.Count.SHED_FOR_MEMORY));
        assertEquals(0, harness.router().counts().of(Counters.Count.CUT_OFF));
        for (long request = 1; request <= 150; request++) {
            policy.submit(new RoutingPolicy.Fail(request));
        }
        for (Client client : clients) {
            assertEquals("E", client.readTypesUntilReady());
        }
    }
}
