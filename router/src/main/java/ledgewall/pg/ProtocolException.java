package ledgewall.pg;

/** The other side violates version 3 of the protocol: its connection has to be closed. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message);
    }
}
