package ledgewall.discovery;

/** An answer that is no HTTP/1.1, or not one that this reader follows. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;

    HttpException(String message) {
        super(message);
    }
}
