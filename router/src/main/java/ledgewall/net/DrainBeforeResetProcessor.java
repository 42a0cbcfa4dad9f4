package ledgewall.net;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor, led in three places. It passes on what a connection said before it was reset: MINA reads on
 * until nothing is left, and a reset met there throws away what the same turn has read, so that an answer that
 * came whole would pass for a broken one. It suspends and resumes reading on its own thread and leaves interest in
 * writing alone: MINA changes both from the caller's thread, against its own, and forgets a write that is half
 * done, so that a client's answers could stop for good. And it can be asked to read what has come.
 */
final class DrainBeforeResetProcessor extends NioProcessor {
    /** What was ready when the first pass began may have been picked before; the second has all. */
    private static final int PASSES = 2;
    /** Without connections there are no passes: nothing can have come. */
    private static final long PATIENCE = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long LOOK = TimeUnit.MICROSECONDS.toNanos(100);

    private final Queue<NioSession> readChanges = new ConcurrentLinkedQueue<>();
    private volatile long passes;

    DrainBeforeResetProcessor(Executor executor) {
        super(executor);
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        try {
            return super.read(session, buffer);
        } catch (IOException e) {
            if (buffer.position() == 0) {
                throw e;
            }
            return 0; // the next turn meets the reset again, with nothing before it
        }
    }

    @Override
    public void updateTrafficControl(NioSession session) {
        readChanges.add(session);
        wakeup();
    }

    @Override
    protected int select(long timeout) throws Exception {
        passes = passes + 1; // this thread alone writes it
        for (NioSession session = readChanges.poll(); session != null; session = readChanges.poll()) {
            setInterestedInRead(session, !session.isReadSuspended());
        }
        return super.select(timeout);
    }

    /** Waits until all that had come before this call has been read and queued. */
    void catchUp() {
        long until = passes + PASSES;
        long end = System.nanoTime() + PATIENCE;
        while (passes < until && System.nanoTime() < end) {
            wakeup();
            LockSupport.parkNanos(LOOK);
        }
    }
}
