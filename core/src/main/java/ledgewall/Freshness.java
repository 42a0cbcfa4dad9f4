package ledgewall;

import ledgewall.RoutingPolicy.*;

/** Decides which members have data that is new enough for a read, from the positions that this router knows. */
final class Freshness {
    /**
     * A part of the staleness bound: a lag above it is near the bound and is probed again; a lag below it is assumed to stay
     * within the bound.
     */
    private static final double NEAR_BOUND = 0.33;

    private final ReplicationSettings replication;
    private final SessionWrites sessionWrites;
    private final boolean probesReportPosition;
    /** Whether so many routers share the members that each asks for a position only when a read requires it. */
    private final boolean manyRouters;
    /** How long a reported position is used, in nanoseconds. */
    private final long positionLifetime;
    /** The smallest staleness bound of any class, in nanoseconds. */
    private final long smallestBound;

    Freshness(Settings settings, boolean sharesObservations, SessionWrites sessionWrites) {
        this.replication = settings.replication();
        this.sessionWrites = sessionWrites;
        this.probesReportPosition = settings.limits().probing() && settings.replication().probesReportPosition();
        this.manyRouters = settings.routerCount() > ProbeScheduler.MAX_INDEPENDENT_ROUTERS;
        this.positionLifetime = (sharesObservations ? 2 : 1) * ProbeScheduler.ROUND_PERIOD + ProbeScheduler.URGENT_PROBE_GAP;
        this.smallestBound = settings.classes().stream().filter(c -> c.consistency() == Consistency.BOUNDED)
            .mapToLong(RequestClass::stalenessBound).min().orElse(Long.MAX_VALUE);
    }

    boolean isEligible(Request request, Member member, long now) {
        long bound = request.requestClass.stalenessBound();
        return now <= eligibleUntil(request, member) || request.requestClass.consistency() == Consistency.BOUNDED
            && (lag(member, now) < NEAR_BOUND * bound
            || allowsUnknownPosition(request) && !hasRecentPosition(member, now) && !refusedStaleReadRecently(member, now));
    }

    /** Until when the member's known position proves that its data is new enough for a read; in the past if it does not. */
    long eligibleUntil(Request request, Member member) {
        if (member == request.group.primary) {
            return Long.MAX_VALUE;
        }
        return switch (request.requestClass.consistency()) {
            case ANY, WRITE -> Long.MAX_VALUE;
            case FRESH -> member.position >= request.requiredPosition ? Long.MAX_VALUE : Long.MIN_VALUE;
            case SESSION -> member.position >= requiredBySession(request) ? Long.MAX_VALUE : Long.MIN_VALUE;
            case BOUNDED -> member.position + request.requestClass.stalenessBound();
        };
    }

    /**
     * The position that a session's read requires now: that of the writes which this router remembers, which may have been
     * served since the read arrived, and the one that its token tells.
     */
    private long requiredBySession(Request request) {
        long session = request.arrival.session();
        return request.arrival.timeSinceWrite() == RoutingPolicy.NONE ? sessionWrites.requiredPosition(session)
            : Math.max(request.requiredPosition, sessionWrites.rememberedPosition(session));
    }

    /** Whether only the primary can serve a request. */
    boolean requiresPrimary(Request request) {
        return request.requestClass.consistency() == Consistency.WRITE || request.requestClass.consistency() == Consistency.FRESH
            || request.requestClass.consistency() != Consistency.ANY && !allowsUnknownPosition(request)
            && !usesPositionProbe(request);
    }

    /** Whether a replica is probed for its position on behalf of a read; a few routers know all positions without that. */
    boolean usesPositionProbe(Request request) {
        return manyRouters && probesReportPosition && (request.requestClass.consistency() == Consistency.SESSION
            || request.requestClass.consistency() == Consistency.BOUNDED && !allowsUnknownPosition(request));
    }

    /**
     * Whether a replica of unknown position may be tried: where members refuse stale reads without executing them, a wrong
     * choice costs a round trip. Drawback: a read that meets a lagging replica reaches the next one some milliseconds later.
     */
    private boolean allowsUnknownPosition(Request request) {
        return request.requestClass.consistency() == Consistency.BOUNDED
            && replication.staleReadHandling() == StaleReadHandling.REFUSES;
    }

    /** Whether reads of the smallest bound may soon be refused or stale at the member, so that its position is worth a probe. */
    boolean isNearStalenessBound(Member member, long now) {
        boolean lagIsKnown = replication.staleReadHandling() == StaleReadHandling.REFUSES
            ? hasRecentPosition(member, now) || refusedStaleReadRecently(member, now) : !manyRouters;
        return lagIsKnown && replication.probesReportPosition() && lag(member, now) > NEAR_BOUND * smallestBound;
    }

    private boolean hasRecentPosition(Member member, long now) {
        return member.positionAsOf > now - positionLifetime;
    }

    private static boolean refusedStaleReadRecently(Member member, long now) {
        return now < member.staleReadRefusedAt + ProbeScheduler.ROUND_PERIOD;
    }

    /** The member's replication lag; where members do not serve stale reads, it is assumed constant until the next probe. */
    private long lag(Member member, long now) {
        boolean assumedConstant = replication.staleReadHandling() != StaleReadHandling.SERVES && hasRecentPosition(member, now);
        return (assumedConstant ? member.positionAsOf : now) - member.position;
    }
}
