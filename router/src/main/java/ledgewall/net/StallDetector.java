package ledgewall.net;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects a turn of the event loop that does not end. A loop that hangs answers nothing and logs nothing by itself, so that
 * another thread has to tell where it is.
 */
final class StallDetector {
    private static final Logger LOG = LoggerFactory.getLogger(StallDetector.class);
    /** Duration from which a turn counts as stalled; ordinary turns take milliseconds. */
    private static final long STALLED_TURN_NANOS = Clock.millisToNanos(2_000);
    /** Stands for the start of a turn while the loop waits for the next one. */
    private static final long BETWEEN_TURNS = Long.MIN_VALUE;
    private static final int LOGGED_FRAMES = 8;

    private final Clock clock;
    private final Counters counters;
    private volatile long turnStartedAt = BETWEEN_TURNS;
    private volatile Thread loopThread;
    /** Start of the last turn that was reported; used by the checking thread only. */
    private long reportedTurn = BETWEEN_TURNS;

    StallDetector(Clock clock, Counters counters) {
        this.clock = clock;
        this.counters = counters;
    }

    /** Called by the loop's thread at the start of a turn. */
    void turnStarted(long at) {
        loopThread = Thread.currentThread();
        turnStartedAt = at;
    }

    /** Called by the loop's thread at the end of a turn. */
    void turnEnded() {
        turnStartedAt = BETWEEN_TURNS;
    }

    /** Called regularly by one other thread: reports each stalled turn once, with the place at which the loop's thread is. */
    void check() {
        long startedAt = turnStartedAt;
        if (startedAt == BETWEEN_TURNS || startedAt == reportedTurn) {
            return;
        }
        long turnNanos = clock.now() - startedAt;
        if (turnNanos < STALLED_TURN_NANOS) {
            return;
        }
        reportedTurn = startedAt;
        counters.add(Counters.Count.LOOP_STALLS);
        String stack = Arrays.stream(loopThread.getStackTrace()).limit(LOGGED_FRAMES).map(StackTraceElement::toString)
            .collect(Collectors.joining(" < "));
        LOG.warn("event=loop_stalled ms={} at={}", Clock.nanosToMillis(turnNanos), stack);
    }
}
