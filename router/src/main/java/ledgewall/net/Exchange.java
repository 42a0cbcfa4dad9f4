package ledgewall.net;

import ledgewall.pg.Reply;

/** One query on a connection to a host, with callbacks for its progress. Times are nanoseconds on the router's clock. */
interface Exchange {
    /** The encoded query message; requested just before it is written, at the given time. */
    byte[] query(long at);

    /** Whether the query is still to be sent; asked just before, as the exchange may have waited for its connection. */
    default boolean isStillWanted() {
        return true;
    }

    /**
     * The latest time at which the query's last byte may be written, asked at time {@code at}, just before the write; before
     * {@code at} if the query must not be written any more.
     */
    default long latestWrite(long at) {
        return Long.MAX_VALUE;
    }

    /** Called when the query is about to be written. */
    void started(long at);

    /** Called when the row has been received completely; ReadyForQuery is still to come. */
    void served(Reply reply);

    /** Whether this is the router's own probe of the host rather than a client's request. */
    default boolean isProbe() {
        return false;
    }

    /** Called when the exchange is over; {@code reply} holds the part of the answer that was received. */
    void ended(AttemptOutcome outcome, Reply reply, long at);
}
