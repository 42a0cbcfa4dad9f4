package ledgewall.pg;

/** The SQLSTATEs that this router sends or interprets. */
public final class SqlState {
    /** From a member: it got a write and isn't the primary. */
    public static final String READ_ONLY_SQL_TRANSACTION = "25006";
    /** From a member: its data is too old for the read. */
    public static final String SNAPSHOT_TOO_OLD = "72000";
    /** From a member: it rejects the connection or request; to a client: rejected before any effect, safe to retry. */
    public static final String TOO_MANY_CONNECTIONS = "53300";
    /** From a member: it is starting up or shutting down; never sent to clients, who would take it as a rejection. */
    public static final String CANNOT_CONNECT_NOW = "57P03";
    /** To a client: the request failed and may or may not have taken effect. */
    public static final String CONNECTION_FAILURE = "08006";
    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String SYNTAX_ERROR = "42601";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";

    private SqlState() {
    }
}
