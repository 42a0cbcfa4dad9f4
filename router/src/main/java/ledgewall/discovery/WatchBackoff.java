package ledgewall.discovery;

import java.util.SplittableRandom;

/**
 * Decides when a watch that has failed is opened again: after a wait that doubles with each failure, with jitter, since all
 * routers may have lost discovery at the same moment, but early enough for a change to be known in time. All times are
 * nanoseconds on one monotonic clock.
 */
final class WatchBackoff {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Every change has to be known within this time once discovery can be asked for it. */
    private static final long CHANGE_KNOWN_WITHIN_NS = 6_000 * NANOS_PER_MILLI;
    /** The part of that time that is left to discovery for its answer. */
    private static final long ANSWER_TIME_NS = 2_000 * NANOS_PER_MILLI;
    /** Longest time between the last sign of life of discovery, or a call that may have got lost, and the next call. */
    private static final long MAX_ASK_INTERVAL_NS = CHANGE_KNOWN_WITHIN_NS - ANSWER_TIME_NS;

    /** Where changes are pushed, each second counts, and the discovery agent is asked at no cost to others. */
    private static final long MIN_PUSH_WAIT_NS = 100 * NANOS_PER_MILLI;
    private static final long MAX_PUSH_WAIT_NS = 500 * NANOS_PER_MILLI;
    /** Where lists are asked for, the calls of all routers load discovery. */
    private static final long MIN_ON_DEMAND_WAIT_NS = 1_000 * NANOS_PER_MILLI;
    private static final long MAX_ON_DEMAND_WAIT_NS = MAX_ASK_INTERVAL_NS;

    private final long minNs;
    private final long maxNs;
    private final SplittableRandom random;
    private long waitNs;

    private WatchBackoff(long minNs, long maxNs, SplittableRandom random) {
        this.minNs = minNs;
        this.maxNs = maxNs;
        this.random = random;
        this.waitNs = minNs;
    }

    static WatchBackoff whereListsArePushed(SplittableRandom random) {
        return new WatchBackoff(MIN_PUSH_WAIT_NS, MAX_PUSH_WAIT_NS, random);
    }

    static WatchBackoff whereListsAreAskedFor(SplittableRandom random) {
        return new WatchBackoff(MIN_ON_DEMAND_WAIT_NS, MAX_ON_DEMAND_WAIT_NS, random);
    }

    /** Discovery works, or another one is asked from now on. */
    void reset() {
        waitNs = minNs;
    }

    /**
     * When to open the watch again after a failure at {@code now}.
     *
     * @param openedAt when the failed watch was opened
     * @param lastByteAt when its last byte came, or {@code openedAt} if none did
     */
    long reopenAt(long openedAt, long lastByteAt, long now) {
        if (lastByteAt - openedAt >= maxNs) {
            reset(); // the watch has worked for longer than the longest wait
        }
        long timeLeft = Math.max(0, lastByteAt + MAX_ASK_INTERVAL_NS - now);
        long wait = Math.min(waitNs, timeLeft);
        waitNs = Math.min(maxNs, 2 * waitNs);
        return now + wait / 2 + random.nextLong(1 + wait / 2);
    }
}
