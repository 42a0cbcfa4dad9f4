package ledgewall;

import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ledgewall.RoutingPolicy.*;

/**
 * Simulates the policies of many routers in one thread with a virtual clock: members answer after a fixed delay, datagrams
 * arrive after 10 ms, and requests come at a constant rate to routers drawn from one seed.
 */
final class PolicyFleet {
    static final long PROBE_DELAY = 2 * MS;
    private static final long ANSWER_DELAY = 100 * MS;
    private static final long DATAGRAM_DELAY = 10 * MS;
    private static final long STEP = 5 * MS;

    /** How a member behaves, and when it was probed or sent a request. */
    static final class SimulatedMember {
        final Role role;
        final long group;
        boolean unreachable;
        final List<Long> probeTimes = new ArrayList<>();
        final List<Long> sendTimes = new ArrayList<>();

        SimulatedMember(Role role, long group) {
            this.role = role;
            this.group = group;
        }
    }

    private record ScheduledEvent(long at, long sequence, int router, Event event) { }

    final Map<String, SimulatedMember> members = new LinkedHashMap<>();
    final List<ReplicaRoutingPolicy> routers = new ArrayList<>();
    final Map<Integer, Integer> probesByRouter = new HashMap<>();
    /** Whether datagrams between routers are lost. */
    boolean dropsDatagrams;
    long now = 1_000 * SECOND;
    int refusedRequests;
    /** Datagrams with observations that reached a router. */
    int receivedDatagrams;
    private final boolean peerMessages;
    int requestCount;
    private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>(
        (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.sequence(), b.sequence()));
    private final SplittableRandom random = new SplittableRandom(11);
    private long nextSequence;
    private long nextRequest;

    PolicyFleet(int routers, int groups) {
        this(routers, groups, true);
    }

    /** {@code peerMessages} tells whether routers may send each other messages. */
    PolicyFleet(int routers, int groups, boolean peerMessages) {
        this.peerMessages = peerMessages;
        for (int group = 0; group < groups; group++) {
            members.put("p" + group, new SimulatedMember(Role.PRIMARY, group));
            members.put("a" + group, new SimulatedMember(Role.REPLICA, group));
            members.put("b" + group, new SimulatedMember(Role.REPLICA, group));
        }
        for (int rank = 0; rank < routers; rank++) {
            this.routers.add(null);
            start(rank, routers);
        }
    }

    private void start(int rank, int count) {
        Settings base = PolicyHarness.settings(count, rank);
        Limits limits = base.limits();
        Settings settings = new Settings(count, rank, 0, base.tickInterval(), false, base.classes(), base.tenants(), 1,
            new Limits(limits.maxAttempts(), true, true, true, peerMessages, false, 0, limits.connectTimeout(), 1000),
            base.replication(), base.constraints());
        routers.set(rank, new ReplicaRoutingPolicy(settings, 100 + rank));
        schedule(rank, 0, memberList(ListKind.CACHED));
    }

    /** Replaces a router by one without any state. */
    void restartRouter(int rank) {
        scheduledEvents.removeIf(event -> event.router() == rank);
        start(rank, routers.size());
    }

    MemberList memberList(ListKind kind) {
        return new MemberList(kind, members.entrySet().stream().map(e ->
            new Listing(e.getKey(), e.getValue().group, 0, 0, Phase.SERVING, 1, false, 0)).toList());
    }

    /** Sends all routers a list in which the member has just started. */
    void announceRestart(String member) {
        for (int rank = 0; rank < routers.size(); rank++) {
            schedule(rank, 0, new MemberList(ListKind.DELTA, List.of(
                new Listing(member, members.get(member).group, 0, 0, Phase.SERVING, 1, false, now))));
        }
    }

    void schedule(int router, long delay, Event event) {
        scheduledEvents.add(new ScheduledEvent(now + delay, nextSequence++, router, event));
    }

    /** Advances the time with {@code rate} requests per second over all routers, a third of each class. */
    void advance(long duration, double rate) {
        long until = now + duration;
        double outstanding = 0;
        while (now < until) {
            now += STEP;
            outstanding += rate * STEP / SECOND;
            for (; outstanding >= 1; outstanding--) {
                int router = random.nextInt(routers.size());
                long group = random.nextInt(members.size() / 3);
                int requestClass = random.nextInt(3);
                requestCount++;
                schedule(router, 0, new Arrival(nextRequest++, requestClass, 0, group, 5,
                    requestClass == PolicyHarness.WRITE ? 5 * SECOND : 700 * MS, RoutingPolicy.NONE, false));
            }
            step();
        }
    }

    private void step() {
        Map<Integer, List<Event>> batches = new LinkedHashMap<>();
        while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at() <= now) {
            ScheduledEvent next = scheduledEvents.poll();
            batches.computeIfAbsent(next.router(), r -> new ArrayList<>()).add(next.event());
        }
        batches.forEach((rank, events) -> routers.get(rank).decide(now, events).forEach(a -> execute(rank, a)));
    }

    private void execute(int rank, Action action) {
        if (action instanceof Probe probe) {
            SimulatedMember member = members.get(probe.member());
            member.probeTimes.add(now);
            probesByRouter.merge(rank, 1, Integer::sum);
            schedule(rank, member.unreachable ? 250 * MS : PROBE_DELAY, member.unreachable
                ? new ProbeResult(probe.member(), Result.NOT_CONNECTED, 250 * MS, null)
                : new ProbeResult(probe.member(), Result.OK, PROBE_DELAY, new Report(now, member.role, Double.NaN, Double.NaN)));
        } else if (action instanceof Send send) {
            SimulatedMember member = members.get(send.member());
            member.sendTimes.add(now);
            Result result = member.unreachable ? Result.NOT_CONNECTED : Result.OK;
            schedule(rank, ANSWER_DELAY, new Outcome(send.request(), 0, send.member(), result, ANSWER_DELAY,
                !member.unreachable, member.unreachable ? Role.UNKNOWN : member.role, RoutingPolicy.NONE, null));
        } else if (action instanceof SetTimer timer) {
            schedule(rank, Math.max(0, timer.at() - now), new TimerFired(timer.handle()));
        } else if (action instanceof SendToPeer message) {
            for (int other = 0; other < routers.size() && !dropsDatagrams; other++) {
                if (other != rank) {
                    receivedDatagrams++;
                    schedule(other, DATAGRAM_DELAY, new PeerMessage(rank, message.content()));
                }
            }
        } else if (action instanceof Refuse || action instanceof Fail) {
            refusedRequests++;
        }
    }

    /** The number of probes by all routers that the member received since that time. */
    int probesSince(String member, long since) {
        return (int) members.get(member).probeTimes.stream().filter(at -> at >= since).count();
    }
}
