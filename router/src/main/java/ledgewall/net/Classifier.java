package ledgewall.net;

import java.util.Map;
import ledgewall.pg.Classification;
import ledgewall.pg.SqlSummary;

/**
 * Says what requests are that bring no comment. Asked on the loop, where it must not wait for anything; time is handed
 * in. Rules, limits and their state are its own.
 */
public interface Classifier {
    /**
     * What is known of a request.
     *
     * @param comment the fields of its comment
     * @param now Unix time in ns
     */
    record Request(String sql, SqlSummary summary, Map<String, String> comment, String user, String database, String address,
                   long now) { }

    /** What comes of asking: one of the three below. */
    sealed interface Answer permits Known, Unknown, Limited { }

    /**
     * The request goes on as this.
     *
     * @param over is run once when the request is over, however it ends
     */
    record Known(Classification as, Runnable over) implements Answer { }

    /** Nobody can say what it is; the reason is for its client. */
    record Unknown(String reason) implements Answer { }

    /** It is more than it may ask for: refused, and trying again after that many ns is harmless. */
    record Limited(long retryAfter) implements Answer { }

    /** Classifies a request that brings no comment, or any where {@link #overridesComments}. */
    Answer classify(Request request);

    /** Whether it is asked of requests that bring the comment too. */
    boolean overridesComments();
}
