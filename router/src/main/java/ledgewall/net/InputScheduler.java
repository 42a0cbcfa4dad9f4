package ledgewall.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Shares each turn of the event loop between the connections that have commands queued, so that what one client sends delays
 * neither other clients nor timers and the policy. In one turn a connection processes {@link #COMMANDS_PER_CONNECTION} commands
 * at most, and all of them together {@link #COMMANDS_PER_TURN}, which bounds the turn whatever is queued; a request, which the
 * policy has to decide on, counts as {@link #COMMANDS_PER_REQUEST}. What is left waits for later turns, one connection after
 * the other. Such turns are {@link #DEFERRED_INTERVAL_NANOS} apart, so that floods leave processor time for everything else.
 */
final class InputScheduler {
    /** Commands of one connection in one turn; more than an ordinary client pipelines. */
    static final int COMMANDS_PER_CONNECTION = 128;
    /** Commands of all connections in one turn, which they take a few milliseconds to process. */
    static final int COMMANDS_PER_TURN = 1_024;

    /** A request takes about as long as this many commands that are answered at once. */
    static final int COMMANDS_PER_REQUEST = 8;
    /** Time between turns that process commands which earlier ones have put off. */
    static final long DEFERRED_INTERVAL_NANOS = Clock.millisToNanos(5);

    /** A connection with queued commands. */
    interface Source {
        /** Processes queued commands within what the scheduler allows it in this turn. */
        void processQueued();
    }

    private final Counters counters;
    /** Connections with commands that an earlier turn has put off, the one that has waited longest first. */
    private final Set<Source> deferred = new LinkedHashSet<>();
    private long turn;
    /** When commands that have been put off may be processed next, by the router's clock in nanoseconds. */
    private long nextDeferredAt = Long.MIN_VALUE;
    private int commandsLeft = COMMANDS_PER_TURN;

    InputScheduler(Counters counters) {
        this.counters = counters;
    }

    /** Counts the commands that one connection processes in the current turn. */
    final class Quota {
        private long countedTurn;
        private int used;

        /** Takes a command from the quota; false if the connection has to wait for a later turn. */
        boolean take(boolean isRequest) {
            if (countedTurn != turn) {
                countedTurn = turn;
                used = 0;
            }
            if (used >= COMMANDS_PER_CONNECTION || commandsLeft <= 0) {
                return false;
            }
            int cost = isRequest ? COMMANDS_PER_REQUEST : 1;
            used += cost;
            commandsLeft -= cost;
            counters.add(Counters.Count.COMMANDS);
            return true;
        }
    }

    /** Has a connection process its commands in a later turn. */
    void defer(Source source) {
        if (deferred.add(source)) {
            counters.add(Counters.Count.COMMANDS_DEFERRED);
        }
    }

    /** Removes a connection that has closed. */
    void remove(Source source) {
        deferred.remove(source);
    }

    /** Whether a connection waits for a later turn. */
    boolean hasDeferred() {
        return !deferred.isEmpty();
    }

    /** When the next turn is due for connections that wait, by the router's clock in nanoseconds. */
    long nextDeferredAt() {
        return nextDeferredAt;
    }

    /** Begins a turn. */
    void startTurn() {
        turn++;
        commandsLeft = COMMANDS_PER_TURN;
    }

    /**
     * Runs the connections that earlier turns have put off, if they are due, while commands are left in this turn; one runs in
     * any case, so that new input cannot keep them waiting.
     */
    void runDeferred(long now) {
        if (deferred.isEmpty() || now < nextDeferredAt) {
            return;
        }
        nextDeferredAt = now + DEFERRED_INTERVAL_NANOS;
        commandsLeft = Math.max(commandsLeft, COMMANDS_PER_CONNECTION);
        for (int waiting = deferred.size(); waiting > 0 && commandsLeft > 0; waiting--) {
            Source next = deferred.iterator().next();
            deferred.remove(next);
            next.processQueued();
        }
    }
}
