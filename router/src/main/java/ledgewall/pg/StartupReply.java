package ledgewall.pg;

/** A host's reply to a startup message, taken in message by message up to its first ReadyForQuery. */
public final class StartupReply {
    private boolean ready;
    private String sqlState;

    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'R' -> {
                if (frame.body().int32() != 0) {
                    throw new ProtocolException("the host requests authentication, which is not supported");
                }
            }
            case 'E' -> sqlState = ErrorResponse.sqlState(frame);
            case 'Z' -> ready = true;
            case 'S', 'K', 'N', 'v' -> { }
            default -> throw new ProtocolException("unexpected message type during startup: " + (int) frame.type());
        }
    }

    /** Whether the host accepts queries. */
    public boolean ready() {
        return ready;
    }

    /** The SQLSTATE with which the host rejected the connection, or null. */
    public String sqlState() {
        return sqlState;
    }
}
