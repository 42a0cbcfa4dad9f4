package ledgewall.pg;

/** The error codes that this router gives or understands. */
public final class SqlState {
    /** From a member: a write, and it is no primary. */
    public static final String READ_ONLY = "25006";
    /** From a member: its data is too old for the read. */
    public static final String TOO_FAR_BEHIND = "72000";
    /** From a member: turned away; to a client: refused, trying again is harmless. */
    public static final String TOO_MANY_CONNECTIONS = "53300";
    /** From a member: it starts or ends; to a client it would be a refusal. */
    public static final String CANNOT_CONNECT_NOW = "57P03";
    /** To a client: the request failed, nothing is promised of its effect. */
    public static final String CONNECTION_FAILURE = "08006";
    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String SYNTAX_ERROR = "42601";
    public static final String NOT_SUPPORTED = "0A000";

    private SqlState() {
    }
}
