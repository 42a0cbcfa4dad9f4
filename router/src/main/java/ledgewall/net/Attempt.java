package ledgewall.net;

import ledgewall.pg.Reply;

/** One sending of a request to a member. It ends once, whatever comes later. */
final class Attempt implements Exchange {
    /** Hears of an attempt's row and of its end. */
    interface Listener {
        void served(Attempt attempt, Reply reply);

        void ended(Attempt attempt, AttemptOutcome ending, Reply reply, long at);
    }

    private final ClientRequest request;
    private final int number;
    private final String member;
    private final long sentAt;
    private final long timeout;
    private final boolean repeatable;
    private final Listener listener;
    private HostConnection connection;
    private EventLoop.Timer timer;
    private boolean ended;

    Attempt(ClientRequest request, String member, long sentAt, long timeout, boolean repeatable, Listener listener) {
        this.request = request;
        this.number = request.attempts().size();
        this.member = member;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.repeatable = repeatable;
        this.listener = listener;
    }

    ClientRequest request() {
        return request;
    }

    int number() {
        return number;
    }

    String member() {
        return member;
    }

    long sentAt() {
        return sentAt;
    }

    boolean isEnded() {
        return ended;
    }

    /** Whether its request may run more than once. */
    boolean isRepeatable() {
        return repeatable;
    }

    /** Gives the attempt its connection and the timer that ends it. */
    void carriedBy(HostConnection carrier, EventLoop.Timer givesUp) {
        connection = carrier;
        timer = givesUp;
        if (ended) {
            timer.cancel();
        }
    }

    @Override
    public byte[] query() {
        return request.statement().withTimeout(Math.max(1, Clock.toMillis(timeout)));
    }

    @Override
    public void started(long at) {
        // the time of an attempt counts from its sending, connecting included
    }

    @Override
    public void served(Reply reply) {
        if (!ended) {
            listener.served(this, reply);
        }
    }

    @Override
    public void ended(AttemptOutcome ending, Reply reply, long at) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        listener.ended(this, ending, reply, at);
    }

    /** Stops waiting: the connection closes, and an answer that is whole already still counts. */
    void giveUp(AttemptOutcome ending, long at) {
        if (ended) {
            return;
        }
        AttemptOutcome last = connection != null && connection.isAnswered() ? connection.answerOutcome() : ending;
        Reply reply = connection == null ? new Reply() : connection.reply();
        if (connection != null) {
            connection.close();
        }
        ended(last, reply, at);
    }
}
