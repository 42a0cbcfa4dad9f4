package ledgewall.settings;

/**
 * What the settings say of connections and answers, times in nanoseconds and 0 for unlimited.
 *
 * @param connIdle how long a member keeps an idle connection
 * @param answerSlack how much later than its deadline an answer still counts
 * @param longestDeadline the longest deadline of a class
 * @param reports whether members report on themselves
 */
public record TransportLimits(long connIdle, long connectTimeout, long answerSlack, long longestDeadline,
                              boolean reports) { }
