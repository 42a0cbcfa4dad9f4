package ledgewall.rules;

/**
 * What a table says of a request. Reused by whoever asks.
 */
public final class Decision {
    /** The rule's number, or -1 where none matches. */
    int rule = -1;
    String name;
    String requestClass;
    String tenant;
    long group = -1;
    String session;
    long wait = -1;
    boolean retry;
    String limitKey;

    void clear() {
        rule = -1;
        name = null;
        requestClass = null;
        tenant = null;
        group = -1;
        session = null;
        wait = -1;
        retry = false;
        limitKey = null;
    }

    /** Whether a rule matched. */
    public boolean matched() {
        return rule >= 0;
    }

    /** The rule's number from 0, or -1. */
    public int rule() {
        return rule;
    }

    /** The rule's name, or null. */
    public String name() {
        return name;
    }

    public String requestClass() {
        return requestClass;
    }

    /** The tenant, or null where the rule says none. */
    public String tenant() {
        return tenant;
    }

    /** The group, or -1. */
    public long group() {
        return group;
    }

    /** The key of the session, or null. */
    public String session() {
        return session;
    }

    /** The longest wait in ns, or -1. */
    public long longestWait() {
        return wait;
    }

    /** Whether the request is a client's second try. */
    public boolean retry() {
        return retry;
    }

    /** Whom the rule's limit counts this request for, or null where it has none. */
    public String limitKey() {
        return limitKey;
    }
}
