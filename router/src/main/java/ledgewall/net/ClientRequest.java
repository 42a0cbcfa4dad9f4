package ledgewall.net;

import java.util.ArrayList;
import java.util.List;
import ledgewall.pg.Statement;

/**
 * A client's request and its attempts, from the receipt of its last byte until it is answered and its last attempt has ended.
 * Guarantees that it is answered at most once.
 */
final class ClientRequest {
    private final long number;
    private final Statement statement;
    private final long deadline;
    private final ClientConnection.AnswerSlot slot;
    private final List<Attempt> attempts = new ArrayList<>();
    private EventLoop.Timer overdueTimer;
    private Runnable onEnd;
    private boolean ended;

    ClientRequest(long number, Statement statement, long deadline, ClientConnection.AnswerSlot slot) {
        this.number = number;
        this.statement = statement;
        this.deadline = deadline;
        this.slot = slot;
    }

    /** The number that the router gave to the request: ids from clients may repeat. */
    long number() {
        return number;
    }

    Statement statement() {
        return statement;
    }

    /** The time, by the router's clock in nanoseconds, until which the client waits for the answer. */
    long deadline() {
        return deadline;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /** Sets the timer that fails the request if it is still unanswered; cancelled when the request ends. */
    void setOverdueTimer(EventLoop.Timer timer) {
        overdueTimer = timer;
    }

    /** Sets a task to run once when the request ends, or null. */
    void onEnd(Runnable task) {
        onEnd = task;
    }

    /** Whether it has been answered or abandoned; attempts may still be open. */
    boolean isEnded() {
        return ended;
    }

    boolean hasOpenAttempt() {
        return attempts.stream().anyMatch(attempt -> !attempt.isEnded());
    }

    /** Answers the request; false if it has been answered before or abandoned. */
    boolean answer(byte[] message) {
        if (ended) {
            return false;
        }
        end();
        slot.complete(message);
        return true;
    }

    /** Ends the request without an answer. */
    void end() {
        ended = true;
        if (onEnd != null) {
            onEnd.run();
            onEnd = null;
        }
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
        attempts.forEach(Attempt::withdrawUnwritten);
    }
}
