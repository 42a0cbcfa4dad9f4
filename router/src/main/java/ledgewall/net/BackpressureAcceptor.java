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
 * An acceptor that leaves connections in the kernel's accept queue while the process has no descriptor to spare. MINA's
 * own acceptor accepts until that fails and then sleeps for a second: hundreds of simultaneous connects would leave the
 * router no descriptors for its probes and would delay all other clients.
 */
final class BackpressureAcceptor extends NioSocketAcceptor {
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final BooleanSupplier mayAccept;
    private final LongConsumer onResumed;
    private final Runnable onBlocked;
    private boolean paused;
    private long pausedAtNanos;

    /**
     * Creates an acceptor whose callbacks run on its own thread.
     *
     * @param mayAccept whether another connection may be accepted now
     * @param onBlocked runs each time that a client has to wait
     * @param onResumed receives the length of each pause in nanoseconds, once it is over
     */
    BackpressureAcceptor(IoProcessor<NioSession> processor, BooleanSupplier mayAccept, Runnable onBlocked,
                         LongConsumer onResumed) {
        super(processor);
        this.mayAccept = mayAccept;
        this.onResumed = onResumed;
        this.onBlocked = onBlocked;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (mayAccept.getAsBoolean()) {
            try {
                NioSession session = super.accept(processor, handle);
                resume();
                return session;
            } catch (IOException e) {
                // out of descriptors nevertheless: pause as well
            }
        }
        pause();
        onBlocked.run();
        LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        return null;
    }

    private void pause() {
        if (!paused) {
            paused = true;
            pausedAtNanos = System.nanoTime();
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            onResumed.accept(System.nanoTime() - pausedAtNanos);
        }
    }
}
