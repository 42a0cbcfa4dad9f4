package ledgewall.discovery;

/** Thrown for a response that is not valid HTTP/1.x or uses a feature that {@link HttpResponseParser} does not support. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;

    HttpException(String message) {
        super(message);
    }
}
