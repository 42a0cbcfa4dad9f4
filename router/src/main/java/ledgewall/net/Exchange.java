package ledgewall.net;

import ledgewall.pg.Reply;

/** One query on a connection to a host, and what becomes of it. */
interface Exchange {
    /** The whole message to write, asked for when it is about to be written. */
    byte[] query();

    /** The query is about to be written. */
    void begun(long at);

    /** The row has come whole; the end is still to come. */
    void served(Reply reply);

    /** Whether it asks the host about itself, on no client's behalf. */
    default boolean isProbe() {
        return false;
    }

    /** It is over; {@code reply} holds what has come of an answer. */
    void ended(AttemptOutcome ending, Reply reply, long at);
}
