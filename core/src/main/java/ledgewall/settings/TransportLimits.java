package ledgewall.settings;

/**
 * The limits of connections and answers that the settings give, in nanoseconds; 0 for unlimited.
 *
 * @param idleTimeout how long a member keeps an idle connection
 * @param connectTimeout how long connecting to a member may take
 * @param answerSlack how much later than its deadline an answer still counts
 * @param longestTimeout the longest timeout of a request class
 * @param reports whether members report their own state
 */
public record TransportLimits(long idleTimeout, long connectTimeout, long answerSlack, long longestTimeout,
                              boolean reports) { }
