package ledgewall.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What the router has taken in, sent and answered since its start. */
final class Counters {
    /** One thing that is counted. */
    enum Count {
        CLIENTS, CLIENTS_TURNED_AWAY, IDLE_CLIENTS_CLOSED, SILENT_CLIENTS, BAD_CLIENTS, CUT_OFF, REQUESTS,
        BAD_QUERIES, SERVED, REFUSED, LIMITED, FAILED, LAPSED, OVERDUE, ATTEMPTS, PROBES, HOST_CONNECTIONS, BAD_HOSTS,
        RETIRED, RELOADS, BATCHES, EVENTS, LATE_BATCHES, LISTS, LISTS_BY_CHECK, BAD_LISTS, WATCHES, LIST_CHECKS,
        LIST_BYTES, PEER_MESSAGES_IN, PEER_MESSAGES_OUT, BAD_PEER_MESSAGES, PROBE_CONNECTIONS, IDLE_HOSTS_CLOSED,
        ACCEPT_PAUSES, ACCEPT_PAUSED_MILLIS, BUSY_MILLIS
    }

    private final Map<Count, LongAdder> counts = new EnumMap<>(Count.class);
    private final Map<AttemptOutcome, LongAdder> endings = new EnumMap<>(AttemptOutcome.class);

    Counters() {
        for (Count count : Count.values()) {
            counts.put(count, new LongAdder());
        }
        for (AttemptOutcome ending : AttemptOutcome.values()) {
            endings.put(ending, new LongAdder());
        }
    }

    void add(Count count) {
        counts.get(count).increment();
    }

    void add(Count count, long many) {
        counts.get(count).add(many);
    }

    void addEnding(AttemptOutcome ending) {
        endings.get(ending).increment();
    }

    long of(Count count) {
        return counts.get(count).sum();
    }

    long of(AttemptOutcome ending) {
        return endings.get(ending).sum();
    }

    /** One line: every counter that has counted, then how attempts ended. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((count, value) -> append(text, count, value));
        StringBuilder ended = new StringBuilder();
        endings.forEach((ending, value) -> append(ended, ending, value));
        return (ended.isEmpty() ? text : text.append(" | attempts ended:").append(ended)).toString().trim();
    }

    private static void append(StringBuilder text, Enum<?> name, LongAdder value) {
        if (value.sum() != 0) {
            text.append(' ').append(name.name().toLowerCase(Locale.ROOT)).append('=').append(value.sum());
        }
    }
}
