package ledgewall.net;

import java.util.ArrayList;
import java.util.List;
import ledgewall.pg.Statement;

/** The one owner of a request: from its last byte until its answer is given and its last attempt has ended. */
final class ClientRequest {
    private final long number;
    private final Statement statement;
    private final long deadline;
    private final ClientConnection.Slot slot;
    private final List<Attempt> attempts = new ArrayList<>();
    private EventLoop.Timer overdue;
    private Runnable whenOver;
    private boolean over;

    ClientRequest(long number, Statement statement, long deadline, ClientConnection.Slot slot) {
        this.number = number;
        this.statement = statement;
        this.deadline = deadline;
        this.slot = slot;
    }

    /** The router's own number: client ids may repeat. */
    long number() {
        return number;
    }

    Statement statement() {
        return statement;
    }

    long deadline() {
        return deadline;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    void watch(EventLoop.Timer timer) {
        overdue = timer;
    }

    /** Has something done once it is over. */
    void whenOver(Runnable task) {
        whenOver = task;
    }

    boolean isOver() {
        return over;
    }

    boolean hasOpenAttempt() {
        return attempts.stream().anyMatch(attempt -> !attempt.isEnded());
    }

    /** Gives the one answer; false if there was one before, or the client has gone. */
    boolean answer(byte[] message) {
        if (over) {
            return false;
        }
        end();
        slot.fill(message);
        return true;
    }

    /** Ends it without an answer. */
    void end() {
        over = true;
        if (whenOver != null) {
            whenOver.run();
            whenOver = null;
        }
        if (overdue != null) {
            overdue.cancel();
        }
    }
}
