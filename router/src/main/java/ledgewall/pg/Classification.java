package ledgewall.pg;

/**
 * What a classifier found out about a statement: the fields that a routing comment carries otherwise.
 *
 * @param tenant the tenant's name, empty for none
 * @param group the number of the group that holds the data
 * @param sessionKey the text that ties a session's reads to its writes, or null for the statement's first string literal
 * @param timeoutMillis how long the client waits for the answer
 * @param isRetry whether the client repeats a request that failed before
 */
public record Classification(String className, String tenant, long group, String sessionKey, long timeoutMillis,
                             boolean isRetry) { }
