package ledgewall;

import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ledgewall.RoutingPolicy.*;

/**
 * Decides when a member is probed: in rounds of some pings, urgently where a request has need of it, and in search of a
 * group's primary. How many probes there are goes by the requests that came, beside a small part of the fleet's total: it
 * hardly grows with the number of members, and what nobody asks about is probed rarely.
 */
final class ProbeScheduler {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** The paper's period and number of pings. */
    static final long PERIOD = 5 * SECOND;
    static final int PINGS = 3;
    /** Gap between urgent probes of one member: some a second, few against its reads. */
    static final long URGENT_GAP = 250 * MS;
    /** A handful of routers probe each for themselves, as in the paper; more share the probes of one. */
    static final int HANDFUL = 4;
    /** Gap of a member that fails its probes, at most. */
    private static final long LONGEST_URGENT_GAP = 2 * SECOND;
    private static final int MOST_DOUBLINGS = 8;
    /** A member that is asked for its role has so long to answer before the next one is asked beside it. */
    private static final long SEARCH_HEDGE = 30 * MS;
    /** How often the gap between such probes of one member doubles. */
    private static final int MOST_SEARCH_DOUBLINGS = 2;
    /** Rounds a second, of all routers together, that no request asks for, and how many of one router at once. */
    private static final double FLEET_BACKGROUND_ROUNDS = 40;
    private static final double MOST_BACKGROUND_BURST = 40;
    private static final double LEAST_BACKGROUND_BURST = 4;
    /** Probes that a request may bring about in the mean, and how many at once after a quiet time. */
    private static final double PROBES_PER_REQUEST = 0.25;
    private static final double DEMAND_BURST = 40;
    /** Rounds that a request may bring about in the mean where routers do not share what they find. */
    private static final double ROUNDS_PER_REQUEST = 0.1;
    /** Findings a second that a router is to hear of all others; changes of a primary come beside them. */
    private static final double FLEET_FINDINGS = 40;
    private static final double FINDING_BURST = 10;

    /** Members whose role was heard of longest ago first, of these the ones with a connection left. */
    private static final Comparator<Member> LIKELIEST =
        Comparator.<Member>comparingLong(m -> m.roleAt).thenComparingLong(m -> -m.contactedAt());

    private final Settings settings;
    private final SplittableRandom random;
    private final Freshness freshness;
    private final Consumer<Action> actions;
    private final boolean shared;
    private final boolean many;
    private final DueQueue<Member> rounds = new DueQueue<>();
    private final DueQueue<Member> urgent = new DueQueue<>();
    private final TokenBucket background;
    private final TokenBucket demand;
    private final TokenBucket findings;

    ProbeScheduler(Settings settings, SplittableRandom random, Freshness freshness, Consumer<Action> actions, long now) {
        this.settings = settings;
        this.random = random;
        this.freshness = freshness;
        this.actions = actions;
        this.shared = isShared(settings);
        this.many = settings.routers() > HANDFUL;
        double burst = MOST_BACKGROUND_BURST * Math.min(1, HANDFUL / (double) settings.routers());
        this.background = new TokenBucket(FLEET_BACKGROUND_ROUNDS / settings.routers(),
            Math.max(LEAST_BACKGROUND_BURST, burst), now);
        this.demand = new TokenBucket(0, DEMAND_BURST, now);
        this.findings = new TokenBucket(FLEET_FINDINGS / settings.routers(), FINDING_BURST, now);
    }

    /** Whether routers hand what their probes find on to one another. */
    static boolean isShared(Settings settings) {
        return settings.limits().peers() && settings.routers() > HANDFUL;
    }

    /** A member is listed as serving, of so many in all. */
    void onServing(Member member, int members, long now) {
        if (member.roundDue == Long.MIN_VALUE) {
            member.roundDue = many ? now + random.nextLong(roundPeriod(members)) : now;
        }
        rounds.put(member, member.roundDue);
    }

    /** A request has come: its group's members are probed where that is due or wanted. */
    void onRequest(Request request, int members, long now) {
        demand.add(PROBES_PER_REQUEST);
        background.add(shared ? 0 : ROUNDS_PER_REQUEST);
        request.group.members.forEach(member -> probeOnDemand(member, members, now));
        if (freshness.needsPrimary(request)) {
            searchPrimary(request.group, now);
        }
    }

    /** Another router has told of the member: this one puts its own probes off. */
    void onNews(Member member, int members, long now) {
        member.roundDue = nextRound(members, now);
        member.urgentDue = member.down ? now : nextUrgent(member, now);
        rounds.put(member, member.roundDue);
    }

    /** A probe has ended without an answer. */
    void onFailed(Member member, long now) {
        member.failedProbes++;
        member.urgentDue = nextUrgent(member, now);
    }

    /** A probe was answered: the next ping of its round follows at once. */
    void onAnswered(Member member, long now) {
        member.failedProbes = 0;
        member.pingsLeft--;
        if (member.pingsLeft > 0) {
            probe(member, now);
        }
    }

