package ledgewall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers the writes of sessions that this router has served, and tells the position that a member must have reached for
 * the session's reads. All times and positions are nanoseconds.
 *
 * <p>A write counts from the moment in which its client can have the answer. The position of its commit may be told later
 * than that, or never, or be one that cannot be true; the time at which the answer arrived stands in for it then, because
 * the commit came before the answer.
 */
final class SessionWrites {
    /** The position that is required by a session that has not written. */
    static final long NO_WRITE = Long.MIN_VALUE;
    /** A limit on memory: the sessions take some megabytes at most. */
    private static final int MAX_SESSIONS = 20_000;
    private static final long MS = 1_000_000L;
    /** Commits are dated in whole milliseconds, rounded up. */
    private static final long COMMIT_RESOLUTION = MS;
    /** How far the clocks of hosts may be from the router's: all machines share one, and positions are rounded. */
    private static final long MAX_CLOCK_DIFFERENCE = 100 * MS;

    /** A write whose client can have the answer, while its attempt has not ended; it committed by {@code latestCommit}. */
    private record AnsweredWrite(long request, long latestCommit) { }

    /** The highest position of each session's writes that have ended; the session that wrote last is at the end. */
    private final Map<Long, Long> positions = new LinkedHashMap<>();
    /** The writes of each session that were answered and have not ended: they are attempts in flight. */
    private final Map<Long, List<AnsweredWrite>> answeredWrites = new HashMap<>();
    /** The highest position of the sessions that were evicted. */
    private long evictedPosition = NO_WRITE;

    /** The complete answer to a write has arrived; its attempt ends, and may tell the write's position, later. */
    void onAnswered(Request write, long now) {
        answeredWrites.computeIfAbsent(write.arrival.session(), session -> new ArrayList<>(1))
            .add(new AnsweredWrite(write.id(), latestCommit(now)));
    }

    /**
     * The attempt that served a write has ended.
     *
     * @param toldPosition the position that its answer told, or {@link RoutingPolicy#NONE}
     * @return whether the position was used, rather than the time of the answer
     */
    boolean onServed(Request write, long toldPosition, long now) {
        long session = write.arrival.session();
        long latestCommit = takeAnswered(session, write.id(), latestCommit(now));
        boolean plausible = toldPosition != RoutingPolicy.NONE && toldPosition >= earliestCommit(write)
            && toldPosition <= now + MAX_CLOCK_DIFFERENCE;
        remember(session, plausible ? toldPosition : latestCommit);
        return plausible;
    }

    /** Whether a write was answered and its attempt has not ended. */
    boolean isAnswered(Request write) {
        return answeredWrites.getOrDefault(write.arrival.session(), List.of()).stream()
            .anyMatch(answered -> answered.request() == write.id());
    }

    private static long latestCommit(long answeredAt) {
        return answeredAt + COMMIT_RESOLUTION;
    }

    /** A repeat that was discarded as a duplicate is answered with the commit of the first copy, which another try had sent. */
    private static long earliestCommit(Request write) {
        boolean mayBeDuplicate = write.requestClass.retrySafety() == RoutingPolicy.RetrySafety.DEDUPLICATED;
        long window = mayBeDuplicate ? write.requestClass.deduplicationWindow() : 0;
        return write.firstRequestedAt - window - MAX_CLOCK_DIFFERENCE;
    }

    /** Removes an answered write and returns when it had committed at the latest; {@code otherwise} if there is none. */
    private long takeAnswered(long session, long request, long otherwise) {
        List<AnsweredWrite> writes = answeredWrites.getOrDefault(session, List.of());
        for (AnsweredWrite write : writes) {
            if (write.request() == request) {
                writes.remove(write);
                if (writes.isEmpty()) {
                    answeredWrites.remove(session);
                }
                return write.latestCommit();
            }
        }
        return otherwise;
    }

    private void remember(long session, long position) {
        Long earlier = positions.remove(session); // so that the session moves to the end
        positions.put(session, earlier == null ? position : Math.max(earlier, position));
        if (positions.size() > MAX_SESSIONS) {
            Long oldest = positions.keySet().iterator().next();
            evictedPosition = Math.max(evictedPosition, positions.remove(oldest));
        }
    }

    /**
     * The position that a member must have reached for a read of a session whose last write only this router remembers. An
     * evicted write counts for all sessions that are unknown here: their reads get newer data than they require, never older.
     */
    long requiredPosition(long session) {
        return Math.max(rememberedPosition(session), positions.containsKey(session) ? NO_WRITE : evictedPosition);
    }

    /** The position of the last write of a session, {@link #NO_WRITE} if none is remembered. */
    long rememberedPosition(long session) {
        long required = positions.getOrDefault(session, NO_WRITE);
        for (AnsweredWrite write : answeredWrites.getOrDefault(session, List.of())) {
            required = Math.max(required, write.latestCommit());
        }
        return required;
    }
}
