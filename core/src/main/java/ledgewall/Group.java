package ledgewall;

import java.util.ArrayList;
import java.util.List;

/** Members that hold the same data: one primary and its replicas. All times are nanoseconds. */
final class Group {
    final List<Member> members = new ArrayList<>();
    /** Requests that wait for a member that may serve them. */
    final List<Request> queued = new ArrayList<>();
    /** The member last seen as primary, or null. */
    Member primary;
    /** The time of the newest evidence about the primary. */
    long primaryAsOf = Long.MIN_VALUE;
    /** The earliest time at which a queued write may be sent to a member that may turn out not to be the primary. */
    long nextPrimaryTrialAt = Long.MIN_VALUE;
    long lastRequestAt = Member.LONG_AGO;
    long previousRequestAt = Member.LONG_AGO;
    /** Probes sent in search of the primary since the last evidence about it. */
    int primarySearchProbes;

    void onRequest(long now) {
        previousRequestAt = lastRequestAt;
        lastRequestAt = now;
    }

    /** Whether no write can be sent: no primary is known, or it is unreachable, not serving or suspected. */
    boolean lacksHealthyPrimary() {
        return primary == null || !primary.isUsable() || primary.suspectSince != RoutingPolicy.NONE;
    }

    /** Whether its last two requests came further apart than {@code interval}. */
    boolean hasRequestGapOver(long interval) {
        return lastRequestAt - previousRequestAt > interval;
    }
}