    /** Whether what a probe has found is to be handed on, changes of a primary before all else. */
    boolean handsOn(Member member, boolean primaryChanged, long now) {
        return shared && member.pingsLeft <= 0 && (primaryChanged || findings.tryTake(now));
    }

    void forget(Member member) {
        rounds.remove(member);
        urgent.remove(member);
    }

    /** Begins what is due: urgent probes that had to wait for their gap, then rounds as far as no request has to ask. */
    void tick(int members, long now) {
        for (Member member = urgent.poll(now); member != null; member = urgent.poll(now)) {
            probeOnDemand(member, members, now);
        }
        for (Member member = rounds.poll(now); member != null; member = rounds.poll(now)) {
            if (member.phase != Phase.SERVING) {
                continue; // a list that names it again puts it back
            }
            if (member.probing) {
                rounds.put(member, now + URGENT_GAP);
            } else if (background.tryTake(now)) {
                startRound(member, members, now);
            } else {
                rounds.put(member, member.roundDue);
                return;
            }
        }
    }

    private void probeOnDemand(Member member, int members, long now) {
        if (member.probing || member.phase != Phase.SERVING) {
            return;
        }
        boolean wanted = member.group.askedAt > member.probedAt
            && (member.down || member.suspectSince != RoutingPolicy.NONE || freshness.isNearBound(member, now));
        if (!shared && now >= member.roundDue && background.tryTake(now)) {
            startRound(member, members, now);
        } else if (wanted) {
            urgent(member, now);
        }
    }

    /** Asks a member for its position on behalf of one read; a request brings about one such probe at most. */
    void askPosition(Member member, long now) {
        if (!member.probing) {
            probe(member, now);
        }
    }

    /** Probes as soon as the member's gap between urgent probes is over. */
    void urgent(Member member, long now) {
        if (member.probing || member.phase != Phase.SERVING) {
            return;
        }
        if (now < member.urgentDue) {
            urgent.put(member, member.urgentDue);
        } else if (take(now)) {
            probe(member, now);
        } else if (!member.group.held.isEmpty()) {
            urgent.put(member, now + URGENT_GAP);
        }
    }

    /**
     * Asks the members of a group without a primary for their role, one after the other. The first pass is free, for without
     * it no write of the group can be sent; others take from the probes' rate.
     */
    void searchPrimary(Group group, long now) {
        if (!group.lacksPrimary() || group.members.stream().anyMatch(m -> m.probing && now < m.probedAt + SEARCH_HEDGE)) {
            return;
        }
        List<Member> candidates = group.members.stream()
            .filter(m -> m.phase == Phase.SERVING && !m.probing && now >= m.urgentDue).sorted(LIKELIEST).toList();
        if (candidates.isEmpty()) {
            return;
        }
        long likeliest = candidates.stream().filter(m -> LIKELIEST.compare(m, candidates.get(0)) == 0).count();
        Member next = candidates.get(random.nextInt((int) likeliest));
        int pass = group.searches / group.members.size();
        if (pass > 0 && !take(now)) {
            return;
        }
        group.searches++;
        probe(next, now);
        next.urgentDue = Math.max(next.urgentDue, now + (URGENT_GAP << Math.min(pass, MOST_SEARCH_DOUBLINGS)));
    }

    private boolean take(long now) {
        return demand.tryTake(now) || background.tryTake(now);
    }

    private void startRound(Member member, int members, long now) {
        member.roundDue = nextRound(members, now);
        rounds.put(member, member.roundDue);
        member.pingsLeft = many && !shared ? 1 : PINGS;
        probe(member, now);
    }

    private void probe(Member member, long now) {
        if (settings.limits().probes()) {
            member.probing = true;
            member.probedAt = now;
            member.urgentDue = nextUrgent(member, now);
            actions.accept(new Probe(member.id));
        }
    }

    /**
     * The paper's period or, in a fleet that shares what it finds, so long that all findings stay within their rate. Each of many
     * routers has times of its own, so that not all of them come to one member at once.
     */
    private long nextRound(int members, long now) {
        return now + (many ? roundPeriod(members) + random.nextLong(roundPeriod(members)) : PERIOD);
    }

    private long roundPeriod(int members) {
        return shared ? Math.max(PERIOD, (long) (members * SECOND / (FLEET_FINDINGS / 2))) : PERIOD;
    }

    /** Each router's gap is its own, so that of many one asks soon and the others hear of it. */
    private long nextUrgent(Member member, long now) {
        if (shared) {
            return now + URGENT_GAP + random.nextLong(PERIOD - URGENT_GAP);
        }
        long gap = Math.min(LONGEST_URGENT_GAP, URGENT_GAP << Math.min(member.failedProbes, MOST_DOUBLINGS));
        return now + gap + (member.failedProbes == 0 ? 0 : random.nextLong(gap / 2));
    }
}
