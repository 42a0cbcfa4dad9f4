package ledgewall.simhost;

/** Input that is not a batch of the wire: says what is wrong and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
