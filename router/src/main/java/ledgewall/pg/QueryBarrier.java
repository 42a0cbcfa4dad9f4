package ledgewall.pg;

import java.util.Objects;

/**
 * An empty query that goes out ahead of each query on a connection to a host. Nothing in a reply names its query, but a host
 * replies in order: whatever arrives before the reply to the empty query belongs to an earlier query, such as a second copy of
 * its answer, and what follows belongs to the query behind it.
 *
 * <p>PostgreSQL replies with EmptyQueryResponse. Servers that reject empty queries reply with an error, which marks the place as
 * well. Which of the two a host sends is learned from the first barrier on its connection, where no earlier answer can be.
 */
public final class QueryBarrier {
    private static final byte[] MESSAGE = MessageWriter.query("");

    private boolean learned;
    /** The SQLSTATE of the host's replies to empty queries; null for EmptyQueryResponse, or as long as none has arrived. */
    private String sqlState;
    private boolean answered;
    private boolean passed;

    /** Begins the next barrier and returns the message to send ahead of the query. */
    public byte[] begin() {
        answered = false;
        passed = false;
        return MESSAGE;
    }

    /** Whether the host has replied to the empty query, so that the next messages belong to the query behind it. */
    public boolean isPassed() {
        return passed;
    }

    /** Takes in a message that arrives before the barrier is passed; throws if it can't belong to the empty query. */
    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'N', 'S' -> { }
            case 'I' -> acceptReply(null);
            case 'E' -> acceptReply(ErrorResponse.sqlState(frame));
            case 'Z' -> {
                require(answered);
                passed = true;
            }
            default -> require(false);
        }
    }

    private void acceptReply(String replySqlState) throws ProtocolException {
        require(!answered && (!learned || Objects.equals(sqlState, replySqlState)));
        learned = true;
        sqlState = replySqlState;
        answered = true;
    }

    private static void require(boolean condition) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException("a message that belongs to an earlier query");
        }
    }

    /** Whether a copy of this reply to a query could pass for the reply to the next empty query. */
    public boolean resembles(Reply reply) {
        return reply.sqlState() != null && reply.sqlState().equals(sqlState);
    }
}
