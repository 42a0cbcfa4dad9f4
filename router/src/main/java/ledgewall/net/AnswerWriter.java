package ledgewall.net;

import java.util.ArrayList;
import java.util.List;
import ledgewall.pg.MessageWriter;
import org.apache.mina.core.session.IoSession;

/**
 * Writes a client's answers in order. Counts what the I/O thread has not written yet, and notices a client that takes nothing of
 * it: only time tells that, since every answer waits for the I/O thread for a moment.
 */
final class AnswerWriter {
    /** Answers are joined up to this size, so that large ones are counted as written one by one and are not copied. */
    private static final int MAX_JOINED_BYTES = 64 * 1024;
    /** A client that has taken no byte for this long takes nothing; it has as long for the rest of a message. */
    private static final long STALL_TIMEOUT_NANOS = Clock.millisToNanos(2_300);

    private final RouterContext context;
    /** Answers that have not been handed to the I/O thread. */
    private final List<byte[]> pending = new ArrayList<>();
    private IoSession session;
    private int pendingBytes;
    private int handedOverBytes;
    /** The session's count of written bytes when it was last looked at. */
    private long observedBytes;
    /** When the client was last known to take bytes, or to have none to take. */
    private long progressAt;

    AnswerWriter(RouterContext context) {
        this.context = context;
    }

    void open(IoSession newSession) {
        session = newSession;
    }

    void add(byte[] answer) {
        if (unsentBytes() == 0) {
            progressAt = context.clock().now();
        }
        pending.add(answer);
        pendingBytes += answer.length;
    }

    /** Hands all pending answers to the I/O thread, joined: a write for each would cost a system call and a task for each. */
    void flush() {
        int first = 0;
        while (first < pending.size()) {
            int end = first + 1;
            long size = pending.get(first).length;
            while (end < pending.size() && size + pending.get(end).length <= MAX_JOINED_BYTES) {
                size += pending.get(end).length;
                end++;
            }
            write(pending.subList(first, end));
            first = end;
        }
        pending.clear();
        handedOverBytes += pendingBytes;
        pendingBytes = 0;
    }

    private void write(List<byte[]> answers) {
        context.counters().add(Counters.Count.CLIENT_WRITES);
        context.transport().write(session, answers.size() == 1 ? answers.get(0)
            : MessageWriter.join(answers.toArray(byte[][]::new)));
    }

    /** The I/O thread has finished a write of this many bytes. */
    void written(int bytes) {
        handedOverBytes -= bytes;
        progressAt = context.clock().now();
    }

    /** Drops the answers that have not been handed over. */
    void dropPending() {
        pending.clear();
        pendingBytes = 0;
    }

    /** The number of bytes that have not been written. */
    int unsentBytes() {
        return pendingBytes + handedOverBytes;
    }

    /** Looks at whether the client has taken part of a write. To be called regularly. */
    void observeProgress() {
        long writtenBytes = session.getWrittenBytes();
        if (writtenBytes != observedBytes) {
            observedBytes = writtenBytes;
            progressAt = context.clock().now();
        }
    }

    /** Whether answers wait of which the client has taken nothing for {@link #STALL_TIMEOUT_NANOS}. */
    boolean isStalled() {
        if (unsentBytes() == 0) {
            return false;
        }
        observeProgress();
        return context.clock().now() >= progressAt + STALL_TIMEOUT_NANOS;
    }
}
