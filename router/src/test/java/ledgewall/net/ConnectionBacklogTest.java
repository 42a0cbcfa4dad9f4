package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import ledgewall.standin.Wire;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A client that sends more commands than the router takes up at once, so that the router puts off reading the rest. */
class ConnectionBacklogTest {
    /** Commands that a connection may have in hand before the router puts off further ones. */
    private static final int IN_HAND = 64;
    private static final int SENT = IN_HAND + 26;
    /** Longer than a client may take to send a whole command. */
    private static final long STALL_NANOS = 3_000 * RouterHarness.MS;

    private final AtomicLong time = new AtomicLong();
    private final Clock clock = Clock.of(time::get, 0);
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport = new Transport(clock, loop, counters, 100);
    private final RouterContext context = new RouterContext(clock, loop, transport, new DescriptorBudget(100), counters,
        new BufferedBytes(), new IdleConnections(counters, 100, 0), 0);
    private final IoSession session = new DummySession();
    private final RecordingRequestHandler handler = new RecordingRequestHandler();
    private final ClientConnection connection = new ClientConnection(context, handler);

    @BeforeEach
    void startUp() {
        connection.opened(session);
        read(Wire.startup("user", "u")).run();
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private Runnable read(byte[] bytes) {
        return connection.receive(ByteBuffer.wrap(bytes), clock.now(), session);
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
    }

    /** Guards against requests that are dropped because the router did not read the rest of the one behind them. */
    @Test
    void messageThatTheRouterDoesNotReadOnIsNotHeldAgainstTheClient() {
        read(Wire.join(queries(SENT), halfAQuery())).run();
        assertEquals(IN_HAND, handler.slots().size());
        assertTrue(session.isReadSuspended());
        connection.failIfStalled(clock.now() + STALL_NANOS);
        assertEquals(0, handler.abandonedCount());
        answer(0, IN_HAND);
        assertEquals(SENT, handler.slots().size());
        answer(IN_HAND, SENT);
        assertFalse(handler.isClosed());
        assertFalse(session.isReadSuspended());
        assertEquals(0, counters.of(Counters.Count.BAD_CLIENTS));
    }

    /** Guards against the same at a planned stop, when the router reads no further because it is going to close. */
    @Test
    void messageThatADrainDoesNotReadOnIsNotHeldAgainstTheClient() {
        read(Wire.join(queries(2), halfAQuery())).run();
        connection.closeWhenAnswered();
        connection.failIfStalled(clock.now() + STALL_NANOS);
        assertEquals(0, handler.abandonedCount());
        answer(0, 2);
        assertTrue(handler.isClosed());
    }

    /** A client that stops in the middle of a message is still ended while the router reads. */
    @Test
    void messageThatDoesNotEndFailsTheConnectionWhileTheRouterReads() {
        read(Wire.join(queries(1), halfAQuery())).run();
        connection.failIfStalled(clock.now() + STALL_NANOS);
        assertEquals(1, handler.abandonedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against commands that get no answer because they were queued when their connection failed. */
    @Test
    void queuedCommandsAreRefusedWhenTheConnectionFails() {
        read(Wire.join(queries(SENT), Wire.message('~'))).run();
        assertEquals(IN_HAND, handler.abandonedCount());
        assertEquals(SENT - IN_HAND, handler.refusedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against a close over requests that the router has put off reading. */
    @Test
    void closeWaitsForWhatTheRouterHasPutOffReading() {
        read(queries(SENT)).run();
        connection.closeWhenAnswered();
        answer(0, IN_HAND);
        answer(IN_HAND, SENT);
        assertFalse(handler.isClosed());
        assertFalse(session.isReadSuspended());
        read(queries(1)).run();
        assertEquals(SENT + 1, handler.slots().size());
    }
}
