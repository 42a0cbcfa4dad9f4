package ledgewall.rules;

import java.util.Map;

/**
 * A rule in source form.
 *
 * @param match the condition, an expression of type bool
 * @param requestClass name of the class that the rule assigns, as in the router's settings
 * @param outputs expressions for the other properties that the rule sets; properties without an expression get no value
 *     from the rule
 * @param limit rate and concurrency limits, or null for none
 * @param limitKey expression for the key that the limit counts by, or null to count all requests together
 */
public record Rule(String name, String match, String requestClass, Map<Output, String> outputs, Limiter.Config limit,
                   String limitKey) {
    /** A property that a rule can compute in addition to the class. The lower-case name is the setting's name in HCL. */
    public enum Output { TENANT, GROUP, SESSION, WAIT, RETRY }
}
