package ledgewall;

import ledgewall.RoutingPolicy.*;

/**
 * Slow start: limits what this router sends to a cold member in any overload window. The limit derives from the highest mean
 * rate at which warm members of the same kind have served this router. Such rates, summed over all routers, match the capacity
 * of one member; the highest rates of single members would exceed it, because the few answers of each come in bursts.
 */
final class SlowStart {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** The part of a cold member's budget that is used: the rest is a margin for random variation. */
    private static final double BUDGET_SAFETY_FACTOR = 0.7;
    /** Requests per window that all routers together send to a cold member even when its capacity is unknown. */
    private static final double MIN_FLEET_BUDGET = 6;
    /** The golden ratio's fraction: multiples of it modulo 1 are spread evenly over routers and over time. */
    private static final double GOLDEN_RATIO_FRACTION = 0.618034;
    /** The typical delay of the member list, in nanoseconds. */
    static final long LIST_DELAY = 5 * NANOS_PER_SECOND;

    /** Work that was sent to a cold member at {@code at}, in units of the mean work of a request. */
    record ColdSend(Attempt attempt, long at, double work) { }

    private final Settings settings;
    private final Constraints constraints;
    /** Members that are usable but not yet warm, by the time at which they will be. */
    private final DueQueue<Member> warming = new DueQueue<>();

    SlowStart(Settings settings) {
        this.settings = settings;
        this.constraints = settings.constraints();
    }

    boolean isWithinBudget(Member member, double work, long now) {
        long age = age(member, now);
        if (age >= constraints.warmUpTime()) {
            member.coldSends.clear();
            return true;
        }
        member.coldSends.removeIf(send -> send.at() <= now - constraints.overloadWindow());
        double capacityShare = constraints.coldCapacityShare()
            + (1 - constraints.coldCapacityShare()) * age / constraints.warmUpTime();
        double budget = BUDGET_SAFETY_FACTOR * constraints.overloadFactor() * capacityShare * constraints.overloadWindow()
            / NANOS_PER_SECOND * member.kind.peakRate();
        // With many routers, the share of each is a fraction of a request. Rank and window decide which routers round up, so
        // that a cold member that all of them use at once, such as its group's new primary, still stays within its budget.
        double share = Math.max(budget, MIN_FLEET_BUDGET / settings.routerCount());
        double rounding = now / constraints.overloadWindow() * GOLDEN_RATIO_FRACTION
            + settings.rank() / (double) settings.routerCount();
        return member.coldSends.stream().mapToDouble(ColdSend::work).sum() + work <= share + rounding % 1 * work;
    }

    void onSent(Attempt attempt, double work, long now) {
        attempt.member().coldSends.add(new ColdSend(attempt, now, work));
    }

    /**
     * Counts an attempt at the time at which it is written, as the decision to send it may be older. Returns false, and counts
     * it no more, if the member's budget does not allow it then: the member may have become cold meanwhile.
     */
    boolean confirmSend(Attempt attempt, double work, long now) {
        Member member = attempt.member();
        member.coldSends.removeIf(send -> send.attempt() == attempt);
        boolean allowed = isWithinBudget(member, work, now);
        if (allowed) {
            onSent(attempt, work, now);
        }
        return allowed;
    }

    /** Adds to the member's served rate, and to its kind's if the member is counted there. */
    void onServed(Member member, double rate, long now) {
        member.servedRate = rate + servedRate(member, now);
        member.servedRateAsOf = now;
        if (member.countedInKind) {
            member.kind.addRate(rate, now);
        }
    }

    /** Counts the member's served rate in its kind's mean if, and only if, it is usable and warm. */
    void updateKindMean(Member member, long now) {
        removeFromKindMean(member, now);
        long restartWarmUp = Math.min(LIST_DELAY, constraints.warmUpTime());
        long warmAt = Math.max(member.startedAt == 0 ? Long.MIN_VALUE : member.startedAt + constraints.warmUpTime(),
            member.restartDetectedAt + restartWarmUp);
        if (member.isUsable() && warmAt > now) {
            warming.put(member, warmAt);
        } else if (member.isUsable()) {
            member.countedInKind = true;
            member.kind.addMember(servedRate(member, now), now);
        }
    }

    /** Removes the member's served rate from its kind's mean, as before its kind changes. */
    void removeFromKindMean(Member member, long now) {
        if (member.countedInKind) {
            member.countedInKind = false;
            member.kind.removeMember(servedRate(member, now), now);
        }
    }

    /** Counts the members that have become warm. */
    void tick(long now) {
        for (Member member = warming.poll(now); member != null; member = warming.poll(now)) {
            updateKindMean(member, now);
        }
    }

    void forget(Member member, long now) {
        removeFromKindMean(member, now);
        warming.remove(member);
    }

    private static double servedRate(Member member, long now) {
        return MachineKind.decayed(member.servedRate, member.servedRateAsOf, now);
    }

    /**
     * The time since a member started: as listed or, while the list may not show a restart yet, estimated from when it was
     * reachable again after it had refused connections. Drawback: a member that was only unreachable gets little work for
     * that time.
     */
    private static long age(Member member, long now) {
        long sinceRestart = now - member.restartDetectedAt;
        long listedAge = member.startedAt == 0 ? Long.MAX_VALUE : now - member.startedAt;
        return Math.max(0, sinceRestart < LIST_DELAY ? Math.min(sinceRestart, listedAge) : listedAge);
    }
}
