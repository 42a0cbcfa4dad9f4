package ledgewall.net;

import ledgewall.pg.Reply;

/** One attempt to have a member serve a request. It ends exactly once; whatever arrives later is ignored. */
final class Attempt implements Exchange {
    /** Receives an attempt's answer and its outcome. */
    interface Listener {
        /** The latest time at which the attempt's request may be written; before {@code at} if it may not. */
        long latestWrite(Attempt attempt, long at);

        /** The complete row has been received, before the end of the reply. */
        void answerReceived(Attempt attempt, Reply reply);

        /** The attempt has ended; {@code reply} holds what was received of its answer. */
        void attemptEnded(Attempt attempt, AttemptOutcome outcome, Reply reply, long endedAt);
    }

    private final ClientRequest request;
    private final int number;
    private final String member;
    private final long sentAt;
    private final long timeoutNanos;
    private final boolean idempotent;
    private final Listener listener;
    private HostConnection connection;
    private EventLoop.Timer timeoutTimer;
    private boolean ended;

    Attempt(ClientRequest request, String member, long sentAt, long timeoutNanos, boolean idempotent, Listener listener) {
        this.request = request;
        this.number = request.attempts().size();
        this.member = member;
        this.sentAt = sentAt;
        this.timeoutNanos = timeoutNanos;
        this.idempotent = idempotent;
        this.listener = listener;
    }

    ClientRequest request() {
        return request;
    }

    /** The attempt's number within its request, from 0. */
    int number() {
        return number;
    }

    String member() {
        return member;
    }

    /** When the attempt began, by the router's clock in nanoseconds. */
    long sentAt() {
        return sentAt;
    }

    boolean isEnded() {
        return ended;
    }

    /** Whether its request may be executed more than once. */
    boolean isIdempotent() {
        return idempotent;
    }

    /** Sets the connection that carries the attempt and its timeout timer. */
    void attach(HostConnection hostConnection, EventLoop.Timer timer) {
        connection = hostConnection;
        timeoutTimer = timer;
        if (ended) {
            timeoutTimer.cancel();
        }
    }

    @Override
    public byte[] query(long at) {
        long remainingNanos = timeoutNanos - Math.max(0, at - sentAt);
        return request.statement().withTimeout(Math.max(1, Clock.nanosToMillis(remainingNanos)));
    }

    @Override
    public boolean isStillWanted() {
        return !request.isEnded();
    }

    @Override
    public long latestWrite(long at) {
        return listener.latestWrite(this, at);
    }

    @Override
    public void started(long at) {
        // the attempt's time is measured from sentAt and includes the time to connect
    }

    @Override
    public void served(Reply reply) {
        if (!ended) {
            listener.answerReceived(this, reply);
        }
    }

    @Override
    public void ended(AttemptOutcome outcome, Reply reply, long endedAt) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        listener.attemptEnded(this, outcome, reply, endedAt);
    }

    /** Has the attempt not be sent, unless that has happened: its request has ended. */
    void withdrawUnwritten() {
        if (!ended && connection != null) {
            connection.withdrawUnwritten();
        }
    }

    /** Ends the attempt and closes its connection. A complete answer that has been received determines the outcome. */
    void abort(AttemptOutcome reason, long endedAt) {
        if (ended) {
            return;
        }
        AttemptOutcome outcome = connection != null && connection.isAnswered() ? connection.answerOutcome() : reason;
        Reply reply = connection == null ? new Reply() : connection.reply();
        if (connection != null) {
            connection.close();
        }
        ended(outcome, reply, endedAt);
    }
}
