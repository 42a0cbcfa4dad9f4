package ledgewall.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts of what the router has received, sent and answered since its start. */
final class Counters {
    /** A counter; its name is printed in lower case. */
    enum Count {
        CLIENTS, CLIENTS_TURNED_AWAY, IDLE_CLIENTS_CLOSED, SILENT_CLIENTS, EVICTIONS_PUT_OFF, BAD_CLIENTS, CUT_OFF,
        SHED_FOR_MEMORY, ANSWERS_REPLACED, COMMANDS, COMMANDS_DEFERRED, QUEUES_SHED, READS_SUSPENDED, CLIENT_WRITES, REQUESTS,
        BAD_QUERIES, SERVED, REFUSED, LIMITED, IDS_EXHAUSTED, FAILED, LAPSED, OVERDUE, SESSION_READS, SESSION_READS_AT_PRIMARY,
        WRITES_WITHOUT_POSITION, ATTEMPTS, PROBES,
        HOST_CONNECTIONS, BAD_HOSTS, STRAY_ANSWERS, RETIRED, RELOADS, BATCHES, EVENTS, LATE_BATCHES, LOOP_STALLS,
        FAILED_TASKS, LISTS, LISTS_BY_CHECK, BAD_LISTS, WATCHES, DISCOVERY_SILENCES, LIST_CHECKS, LIST_BYTES, PEER_MESSAGES_IN,
        PEER_MESSAGES_OUT, BAD_PEER_MESSAGES, PEER_MESSAGES_DROPPED, PROBE_CONNECTIONS, IDLE_HOSTS_CLOSED,
        ACCEPT_PAUSES, ACCEPT_PAUSED_MILLIS, BUSY_MILLIS
    }

    private final Map<Count, LongAdder> counts = new EnumMap<>(Count.class);
    private final Map<AttemptOutcome, LongAdder> outcomes = new EnumMap<>(AttemptOutcome.class);

    Counters() {
        for (Count count : Count.values()) {
            counts.put(count, new LongAdder());
        }
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            outcomes.put(outcome, new LongAdder());
        }
    }

    void add(Count count) {
        counts.get(count).increment();
    }

    void add(Count count, long amount) {
        counts.get(count).add(amount);
    }

    void addOutcome(AttemptOutcome outcome) {
        outcomes.get(outcome).increment();
    }

    long of(Count count) {
        return counts.get(count).sum();
    }

    long of(AttemptOutcome outcome) {
        return outcomes.get(outcome).sum();
    }

    /** One line: every counter above 0, then the number of attempts by outcome. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((count, value) -> append(text, count, value));
        StringBuilder attempts = new StringBuilder();
        outcomes.forEach((outcome, value) -> append(attempts, outcome, value));
        return (attempts.isEmpty() ? text : text.append(" | attempts ended:").append(attempts)).toString().trim();
    }

    private static void append(StringBuilder text, Enum<?> name, LongAdder value) {
        if (value.sum() != 0) {
            text.append(' ').append(name.name().toLowerCase(Locale.ROOT)).append('=').append(value.sum());
        }
    }
}
