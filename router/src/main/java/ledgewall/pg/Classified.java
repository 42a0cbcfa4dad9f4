package ledgewall.pg;

/**
 * What a request is said to be.
 *
 * @param tenant its name, empty for none
 * @param session what its reads and writes have in common, or null for the statement's first quoted value
 */
public record Classified(String className, String tenant, long group, String session, long waitMillis, boolean retry) { }
