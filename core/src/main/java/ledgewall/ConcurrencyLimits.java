package ledgewall;

/**
 * Limits this router's attempts in flight at each member, so that answers stay well within their latency targets. That guards
 * against overload of one or all members, which shows only in their answers.
 *
 * <p>A member's latency ratio is the moving average of its answers' latencies as a part of their targets. While it is low, the
 * limit grows with the answers; while it is high, or the member refuses requests, it shrinks. All times are nanoseconds.
 */
final class ConcurrencyLimits {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** The target for a member's mean latency, as a part of the latency target: the rest is left for the tail. */
    private static final double TARGET_LATENCY_RATIO = 0.42;
    private static final double INITIAL_LATENCY_RATIO = 0.25;
    /** Time constant with which a member's latency ratio returns to its kind's when there are no samples. */
    private static final double LATENCY_RATIO_TIME_CONSTANT = 20 * SECOND;
    /** Weight of a sample in the moving average of one member, which gives few samples. */
    private static final double MEMBER_SAMPLE_WEIGHT = 0.3;
    /** Weight of a sample in the moving averages of many members. */
    static final double POOLED_SAMPLE_WEIGHT = 0.02;
    /** Exponent of the load in the spacing of sends: at half of the targeted latency ratio, a sixteenth of the gap is left. */
    private static final double SPACING_EXPONENT = 4;
    /** Concurrency limits of a member, for all routers together: initial, when cold, smallest. */
    private static final double INITIAL_CONCURRENCY = 12;
    private static final double COLD_CONCURRENCY = 4;
    private static final double MIN_CONCURRENCY = 1;
    /** A concurrency limit grows by this, for all routers together, with as many answers as it allows attempts. */
    private static final double CONCURRENCY_INCREASE = 2;
    /** It shrinks by this factor when answers are slow or refused, at most once per interval. */
    private static final double CONCURRENCY_DECREASE_FACTOR = 0.85;
    private static final long MIN_DECREASE_INTERVAL = 100 * MS;
    /** Latency targets after which an attempt is lost if later ones are answered in time: it uses no capacity, shows no load. */
    private static final long LOST_AFTER_TARGETS = 2;

    private final int routerCount;

    ConcurrencyLimits(int routerCount) {
        this.routerCount = routerCount;
    }

    /** A member that has just been listed for the first time. */
    Member newMember(String id, Group group) {
        return new Member(id, group, INITIAL_LATENCY_RATIO, INITIAL_CONCURRENCY / routerCount);
    }

    /** A kind of machine of which no member has answered yet. */
    MachineKind newKind() {
        return new MachineKind(INITIAL_LATENCY_RATIO);
    }

    /** The member has restarted, and bears less than before. */
    void onRestart(Member member) {
        member.concurrencyLimit = COLD_CONCURRENCY / routerCount;
    }

    /** The member has answered an attempt, with this latency as a part of its target; the attempt is no longer in flight. */
    void onServed(Member member, double sample, long now) {
        recordSample(member, sample, now);
        if (latencyRatio(member, now) > TARGET_LATENCY_RATIO) {
            decrease(member, now);
        } else if (member.attemptsInFlight.size() + 1 >= member.concurrencyLimit / 2) {
            member.concurrencyLimit += CONCURRENCY_INCREASE / routerCount / Math.max(1, member.concurrencyLimit);
        }
    }

    /** The member has refused an attempt for overload. */
    void onRejected(Member member, long now) {
        decrease(member, now);
    }

    /**
     * An attempt has ended without an answer.
     *
     * @param sample how long it took, as a part of its latency target
     * @param answeredOthers whether the member has answered since the attempt was sent: a long wait beside answers in time is a
     *     lost answer and no sign of load
     */
    void onUnanswered(Attempt attempt, double sample, boolean answeredOthers, long now) {
        Member member = attempt.member();
        if (!isOverdue(attempt, now) || !answeredOthers || isSlow(member, now)) {
            recordSample(member, Math.max(sample, latencyRatio(member, now)), now);
            decrease(member, now);
        }
    }

    private void recordSample(Member member, double sample, long now) {
        double ratio = latencyRatio(member, now);
        member.latencyRatio = ratio + MEMBER_SAMPLE_WEIGHT * (sample - ratio);
        member.kind.latencyRatio += POOLED_SAMPLE_WEIGHT * (sample - member.kind.latencyRatio);
        member.latencySampledAt = now;
    }

    private void decrease(Member member, long now) {
        if (now >= member.nextDecreaseAt) {
            member.nextDecreaseAt = now + MIN_DECREASE_INTERVAL;
            member.concurrencyLimit = Math.max(MIN_CONCURRENCY / routerCount,
                member.concurrencyLimit * CONCURRENCY_DECREASE_FACTOR);
        }
    }

    /** The mean latency of a member's answers as a part of their targets; without samples it decays to its kind's. */
    double latencyRatio(Member member, long now) {
        double kindRatio = member.kind.latencyRatio;
        return kindRatio + (member.latencyRatio - kindRatio)
            * Math.exp((member.latencySampledAt - now) / LATENCY_RATIO_TIME_CONSTANT);
    }

    private boolean isSlow(Member member, long now) {
        return latencyRatio(member, now) >= TARGET_LATENCY_RATIO;
    }

    /** The relative delay expected at a member; never better than its kind's, as a few fast answers may be chance. */
    double expectedDelay(Member member, long now) {
        return Math.max(member.kind.latencyRatio, latencyRatio(member, now)) * (member.attemptsInFlight.size() + 1);
    }

    /**
     * Whether a request may be sent to a member as far as its concurrency limit goes. A limit below one, where many routers
     * share a member, spaces sends instead. The gaps shrink as the latencies of the member and its kind do, because sparse
     * traffic comes in bursts. Drawback: a burst waits until the limits of idle members have grown, or meets the first requests
     * of all routers.
     *
     * @param share the part of the member's concurrency limit that the request may use
     */
    boolean hasCapacity(Request request, Member member, double share, long now) {
        double limit = member.concurrencyLimit * share;
        double ratio = latencyRatio(member, now);
        double expectedLatency = ratio * request.requestClass.latencyTarget();
        boolean slow = isSlow(member, now); // else an overdue attempt is lost and uses no capacity
        long inFlight = member.attemptsInFlight.stream().filter(a -> slow || !isOverdue(a, now)).count();
        double load = Math.min(1, Math.max(member.kind.latencyRatio, ratio) / TARGET_LATENCY_RATIO);
        double gap = Math.pow(load, SPACING_EXPONENT) * expectedLatency / limit;
        return inFlight == 0 ? limit >= 1 || now - member.lastSentAt >= gap : inFlight < limit;
    }

    /** Whether an attempt is in flight for so long that it delays no trial and, given later answers, shows no silence. */
    boolean isOverdue(Attempt attempt, long now) {
        return now >= attempt.sentAt() + LOST_AFTER_TARGETS * attempt.request().requestClass.latencyTarget();
    }
}
