package ledgewall.pg;

/** The other side does not speak version 3 of the protocol as it should: its connection cannot go on. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message);
    }
}
