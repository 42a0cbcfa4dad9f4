package ledgewall.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import ledgewall.net.Counters.Count;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs, at most once in an interval, by how much the counters have grown that tell that somebody asks too much of the router:
 * why clients were turned away, requests refused, connections ended. Without such pressure it logs nothing.
 */
final class PressureLog {
    private static final Logger LOG = LoggerFactory.getLogger(PressureLog.class);
    static final long INTERVAL_NANOS = Clock.millisToNanos(5_000);
    private static final Count[] COUNTS = {
        Count.CLIENTS_TURNED_AWAY, Count.SILENT_CLIENTS, Count.EVICTIONS_PUT_OFF, Count.BAD_CLIENTS, Count.CUT_OFF,
        Count.SHED_FOR_MEMORY, Count.ANSWERS_REPLACED, Count.COMMANDS_DEFERRED, Count.QUEUES_SHED, Count.IDS_EXHAUSTED,
        Count.OVERDUE, Count.LATE_BATCHES, Count.LOOP_STALLS, Count.FAILED_TASKS, Count.PEER_MESSAGES_DROPPED, Count.ACCEPT_PAUSES
    };

    private final Counters counters;
    private final Map<Count, Long> logged = new EnumMap<>(Count.class);
    private long nextAt = Long.MIN_VALUE;

    PressureLog(Counters counters) {
        this.counters = counters;
    }

    /** Called regularly on the event loop. */
    void update(long now) {
        if (now < nextAt) {
            return;
        }
        String growth = takeGrowth();
        if (!growth.isEmpty()) {
            nextAt = now + INTERVAL_NANOS;
            LOG.info("event=pressure {}", growth);
        }
    }

    /** By how much each counter has grown since the last line; empty if none has. */
    String takeGrowth() {
        StringJoiner growth = new StringJoiner(" ");
        for (Count count : COUNTS) {
            long value = counters.of(count);
            long added = value - logged.getOrDefault(count, 0L);
            if (added > 0) {
                growth.add(count.name().toLowerCase(Locale.ROOT) + "=" + added);
                logged.put(count, value);
            }
        }
        return growth.toString();
    }
}
