package ledgewall.pg;

/**
 * An empty query that follows each answered query on a connection to a host. Nothing in a reply names its query, but a host
 * replies in order: whatever arrives before the reply to the empty query belongs to an earlier query, such as a second copy of
 * its answer. Only once that reply is there may the next query be sent.
 *
 * <p>PostgreSQL replies with EmptyQueryResponse. Servers that reject empty queries reply with an error, which marks the place as
 * well, unless it could be a copy of the error that answered the query before.
 */
public final class QueryBarrier {
    private static final byte[] MESSAGE = MessageWriter.query("");

    /** The SQLSTATE that answered the query before the barrier, or null. */
    private String earlierSqlState;
    private boolean answered;
    private boolean passed = true;

    /** Begins a barrier behind a query with this reply; returns the message to send. */
    public byte[] begin(Reply earlierReply) {
        earlierSqlState = earlierReply.sqlState();
        answered = false;
        passed = false;
        return MESSAGE;
    }

    /** Whether the host has replied to the last empty query; also true before the first one. */
    public boolean isPassed() {
        return passed;
    }

    /** Takes in a message that arrives before the barrier is passed; throws if it can't belong to the empty query. */
    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'N', 'S' -> { }
            case 'I' -> acceptReply(true);
            case 'E' -> acceptReply(!ErrorResponse.sqlState(frame).equals(earlierSqlState));
            case 'Z' -> {
                require(answered);
                passed = true;
            }
            default -> require(false);
        }
    }

    private void acceptReply(boolean certain) throws ProtocolException {
        require(certain && !answered);
        answered = true;
    }

    private static void require(boolean condition) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException("a message that belongs to an earlier query");
        }
    }
}
