package ledgewall.net;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import ledgewall.pg.MessageWriter;
import ledgewall.standin.Wire;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;

/** One client's connection without a socket or a running loop; a test decides when a read is processed, and what time it is. */
final class ConnectionFixture implements AutoCloseable {
    private static final int DESCRIPTORS = 100;

    private final AtomicLong time = new AtomicLong();
    private final Clock clock = Clock.of(time::get, 0);
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport = new Transport(clock, loop, counters, DESCRIPTORS);
    private final IoSession session = new DummySession();
    private final RecordingRequestHandler handler = new RecordingRequestHandler();
    private final RouterContext context = new RouterContext(clock, loop, transport, new DescriptorBudget(DESCRIPTORS), counters,
        new BufferedBytes(), new IdleConnections(counters, DESCRIPTORS, 0), 0);
    private final ClientConnection connection = new ClientConnection(context, handler);

    /** Opens the connection and completes its start-up handshake. */
    ConnectionFixture() {
        connection.opened(session);
        read(Wire.startup("user", "u")).run();
        connection.written(MessageWriter.startupReply().length);
    }

    ClientConnection connection() {
        return connection;
    }

    RecordingRequestHandler handler() {
        return handler;
    }

    Counters counters() {
        return counters;
    }

    long now() {
        return clock.now();
    }

    void advance(long nanos) {
        time.addAndGet(nanos);
    }

    /** The memory that the router counts for the connection. */
    long countedMemory() {
        return context.bufferedBytes().totalBytes();
    }

    boolean isReadSuspended() {
        return session.isReadSuspended();
    }

    /** Begins another turn of the event loop. */
    void startTurn() {
        loop.inputScheduler().startTurn();
    }

    /** Runs further turns until no command waits for one. */
    void runDeferred() {
        while (loop.inputScheduler().hasDeferred()) {
            time.addAndGet(InputScheduler.DEFERRED_INTERVAL_NANOS);
            loop.inputScheduler().startTurn();
            loop.inputScheduler().runDeferred(time.get());
        }
    }

    /** Reads bytes as the I/O thread does, and returns the task that it queues for the event loop. */
    Runnable read(byte[] bytes) {
        return connection.receive(ByteBuffer.wrap(bytes), clock.now(), session);
    }

    @Override
    public void close() {
        transport.close();
    }
}
