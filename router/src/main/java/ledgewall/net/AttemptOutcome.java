package ledgewall.net;

import ledgewall.RoutingPolicy.Result;
import ledgewall.pg.SqlState;

/** Every way in which an attempt, a probe or its connection can end, with what it is to the policy. */
enum AttemptOutcome {
    SERVED(Result.OK),
    /** 25006: a write, and the member is no primary. */
    NOT_PRIMARY(Result.MISDIRECTED),
    /** 72000: the member's data is too old for the read. */
    TOO_FAR_BEHIND(Result.MISDIRECTED),
    /** 08P01 or a syntax error: the statement itself is wrong, which its client is told; the member did as it should. */
    BAD_STATEMENT(Result.ERROR),
    /** XX000, or a code that the protocol does not name: it may have run. */
    HOST_ERROR(Result.ERROR),
    /** 53300: queue full, draining, too many connections, or over already. */
    TURNED_AWAY(Result.REJECTED),
    /** A probe's 57P03: the member is not ready. */
    NOT_READY(Result.REJECTED),
    /** This router has no descriptor left for a connection: nothing is known of the member. */
    NO_DESCRIPTOR(Result.REJECTED),
    CONNECT_REFUSED(Result.NOT_CONNECTED),
    CONNECT_TIMED_OUT(Result.NOT_CONNECTED),
    /** Broken, or no protocol, before the request's last byte was written. */
    BROKEN_BEFORE_WRITTEN(Result.NOT_CONNECTED),
    /** Broken or ended without a whole answer after the request's last byte was written. */
    BROKEN_AFTER_WRITTEN(Result.RESET),
    /** The host's answer was no protocol: the connection ended here, and the request may have run. */
    GARBLED(Result.RESET),
    TIMED_OUT(Result.TIMED_OUT),
    GIVEN_UP(Result.CANCELLED),
    /** Over, out of time or out of attempts before anything was sent. */
    NEVER_SENT(Result.NEVER_SENT);

    private final Result result;

    AttemptOutcome(Result result) {
        this.result = result;
    }

    Result result() {
        return result;
    }

    /** How an error's code ends what it answers. */
    static AttemptOutcome ofSqlState(String code) {
        return switch (code) {
            case SqlState.READ_ONLY_SQL_TRANSACTION -> NOT_PRIMARY;
            case SqlState.SNAPSHOT_TOO_OLD -> TOO_FAR_BEHIND;
            case SqlState.TOO_MANY_CONNECTIONS -> TURNED_AWAY;
            case SqlState.PROTOCOL_VIOLATION, SqlState.SYNTAX_ERROR -> BAD_STATEMENT;
            default -> HOST_ERROR;
        };
    }

    /** How an error instead of a greeting ends what was to be sent: it never was. */
    static AttemptOutcome ofGreeting(String code) {
        return code.equals(SqlState.TOO_MANY_CONNECTIONS) ? TURNED_AWAY : BROKEN_BEFORE_WRITTEN;
    }
}
