package ledgewall;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ledgewall.RoutingPolicy.*;

/**
 * Decides when members are probed: in rounds of several probes, urgently where a request requires it, and in search of a
 * group's primary. The number of probes follows the number of requests, apart from a small background rate for the whole
 * fleet: it hardly grows with the number of members, and groups without requests are probed rarely.
 */
final class ProbeScheduler {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** Period of probe rounds and probes per round, as in the reference design (see {@link ReplicaRoutingPolicy}). */
    static final long ROUND_PERIOD = 5 * SECOND;
    static final int PROBES_PER_ROUND = 3;
    /** The gap between urgent probes of one member, in nanoseconds: up to four per second, few compared to its reads. */
    static final long URGENT_PROBE_GAP = 250 * MS;
    /** Up to this many routers probe all members themselves, as in the reference design; more of them share results. */
    static final int MAX_INDEPENDENT_ROUTERS = 4;
    /** The longest gap between urgent probes of a member that fails them, in nanoseconds, before jitter is added. */
    private static final long MAX_URGENT_PROBE_GAP = 2 * SECOND;
    /** How often that gap may double. */
    private static final int MAX_GAP_DOUBLINGS = 8;
    /** The time in nanoseconds that a member has to report its role before the next member of its group is probed as well. */
    private static final long SEARCH_HEDGE_DELAY = 30 * MS;
    /** How often the gap between search probes of one member doubles. */
    private static final int MAX_SEARCH_GAP_DOUBLINGS = 2;
    /** Rounds per second of all routers together that no request triggers, and the limits of one router's burst. */
    private static final double FLEET_BACKGROUND_ROUNDS_PER_SECOND = 40;
    private static final double MAX_BACKGROUND_BURST = 40;
    private static final double MIN_BACKGROUND_BURST = 4;
    /** The mean number of probes that a request may trigger, and the largest burst after an idle time. */
    private static final double PROBES_PER_REQUEST = 0.25;
    private static final double DEMAND_BURST = 40;
    /** The mean number of rounds that a request may trigger where routers do not share results. */
    private static final double ROUNDS_PER_REQUEST = 0.1;
    /** Observations per second that a router receives from all others; changes of a primary come in addition. */
    private static final double FLEET_OBSERVATIONS_PER_SECOND = 40;
    private static final double OBSERVATION_BURST = 10;

    /** Members whose role was learned longest ago first, of these the ones that probably have an idle connection. */
    private static final Comparator<Member> LIKELIEST_PRIMARY_FIRST =
        Comparator.<Member>comparingLong(m -> m.roleAsOf).thenComparingLong(m -> -m.lastContactedAt());

    private final Settings settings;
    private final SplittableRandom random;
    private final Freshness freshness;
    private final Consumer<Action> actions;
    private final boolean sharesObservations;
    private final boolean manyRouters;
    private final DueQueue<Member> dueRounds = new DueQueue<>();
    private final DueQueue<Member> dueUrgentProbes = new DueQueue<>();
    private final TokenBucket backgroundRounds;
    private final TokenBucket demandProbes;
    private final TokenBucket sharedObservations;

    ProbeScheduler(Settings settings, SplittableRandom random, Freshness freshness, Consumer<Action> actions, long now) {
        this.settings = settings;
        this.random = random;
        this.freshness = freshness;
        this.actions = actions;
        this.sharesObservations = sharesObservations(settings);
        this.manyRouters = settings.routerCount() > MAX_INDEPENDENT_ROUTERS;
        double burst = MAX_BACKGROUND_BURST * Math.min(1, MAX_INDEPENDENT_ROUTERS / (double) settings.routerCount());
        this.backgroundRounds = new TokenBucket(FLEET_BACKGROUND_ROUNDS_PER_SECOND / settings.routerCount(),
            Math.max(MIN_BACKGROUND_BURST, burst), now);
        this.demandProbes = new TokenBucket(0, DEMAND_BURST, now);
        this.sharedObservations = new TokenBucket(FLEET_OBSERVATIONS_PER_SECOND / settings.routerCount(), OBSERVATION_BURST, now);
    }

