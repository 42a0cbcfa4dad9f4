package ledgewall.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * MINA's acceptor, which leaves connections in the kernel's queue while the process has no descriptor to spare. MINA
 * accepts until that fails and then sleeps for a second, so that hundreds of connects at once would cost the router
 * its probes and the others their place.
 */
final class BackpressureAcceptor extends NioSocketAcceptor {
    private static final long PAUSE = TimeUnit.MILLISECONDS.toNanos(1);

    private final BooleanSupplier mayAccept;
    private final LongConsumer resumed;
    private final Runnable waiting;
    private boolean paused;
    private long pausedAt;

    /**
     * Runs {@code waiting} each time that a client has to wait, and tells {@code resumed} after each pause how long it was,
     * in nanoseconds; both on the acceptor's thread.
     */
    BackpressureAcceptor(IoProcessor<NioSession> processor, BooleanSupplier mayAccept, Runnable waiting, LongConsumer resumed) {
        super(processor);
        this.mayAccept = mayAccept;
        this.resumed = resumed;
        this.waiting = waiting;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (mayAccept.getAsBoolean()) {
            try {
                NioSession session = super.accept(processor, handle);
                resume();
                return session;
            } catch (IOException e) {
                // out of descriptors all the same: as below
            }
        }
        pause();
        waiting.run();
        LockSupport.parkNanos(PAUSE);
        return null;
    }

    private void pause() {
        if (!paused) {
            paused = true;
            pausedAt = System.nanoTime();
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            resumed.accept(System.nanoTime() - pausedAt);
        }
    }
}
