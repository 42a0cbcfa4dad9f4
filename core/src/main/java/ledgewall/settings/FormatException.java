package ledgewall.settings;

/** Thrown for input that does not have the expected format; the message says what is wrong and where. */
public final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FormatException(String message) {
        super(message);
    }
}
