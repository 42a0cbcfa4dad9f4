package ledgewall;

import ledgewall.RoutingPolicy.*;

/** Which members have data that is new enough for a read, as far as this router can know. */
final class Freshness {
    /** Part of a bound from which a lag is near it, probed anew, and below which it is taken to hold on. */
    private static final double NEAR_BOUND = 0.33;

    private final Data data;
    private final boolean probesTell;
    /** Whether so many routers share the members that each asks for a position only when a read has need of it. */
    private final boolean manyRouters;
    /** How long a position that was heard tells something, in nanoseconds. */
    private final long evidenceLasts;
    private final long tightestBound;

    Freshness(Settings settings, boolean shared) {
        this.data = settings.data();
        this.probesTell = settings.limits().probes() && settings.data().probesTellPosition();
        this.manyRouters = settings.routers() > ProbeScheduler.HANDFUL;
        this.evidenceLasts = (shared ? 2 : 1) * ProbeScheduler.PERIOD + ProbeScheduler.URGENT_GAP;
        this.tightestBound = settings.classes().stream().filter(c -> c.need() == Need.BOUNDED)
            .mapToLong(RequestClass::stalenessBound).min().orElse(Long.MAX_VALUE);
    }

    boolean isEligible(Request request, Member member, long now) {
        long bound = request.kind.stalenessBound();
        return member == request.group.primary || switch (request.kind.need()) {
            case ANY, WRITE -> true;
            case FRESH, SESSION -> member.position >= request.needed;
            case BOUNDED -> member.position >= now - bound || lag(member, now) < NEAR_BOUND * bound
                || triesUnproven(request) && !hasEvidence(member, now) && !hasMissed(member, now);
        };
    }

    /** Whether only the primary can serve a request. */
    boolean needsPrimary(Request request) {
        return request.kind.need() == Need.WRITE || request.kind.need() == Need.FRESH
            || request.kind.need() != Need.ANY && !triesUnproven(request) && !isProvenByProbe(request);
    }

    /** Whether a replica is asked for its position on behalf of a read; a handful of routers know positions anyway. */
    boolean isProvenByProbe(Request request) {
        return manyRouters && probesTell && (request.kind.need() == Need.SESSION
            || request.kind.need() == Need.BOUNDED && !triesUnproven(request));
    }

    /**
     * Whether a replica of which nothing is known may be tried: members refuse stale reads themselves, untouched, and a
     * miss costs a round trip. Harm: a read that meets a lagging replica comes to the next one some milliseconds later.
     */
    private boolean triesUnproven(Request request) {
        return request.kind.need() == Need.BOUNDED && data.behind() == Behind.REFUSES;
    }

    /** Whether reads of the tightest bound may soon miss at the member, so that its position is worth a probe. */
    boolean isNearBound(Member member, long now) {
        boolean tells = data.behind() == Behind.REFUSES ? hasEvidence(member, now) || hasMissed(member, now) : !manyRouters;
        return tells && data.probesTellPosition() && lag(member, now) > NEAR_BOUND * tightestBound;
    }

    /** Whether anything was heard of the member's position that still tells something. */
    private boolean hasEvidence(Member member, long now) {
        return member.positionAt > now - evidenceLasts;
    }

    private static boolean hasMissed(Member member, long now) {
        return now < member.missedAt + ProbeScheduler.PERIOD;
    }

    /** Where members refuse stale reads themselves, a lag is taken to hold on until the next probe. */
    private long lag(Member member, long now) {
        boolean holds = data.behind() != Behind.ANSWERS && hasEvidence(member, now);
        return (holds ? member.positionAt : now) - member.position;
    }
}
