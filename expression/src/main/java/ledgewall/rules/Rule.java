package ledgewall.rules;

import java.util.Map;

/**
 * A rule as it is written.
 *
 * @param match the condition
 * @param requestClass the class that a request gets, by its name in the router's settings
 * @param outputs expressions for what else it gets; those that are absent are left as the client has them
 * @param limit what it allows, or null for any number
 * @param limitKey the expression that tells whom the limit counts for, or null for all together
 */
public record Rule(String name, String match, String requestClass, Map<Output, String> outputs, Limiter.Allowance limit,
                   String limitKey) {
    /** What a rule computes beside the class. */
    public enum Output { TENANT, GROUP, SESSION, WAIT, RETRY }
}
