package ledgewall.net;

import java.util.Map;
import ledgewall.pg.Classification;
import ledgewall.pg.SqlSummary;

/**
 * Classifies requests without a routing comment. Called on the event loop's thread, so that it must not block; it uses the
 * time given with the request. It keeps its rules, its limits and their state itself.
 */
public interface Classifier {
    /**
     * What is known of a request that is to be classified.
     *
     * @param comment the fields of its comment, if it has one
     * @param now Unix time in ns
     */
    record Request(String sql, SqlSummary summary, Map<String, String> comment, String user, String database, String address,
                   long now) { }

    /** The result of a classification. */
    sealed interface Result permits Known, Unknown, Limited { }

    /**
     * The request is routed as {@code classified}.
     *
     * @param onEnd run once when the request ends, however it ends; may be null
     */
    record Known(Classification classified, Runnable onEnd) implements Result { }

    /** The request could not be classified; the reason is sent to its client. */
    record Unknown(String reason) implements Result { }

    /** The request exceeds a limit and is refused; the client may retry after this time. */
    record Limited(long retryAfterNanos) implements Result { }

    /** Classifies a request without a comment or, where {@link #overridesComments}, any request. */
    Result classify(Request request);

    /** Whether requests with a comment are classified too. */
    boolean overridesComments();
}
