package ledgewall.net;

import ledgewall.RoutingPolicy.Result;
import ledgewall.pg.SqlState;

/** The ways in which an attempt or a probe can end, each with the result that the policy is given. */
enum AttemptOutcome {
    SERVED(Result.OK),
    /** 25006: the request is a write, and the member is not a primary. */
    NOT_PRIMARY(Result.MISDIRECTED),
    /** 72000: the member's data is too old for the read. */
    TOO_FAR_BEHIND(Result.MISDIRECTED),
    /** 08P01 or 42601: the statement itself is invalid, which is reported to its client; the member is not at fault. */
    BAD_STATEMENT(Result.ERROR),
    /** XX000, or any other code: the request may have been executed. */
    HOST_ERROR(Result.ERROR),
    /** 53300: the member's queue is full, it is draining, has too many connections, or the deadline of the request has passed. */
    TURNED_AWAY(Result.REJECTED),
    /** A probe's 57P03: the member is not ready. */
    NOT_READY(Result.REJECTED),
    /** This router has no file descriptor left for a connection, which says nothing about the member. */
    NO_DESCRIPTOR(Result.REJECTED),
    CONNECT_REFUSED(Result.NOT_CONNECTED),
    CONNECT_TIMED_OUT(Result.NOT_CONNECTED),
    /** The connection broke, or the host violated the protocol, before the request's last byte was written. */
    BROKEN_BEFORE_WRITTEN(Result.NOT_CONNECTED),
    /** The connection ended without a complete answer after the request's last byte was written. */
    BROKEN_AFTER_WRITTEN(Result.RESET),
    /** The host's answer violated the protocol: the router closed the connection, and the request may have been executed. */
    GARBLED(Result.RESET),
    /**
     * Surplus data of an earlier query arrived while the attempt waited for its connection, which the router closed. Reported
     * like a broken connection, which says little about the member.
     */
    STRAY_ANSWER(Result.RESET),
    TIMED_OUT(Result.TIMED_OUT),
    GIVEN_UP(Result.CANCELLED),
    /** The policy did not permit the write any more when the connection was ready, or the I/O thread came to it too late. */
    WITHDRAWN(Result.WITHDRAWN),
    /** The request had ended, or its deadline or number of attempts was reached, before anything was sent. */
    NEVER_SENT(Result.NEVER_SENT);

    private final Result result;

    AttemptOutcome(Result result) {
        this.result = result;
    }

    Result result() {
        return result;
    }

    /** The outcome of a request or probe that a host answered with this SQLSTATE. */
    static AttemptOutcome ofSqlState(String sqlState) {
        return switch (sqlState) {
            case SqlState.READ_ONLY_SQL_TRANSACTION -> NOT_PRIMARY;
            case SqlState.SNAPSHOT_TOO_OLD -> TOO_FAR_BEHIND;
            case SqlState.TOO_MANY_CONNECTIONS -> TURNED_AWAY;
            case SqlState.PROTOCOL_VIOLATION, SqlState.SYNTAX_ERROR -> BAD_STATEMENT;
            default -> HOST_ERROR;
        };
    }

    /** The outcome where a host answered the start-up message with this SQLSTATE, so that nothing was sent. */
    static AttemptOutcome ofStartupError(String sqlState) {
        return sqlState.equals(SqlState.TOO_MANY_CONNECTIONS) ? TURNED_AWAY : BROKEN_BEFORE_WRITTEN;
    }
}
