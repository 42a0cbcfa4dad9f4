package ledgewall.net;

import ledgewall.pg.Reply;

/** One query on a connection to a host, with callbacks for its progress. Times are nanoseconds on the router's clock. */
interface Exchange {
    /** The encoded query message; requested just before it is written. */
    byte[] query();

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
