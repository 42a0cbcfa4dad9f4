package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import ledgewall.standin.Client;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients to whom more bytes of answers are on their way than the router's memory for clients holds. */
@Timeout(120)
class AnswersOnTheirWayTest {
    private static final int REQUESTS = 60;
    /** With the last one the answers take more than the memory for clients, which is 16 MiB at most. */
    private static final int HUGE_ANSWER_BYTES = 16 * 1024 * 1024 / REQUESTS + 1024;
    private static final int LARGE_VALUE_BYTES = 60 * 1024;
    private static final int CLIENTS = 8;
    /** Longer than a client may take nothing of its answers while memory is short. */
    private static final long STALL_NANOS = 3_000 * RouterHarness.MS;

    private static byte[][] queries(String prefix) {
        byte[][] queries = new byte[REQUESTS][];
        Arrays.setAll(queries, i -> RouterHarness.lookQuery(prefix + i));
        return queries;
    }

    /** Has the router hand over more answers than its memory holds, none of which the I/O thread has written yet. */
    private static void handOverAnswers(ConnectionFixture fixture) {
        fixture.read(Wire.join(queries("r"))).run();
        fixture.runDeferred();
        byte[] answer = Wire.row(new byte[HUGE_ANSWER_BYTES]);
        List.copyOf(fixture.handler().slots()).forEach(slot -> slot.complete(answer));
    }

    /** Guards against a client that is closed over its answers, since the I/O thread had not written them yet. */
    @Test
    void clientIsNotClosedOverAnswersThatHaveJustBeenHandedOver() {
        try (ConnectionFixture fixture = new ConnectionFixture()) {
            handOverAnswers(fixture);
            assertEquals(REQUESTS, fixture.handler().slots().size());
            assertFalse(fixture.handler().isClosed());
            assertEquals(0, fixture.counters().of(Counters.Count.CUT_OFF));
        }
    }

    /** Guards against a client that is closed over its answers, though it takes them, if slowly. */
    @Test
    void clientThatTakesItsAnswersSlowlyIsNotClosed() {
        try (ConnectionFixture fixture = new ConnectionFixture()) {
            handOverAnswers(fixture);
            fixture.advance(STALL_NANOS);
            fixture.connection().written(1);
            fixture.read(Wire.query("")).run();
            assertFalse(fixture.handler().isClosed());
            assertEquals(0, fixture.counters().of(Counters.Count.CUT_OFF));
        }
    }

    /** Guards against memory that clients keep by taking nothing of their answers. */
    @Test
    void clientThatTakesNothingIsClosedWhereMemoryIsShort() {
        try (ConnectionFixture fixture = new ConnectionFixture()) {
            handOverAnswers(fixture);
            fixture.advance(STALL_NANOS);
            fixture.read(Wire.query("")).run();
            assertTrue(fixture.handler().isClosed());
            assertEquals(1, fixture.counters().of(Counters.Count.CUT_OFF));
            assertEquals(0, fixture.countedMemory());
        }
    }

    /** Guards against idle clients that are closed one after the other, as answers fill the memory of which they hold none. */
    @Test
    void idleClientIsNotClosedForMemoryButOneWithAPartOfAMessageIs() {
        try (ConnectionFixture fixture = new ConnectionFixture()) {
            assertFalse(fixture.connection().canFreeMemory());
            byte[] query = RouterHarness.lookQuery("1");
            fixture.read(Arrays.copyOf(query, query.length / 2)).run();
            assertTrue(fixture.connection().canFreeMemory());
        }
    }

    /** Guards against clients with many commands at once that are cut off before their answers. */
    @Test
    void eachOfManyReadsOfLargeValuesSentAtOnceGetsOneFinalAnswer() throws Exception {
        byte[] value = new byte[LARGE_VALUE_BYTES];
        try (RouterHarness harness = new RouterHarness()) {
            StubServer host = StubServer.host((connection, sql) -> connection.write(Wire.row(value), Wire.ready()));
            harness.host("m", host).start(ScriptedPolicy.sendTo("m", 0));
            List<CompletableFuture<Integer>> answered = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Client client = harness.client();
                client.send(queries("c" + i + "r"));
                answered.add(CompletableFuture.supplyAsync(() -> countAnswers(client), command -> new Thread(command).start()));
            }
            for (CompletableFuture<Integer> count : answered) {
                assertEquals(REQUESTS, count.get());
            }
            assertEquals(0, harness.router().counts().of(Counters.Count.CUT_OFF));
            assertTrue(harness.router().counts().of(Counters.Count.SERVED) > 0);
        }
    }

    /** Guards against answers that find no room because others fill the memory with parts of messages. */
    @Test
    void largeAnswerIsServedWhileOthersHoldPartsOfMessages() throws Exception {
        byte[] value = new byte[LARGE_VALUE_BYTES];
        byte[] partOfAMessage = Arrays.copyOf(Wire.query("x".repeat(190_000)), 180_000);
        try (RouterHarness harness = new RouterHarness()) {
            StubServer host = StubServer.host((connection, sql) -> connection.write(Wire.row(value), Wire.ready()));
            harness.host("m", host).start(ScriptedPolicy.sendTo("m", 0));
            for (int i = 0; i < 100; i++) {
                harness.client().send(partOfAMessage);
            }
            while (harness.router().counts().of(Counters.Count.CUT_OFF) == 0) {
                Thread.onSpinWait(); // the test's timeout ends the loop
            }
            Client client = harness.client();
            for (int i = 0; i < 5; i++) {
                client.send(RouterHarness.lookQuery("r" + i));
                assertEquals("TDC", client.readTypesUntilReady());
            }
        }
    }

    private static int countAnswers(Client client) {
        int count = 0;
        try {
            while (count < REQUESTS) {
                client.readUntilReady();
                count++;
            }
        } catch (IOException e) {
            // the connection has ended before the remaining answers
        }
        return count;
    }
}
