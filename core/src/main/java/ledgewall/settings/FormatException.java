package ledgewall.settings;

/** Signals input that does not have its format; the message tells what is wrong and where. */
public final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public FormatException(String message) {
        super(message);
    }
}
