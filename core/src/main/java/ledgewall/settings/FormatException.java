package ledgewall.settings;

/** Input that is not what its format says: tells what is wrong and where. */
public final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FormatException(String message) {
        super(message);
    }
}
