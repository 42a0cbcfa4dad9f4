package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A client that sends more commands than the router takes up at once, so that the router puts off reading the rest. */
class ConnectionBacklogTest {
    /** Commands that a connection may have in hand before the router puts off further ones. */
    private static final int IN_HAND = 64;
    private static final int SENT = IN_HAND + 26;
    /** Longer than a client may take to send a whole command. */
    private static final long STALL_NANOS = 3_000 * RouterHarness.MS;

    private final ConnectionFixture fixture = new ConnectionFixture();
    private final ClientConnection connection = fixture.connection();
    private final RecordingRequestHandler handler = fixture.handler();

    @AfterEach
    void close() {
        fixture.close();
    }

    private static byte[] queries(int count) {
        byte[] all = new byte[0];
        for (int i = 0; i < count; i++) {
            all = Wire.join(all, RouterHarness.lookQuery("" + i));
        }
        return all;
    }

    private static byte[] halfAQuery() {
        byte[] query = RouterHarness.lookQuery("last");
        return Arrays.copyOf(query, query.length / 2);
    }

    private void answer(int first, int end) {
        for (int i = first; i < end; i++) {
            handler.slots().get(i).complete(Wire.row(new byte[] {1}));
        }
        fixture.runDeferred();
    }

    /** Has the connection read bytes, and process as much of them as it does however many turns pass. */
    private void receive(byte[] bytes) {
        fixture.read(bytes).run();
        fixture.runDeferred();
    }

    /** Guards against requests that are dropped because the router did not read the rest of the one behind them. */
    @Test
    void messageThatTheRouterDoesNotReadOnIsNotHeldAgainstTheClient() {
        receive(Wire.join(queries(SENT), halfAQuery()));
        assertEquals(IN_HAND, handler.slots().size());
        connection.failIfStalled(fixture.now() + STALL_NANOS);
        assertEquals(0, handler.abandonedCount());
        answer(0, IN_HAND);
        assertEquals(SENT, handler.slots().size());
        answer(IN_HAND, SENT);
        assertFalse(handler.isClosed());
        assertFalse(fixture.isReadSuspended());
        assertEquals(0, fixture.counters().of(Counters.Count.BAD_CLIENTS));
    }

    /** Guards against a leave that goes unnoticed, as the end of the stream lies behind bytes that the router does not read. */
    @Test
    void readingGoesOnWhileRequestsAreInHand() {
        for (int i = 0; i < 10; i++) {
            fixture.startTurn();
            receive(queries(SENT));
            assertEquals(IN_HAND, handler.slots().size());
            assertFalse(fixture.isReadSuspended(), "after read " + i);
        }
        connection.closeWhenAnswered();
        assertFalse(fixture.isReadSuspended());
    }

    /** Guards against memory in proportion to what a client pipelines. */
    @Test
    void requestsBeyondTheBoundOfTheQueueAreRefusedAndTheOthersWait() {
        for (int i = 0; i < 40; i++) {
            fixture.startTurn();
            receive(queries(SENT));
        }
        int refused = handler.refusedCount();
        assertTrue(refused > 40 * SENT - IN_HAND - 2_000 && refused < 40 * SENT - IN_HAND - 500, "refused " + refused);
        assertEquals(IN_HAND, handler.slots().size());
        assertEquals(0, handler.abandonedCount());
        assertFalse(handler.isClosed());
    }

    /** Guards against memory that nobody counts: short commands, and answers that wait, take more than the bytes sent. */
    @Test
    void memoryOfQueuedCommandsAndWaitingAnswersIsCounted() {
        long before = fixture.countedMemory();
        receive(queries(IN_HAND));
        answer(1, IN_HAND);
        int answerBytes = Wire.row(new byte[] {1}).length;
        assertTrue(fixture.countedMemory() - before >= (IN_HAND - 1) * answerBytes);
        before = fixture.countedMemory();
        byte[][] syncs = new byte[1_000][];
        Arrays.fill(syncs, Wire.message('S'));
        receive(Wire.join(syncs));
        assertTrue(fixture.countedMemory() - before >= 40 * syncs.length, "" + (fixture.countedMemory() - before));
    }

    @Test
    void endOfInputAbandonsTheRequestsInHandAndRefusesTheQueuedOnes() {
        receive(queries(SENT));
        connection.inputEnded(fixture.now());
        assertEquals(IN_HAND, handler.abandonedCount());
        assertEquals(SENT - IN_HAND, handler.refusedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against a leave that goes unnoticed, as the client's last word is queued behind its commands. */
    @Test
    void terminateEndsTheRequestsBeforeItAtOnce() {
        receive(queries(SENT));
        receive(Wire.join(queries(1), Wire.message('X')));
        assertEquals(IN_HAND, handler.abandonedCount());
        assertEquals(SENT - IN_HAND + 1, handler.refusedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against the same at a planned stop, when the router reads no further because it is going to close. */
    @Test
    void messageThatADrainDoesNotReadOnIsNotHeldAgainstTheClient() {
        receive(Wire.join(queries(2), halfAQuery()));
        connection.closeWhenAnswered();
        connection.failIfStalled(fixture.now() + STALL_NANOS);
        assertEquals(0, handler.abandonedCount());
        answer(0, 2);
        assertTrue(handler.isClosed());
    }

    /** A client that stops in the middle of a message is still ended while the router reads. */
    @Test
    void messageThatDoesNotEndFailsTheConnectionWhileTheRouterReads() {
        receive(Wire.join(queries(1), halfAQuery()));
        connection.failIfStalled(fixture.now() + STALL_NANOS);
        assertEquals(1, handler.abandonedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against commands that get no answer because they were queued when their connection failed. */
    @Test
    void queuedCommandsAreRefusedWhenTheConnectionFails() {
        receive(queries(SENT));
        receive(Wire.message('~'));
        assertEquals(IN_HAND, handler.abandonedCount());
        assertEquals(SENT - IN_HAND, handler.refusedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against a close over requests that the router has put off reading. */
    @Test
    void closeWaitsForWhatTheRouterHasPutOffReading() {
        receive(queries(SENT));
        connection.closeWhenAnswered();
        answer(0, IN_HAND);
        answer(IN_HAND, SENT);
        assertFalse(handler.isClosed());
        assertFalse(fixture.isReadSuspended());
        receive(queries(1));
        assertEquals(SENT + 1, handler.slots().size());
    }
}
