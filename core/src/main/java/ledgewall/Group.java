package ledgewall;

import java.util.ArrayList;
import java.util.List;

/** Members that hold the same data: one primary and its replicas. All times are nanoseconds. */
final class Group {
    final List<Member> members = new ArrayList<>();
    /** Requests that wait until a member may take them. */
    final List<Request> held = new ArrayList<>();
    /** The member last seen as primary, or null, and when it was. */
    Member primary;
    long primaryAt = Long.MIN_VALUE;
    /** When a held write may next ask a member whether it is primary. */
    long askDue = Long.MIN_VALUE;
    /** When the last two requests came. */
    long askedAt = Member.LONG_AGO;
    long askedBefore = Member.LONG_AGO;
    /** Probes sent to find the primary since it was last known. */
    int searches;

    void onRequest(long now) {
        askedBefore = askedAt;
        askedAt = now;
    }

    /** Whether no write can be sent: no primary is known, or it is not well. */
    boolean lacksPrimary() {
        return primary == null || !primary.isUsable() || primary.suspectSince != RoutingPolicy.NONE;
    }

    /** Whether its requests come further apart than that. */
    boolean isAskedLessOftenThan(long span) {
        return askedAt - askedBefore > span;
    }
}
