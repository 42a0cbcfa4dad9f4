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
 * An I/O processor that differs from MINA's in six ways. It reads nothing from a connection whose {@link ReadGate} is closed.
 * It delivers the data received before a reset: MINA reads a socket until nothing is left, and if a reset occurs there it
 * discards what the same pass has read, so that a complete answer would be treated as a broken one. It suspends and resumes
 * reads on its own thread and leaves write interest unchanged: MINA changes both from the caller's thread, in a race with its
 * own, and loses a partial write, so that answers to a client could stop for good. A caller can wait until all data received
 * so far has been read, or have a task run then. It runs a task before each selection. And it writes nothing to a connection
 * whose {@link WriteDeadline} is over, but closes it.
 */
final class DrainBeforeResetProcessor extends NioProcessor {
    /** The first pass may have selected its sockets before the call; the second covers all of them. */
    private static final int REQUIRED_PASSES = 2;
    /** Bounds the wait: without connections there are no passes, and nothing to read. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

    /** The session's attribute that holds its {@link ReadGate}, if it has one. */
    static final String READ_GATE_ATTRIBUTE = "ledgewall.read-gate";

    /** The session's attribute that holds its {@link WriteDeadline}, if it has one. */
    static final String WRITE_DEADLINE_ATTRIBUTE = "ledgewall.write-deadline";

    private final Clock clock;
    private final Queue<NioSession> readInterestChanges = new ConcurrentLinkedQueue<>();
    private final Runnable onSelectPass;
    private final Queue<PassTask> passTasks = new ConcurrentLinkedQueue<>();
    private volatile long selectPasses;

    /** A task to run on this processor's thread once it has begun this many passes. */
    private record PassTask(long pass, Runnable task) { }

    /** Creates a processor that runs {@code onSelectPass} on its thread before each selection, at least once a second. */
    DrainBeforeResetProcessor(Executor executor, Clock clock, Runnable onSelectPass) {
        super(executor);
        this.clock = clock;
        this.onSelectPass = onSelectPass;
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        ReadGate gate = (ReadGate) session.getAttribute(READ_GATE_ATTRIBUTE);
        return gate == null ? readSocket(session, buffer) : gate.read(() -> readSocket(session, buffer));
    }

    private int readSocket(NioSession session, IoBuffer buffer) throws Exception {
        try {
            return super.read(session, buffer);
        } catch (IOException e) {
            if (buffer.position() == 0) {
                throw e;
            }
            return 0; // the next pass encounters the reset again, without data before it
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
        WriteDeadline deadline = (WriteDeadline) session.getAttribute(WRITE_DEADLINE_ATTRIBUTE);
        if (deadline != null && !deadline.permitsWrite(clock.now())) {
            session.closeNow();
            return 0;
        }
        return super.write(session, buffer, length);
    }

    @Override
    public void updateTrafficControl(NioSession session) {
        readInterestChanges.add(session);
        wakeup();
    }

    @Override
    protected int select(long timeout) throws Exception {
        selectPasses = selectPasses + 1; // not atomic: only this thread writes it
        onSelectPass.run();
        for (NioSession session = readInterestChanges.poll(); session != null; session = readInterestChanges.poll()) {
            setInterestedInRead(session, !session.isReadSuspended());
        }
        runPassTasks();
        if (!passTasks.isEmpty()) {
            wakeup(); // the remaining tasks wait for the next pass, not for data
        }
        return super.select(timeout);
    }

    private void runPassTasks() {
        for (PassTask next = passTasks.peek(); next != null && next.pass() <= selectPasses; next = passTasks.peek()) {
            passTasks.poll().task().run();
        }
    }

    /** Runs a task on this processor's thread after a pass in which it has read from every connection with data. */
    void afterPendingReads(Runnable task) {
        passTasks.add(new PassTask(selectPasses + REQUIRED_PASSES, task));
        wakeup();
    }

    /** Waits until all data received before this call has been read and queued for the event loop. */
    void awaitPendingReads() {
        long targetPass = selectPasses + REQUIRED_PASSES;
        long waitUntilNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (selectPasses < targetPass && System.nanoTime() < waitUntilNanos) {
            wakeup();
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
