package ledgewall.pg;

/** A host's answers to a startup message, up to its first ReadyForQuery. */
public final class Greeting {
    private boolean ready;
    private String sqlState;

    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'R' -> {
                if (frame.body().int32() != 0) {
                    throw new ProtocolException("the host asks for authentication");
                }
            }
            case 'E' -> sqlState = Fault.sqlState(frame);
            case 'Z' -> ready = true;
            case 'S', 'K', 'N', 'v' -> { }
            default -> throw new ProtocolException("no greeting: message type " + (int) frame.type());
        }
    }

    public boolean ready() {
        return ready;
    }

    /** The code with which the host turned the connection away, or null. */
    public String sqlState() {
        return sqlState;
    }
}
