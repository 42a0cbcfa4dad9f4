package ledgewall.rules;

/**
 * The result of matching a request against a {@link RuleTable}. Mutable, so that callers can reuse one instance.
 */
public final class Decision {
    /** The index of the matching rule, or -1 if none matches. */
    int ruleIndex = -1;
    String ruleName;
    String requestClass;
    String tenant;
    long group = -1;
    String session;
    long maxWaitNs = -1;
    boolean retry;
    String limitKey;

    void clear() {
        ruleIndex = -1;
        ruleName = null;
        requestClass = null;
        tenant = null;
        group = -1;
        session = null;
        maxWaitNs = -1;
        retry = false;
        limitKey = null;
    }

    /** Whether a rule matched. */
    public boolean matched() {
        return ruleIndex >= 0;
    }

    /** The zero-based index of the matching rule, or -1 if none matches. */
    public int ruleIndex() {
        return ruleIndex;
    }

    /** The name of the matching rule, or null if none matches. */
    public String ruleName() {
        return ruleName;
    }

    public String requestClass() {
        return requestClass;
    }

    /** The tenant, or null if the rule sets none. */
    public String tenant() {
        return tenant;
    }

    /** The group, or -1 if the rule sets none. */
    public long group() {
        return group;
    }

    /** The session key, or null if the rule sets none. */
    public String session() {
        return session;
    }

    /** The maximum time to wait for an answer in ns, or -1 if the rule sets none. */
    public long maxWaitNs() {
        return maxWaitNs;
    }

    /** Whether the request is a retry by the client. */
    public boolean retry() {
        return retry;
    }

    /** The key that the rule's limit counts this request under, or null if the rule has no limit. */
    public String limitKey() {
        return limitKey;
    }
}