    /** Whether routers send the results of their probes to one another. */
    static boolean sharesObservations(Settings settings) {
        return settings.limits().peerMessages() && settings.routerCount() > MAX_INDEPENDENT_ROUTERS;
    }

    /** Schedules the rounds of a member that is listed as serving. */
    void onListedServing(Member member, int memberCount, long now) {
        if (member.nextRoundAt == Long.MIN_VALUE) {
            member.nextRoundAt = manyRouters ? now + random.nextLong(roundPeriod(memberCount)) : now;
        }
        dueRounds.put(member, member.nextRoundAt);
    }

    /** Probes members of a new request's group where that is due or urgent. */
    void onRequest(Request request, int memberCount, long now) {
        demandProbes.add(PROBES_PER_REQUEST);
        backgroundRounds.add(sharesObservations ? 0 : ROUNDS_PER_REQUEST);
        request.group.members.forEach(member -> probeOnDemand(member, memberCount, now));
        if (freshness.requiresPrimary(request)) {
            searchPrimary(request.group, now);
        }
    }

    /** Postpones this router's own probes of a member that another router has reported on. */
    void onPeerObservation(Member member, int memberCount, long now) {
        member.nextRoundAt = nextRoundTime(memberCount, now);
        member.nextUrgentProbeAt = member.unreachable ? now : nextUrgentTime(member, now);
        dueRounds.put(member, member.nextRoundAt);
    }

    void onProbeFailed(Member member, long now) {
        member.failedProbes++;
        member.nextUrgentProbeAt = nextUrgentTime(member, now);
    }

    /** Sends the next probe of the member's round at once, if any is left. */
    void onProbeAnswered(Member member, long now) {
        member.failedProbes = 0;
        member.probesLeftInRound--;
        if (member.probesLeftInRound > 0) {
            probe(member, now);
        }
    }

    /** Whether a probe's result is sent to the other routers: always for a change of a primary, else as the rate allows. */
    boolean shouldShare(Member member, boolean primaryChanged, long now) {
        return sharesObservations && member.probesLeftInRound <= 0 && (primaryChanged || sharedObservations.tryTake(now));
    }

    void forget(Member member) {
        dueRounds.remove(member);
        dueUrgentProbes.remove(member);
    }

    /** Starts what is due: urgent probes that had to wait for their gap, then rounds at the background rate. */
    void tick(int memberCount, long now) {
        for (Member member = dueUrgentProbes.poll(now); member != null; member = dueUrgentProbes.poll(now)) {
            probeOnDemand(member, memberCount, now);
        }
        for (Member member = dueRounds.poll(now); member != null; member = dueRounds.poll(now)) {
            if (member.phase != Phase.SERVING) {
                continue; // scheduled again when a list names it as serving
            }
            if (member.probeInFlight) {
                dueRounds.put(member, now + URGENT_PROBE_GAP);
            } else if (backgroundRounds.tryTake(now)) {
                startRound(member, memberCount, now);
            } else {
                dueRounds.put(member, member.nextRoundAt);
                return;
            }
        }
    }

    private void probeOnDemand(Member member, int memberCount, long now) {
        if (member.probeInFlight || member.phase != Phase.SERVING) {
            return;
        }
        boolean isUrgent = member.group.lastRequestAt > member.probedAt
            && (member.unreachable || member.suspectSince != RoutingPolicy.NONE || freshness.isNearStalenessBound(member, now));
        if (!sharesObservations && now >= member.nextRoundAt && backgroundRounds.tryTake(now)) {
            startRound(member, memberCount, now);
        } else if (isUrgent) {
            probeUrgently(member, now);
        }
    }

    /** Probes a member for its position on behalf of one read; a request triggers at most one such probe. */
    void probePosition(Member member, long now) {
        if (!member.probeInFlight) {
            probe(member, now);
        }
    }

