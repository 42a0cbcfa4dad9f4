package ledgewall.net;

import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;

/**
 * The reads of one connection that wait for the event loop. Reading is suspended while there are many, so that whoever sends
 * faster than the loop processes fills neither its queue nor the heap.
 */
final class QueuedReads {
    /** Reads that wait at most, of up to 16 KiB each. */
    static final int MAX_QUEUED_READS = 4;

    private final AtomicInteger count = new AtomicInteger();

    /** Counts a read on the I/O thread; returns the task with which the event loop processes it. */
    Runnable queue(IoSession session, Runnable processing) {
        if (count.incrementAndGet() >= MAX_QUEUED_READS) {
            session.suspendRead();
        }
        return () -> {
            if (count.decrementAndGet() < MAX_QUEUED_READS && session.isReadSuspended()) {
                session.resumeRead();
            }
            processing.run();
        };
    }
}
