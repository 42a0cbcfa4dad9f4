package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A connection that is to be closed while one of its reads is queued between the I/O thread and the event loop. The kernel has
 * acknowledged the request in that read to the client, so that the request has to be answered first.
 */
class ConnectionEvictionTest {
    private final ConnectionFixture fixture = new ConnectionFixture();
    private final ClientConnection connection = fixture.connection();
    private final RecordingRequestHandler handler = fixture.handler();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void requestInAQueuedReadIsAnsweredBeforeTheConnectionIsEvicted() {
        Runnable read = fixture.read(RouterHarness.lookQuery("1"));
        assertFalse(connection.closeIfQuiescent());
        read.run();
        assertEquals(1, handler.slots().size());
        assertFalse(connection.closeIfQuiescent());
        assertFalse(handler.isClosed());
        byte[] answer = Wire.row(new byte[] {1});
        handler.slots().get(0).complete(answer);
        connection.written(answer.length);
        assertTrue(connection.closeIfQuiescent());
        assertTrue(handler.isClosed());
    }

    @Test
    void drainAnswersRequestsInQueuedReads() {
        Runnable first = fixture.read(RouterHarness.lookQuery("1"));
        Runnable second = fixture.read(RouterHarness.lookQuery("2"));
        connection.closeWhenAnswered();
        first.run();
        handler.slots().get(0).complete(Wire.row(new byte[] {1}));
        assertFalse(handler.isClosed());
        second.run();
        assertEquals(2, handler.slots().size());
        handler.slots().get(1).complete(Wire.row(new byte[] {2}));
        assertTrue(handler.isClosed());
    }

    @Test
    void connectionClosesAfterAQueuedReadWithoutACommand() {
        Runnable read = fixture.read(new byte[] {'Q'});
        connection.closeWhenAnswered();
        assertFalse(handler.isClosed());
        read.run();
        assertTrue(handler.isClosed());
    }

    @Test
    void connectionIsEvictedAfterAQueuedReadWithoutACommand() {
        Runnable read = fixture.read(new byte[] {'Q'});
        assertFalse(connection.closeIfQuiescent());
        assertFalse(handler.isClosed());
        read.run();
        assertTrue(connection.closeIfQuiescent());
        assertTrue(handler.isClosed());
    }

    @Test
    void unusedConnectionIsEvictedAtOnce() {
        assertTrue(connection.closeIfQuiescent());
        assertTrue(handler.isClosed());
    }

    /** Guards against an answer that is dropped because its connection is evicted before the I/O thread has sent it. */
    @Test
    void connectionIsNotEvictedBeforeItsAnswerIsSent() {
        fixture.read(RouterHarness.lookQuery("1")).run();
        byte[] answer = Wire.row(new byte[] {1});
        handler.slots().get(0).complete(answer);
        assertFalse(connection.closeIfQuiescent());
        assertFalse(handler.isClosed());
        connection.written(answer.length);
        assertTrue(connection.closeIfQuiescent());
    }

    /** Guards against requests that are dropped because an earlier read has failed the connection. */
    @Test
    void requestsInReadsBehindTheOneThatFailsTheConnectionAreRefused() {
        byte[][] invalid = new byte[8][];
        Arrays.fill(invalid, Wire.query("nonsense"));
        Runnable failing = fixture.read(Wire.join(invalid));
        Runnable behind = fixture.read(RouterHarness.lookQuery("1"));
        failing.run();
        assertFalse(handler.isClosed());
        behind.run();
        assertEquals(1, handler.refusedCount());
        assertTrue(handler.isClosed());
    }

    /** Guards against a request that is dropped because its first half took too much memory. */
    @Test
    void requestCompletedByAQueuedReadIsRefusedWhenItsConnectionIsCutOff() {
        byte[] query = RouterHarness.lookQuery("1");
        fixture.read(Arrays.copyOf(query, query.length / 2)).run();
        Runnable rest = fixture.read(Arrays.copyOfRange(query, query.length / 2, query.length));
        connection.shedBufferedBytes();
        assertFalse(handler.isClosed());
        rest.run();
        assertEquals(1, handler.refusedCount());
        assertTrue(handler.isClosed());
    }
}