    /** Probes as soon as the member's gap between urgent probes has passed. */
    void probeUrgently(Member member, long now) {
        if (member.probeInFlight || member.phase != Phase.SERVING) {
            return;
        }
        if (now < member.nextUrgentProbeAt) {
            dueUrgentProbes.put(member, member.nextUrgentProbeAt);
        } else if (tryTakeProbe(now)) {
            probe(member, now);
        } else if (!member.group.queued.isEmpty()) {
            dueUrgentProbes.put(member, now + URGENT_PROBE_GAP);
        }
    }

    /**
     * Probes the members of a group without a primary for their role, one after the other. The first pass is not rate-limited,
     * because no write of the group can be sent without it; later passes count against the rate of probes.
     */
    void searchPrimary(Group group, long now) {
        if (!group.lacksHealthyPrimary()
                || group.members.stream().anyMatch(m -> m.probeInFlight && now < m.probedAt + SEARCH_HEDGE_DELAY)) {
            return;
        }
        List<Member> candidates = group.members.stream()
            .filter(m -> m.phase == Phase.SERVING && !m.probeInFlight && now >= m.nextUrgentProbeAt)
            .sorted(LIKELIEST_PRIMARY_FIRST).toList();
        if (candidates.isEmpty()) {
            return;
        }
        long equallyLikely = candidates.stream().filter(m -> LIKELIEST_PRIMARY_FIRST.compare(m, candidates.get(0)) == 0).count();
        Member next = candidates.get(random.nextInt((int) equallyLikely));
        int pass = group.primarySearchProbes / group.members.size();
        if (pass > 0 && !tryTakeProbe(now)) {
            return;
        }
        group.primarySearchProbes++;
        probe(next, now);
        next.nextUrgentProbeAt = Math.max(next.nextUrgentProbeAt,
            now + (URGENT_PROBE_GAP << Math.min(pass, MAX_SEARCH_GAP_DOUBLINGS)));
    }

    private boolean tryTakeProbe(long now) {
        return demandProbes.tryTake(now) || backgroundRounds.tryTake(now);
    }

    private void startRound(Member member, int memberCount, long now) {
        member.nextRoundAt = nextRoundTime(memberCount, now);
        dueRounds.put(member, member.nextRoundAt);
        member.probesLeftInRound = manyRouters && !sharesObservations ? 1 : PROBES_PER_ROUND;
        probe(member, now);
    }

    private void probe(Member member, long now) {
        if (settings.limits().probing()) {
            member.probeInFlight = true;
            member.probedAt = now;
            member.nextUrgentProbeAt = nextUrgentTime(member, now);
            actions.accept(new Probe(member.id));
        }
    }

    /** With many routers, each adds a random delay of up to a period, so that they do not all probe a member at once. */
    private long nextRoundTime(int memberCount, long now) {
        return now + (manyRouters ? roundPeriod(memberCount) + random.nextLong(roundPeriod(memberCount)) : ROUND_PERIOD);
    }

    /** The period of rounds: in a fleet that shares results, long enough that all observations stay within their rate. */
    private long roundPeriod(int memberCount) {
        return sharesObservations ? Math.max(ROUND_PERIOD, (long) (memberCount * SECOND / (FLEET_OBSERVATIONS_PER_SECOND / 2)))
            : ROUND_PERIOD;
    }

    /** Routers that share results have random gaps, so that one of many probes soon and the others receive its result. */
    private long nextUrgentTime(Member member, long now) {
        if (sharesObservations) {
            return now + URGENT_PROBE_GAP + random.nextLong(ROUND_PERIOD - URGENT_PROBE_GAP);
        }
        long gap = Math.min(MAX_URGENT_PROBE_GAP, URGENT_PROBE_GAP << Math.min(member.failedProbes, MAX_GAP_DOUBLINGS));
        return now + gap + (member.failedProbes == 0 ? 0 : random.nextLong(gap / 2));
    }
}
