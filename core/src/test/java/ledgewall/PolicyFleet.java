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
 * Many instances of the module in one thread and one time: members that answer after a fixed time, datagrams that arrive
 * after 10 ms, and requests that come evenly to routers drawn from one seed.
 */
final class PolicyFleet {
    static final long PROBE_TIME = 2 * MS;
    private static final long ANSWER_TIME = 100 * MS;
    private static final long DATAGRAM_TIME = 10 * MS;
    private static final long TURN = 5 * MS;

    /** What a member does, and what came to it. */
    static final class Host {
        final Role role;
        final long group;
        boolean gone;
        final List<Long> probes = new ArrayList<>();
        final List<Long> sends = new ArrayList<>();

        Host(Role role, long group) {
            this.role = role;
            this.group = group;
        }
    }

    private record Due(long at, long number, int router, Event event) { }

    final Map<String, Host> hosts = new LinkedHashMap<>();
    final List<ReplicaRoutingPolicy> routers = new ArrayList<>();
    final Map<Integer, Integer> probesBy = new HashMap<>();
    boolean cutOff;
    long now = 1_000 * SECOND;
    int refused;
    /** Findings' datagrams that reached a router. */
    int heard;
    private final boolean peers;
    int asked;
    private final PriorityQueue<Due> due = new PriorityQueue<>(
        (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final SplittableRandom random = new SplittableRandom(11);
    private long number;
    private long nextRequest;

    PolicyFleet(int routers, int groups) {
        this(routers, groups, true);
    }

    /** Routers may tell one another what they find, or may not. */
    PolicyFleet(int routers, int groups, boolean peers) {
        this.peers = peers;
        for (int group = 0; group < groups; group++) {
            hosts.put("p" + group, new Host(Role.PRIMARY, group));
            hosts.put("a" + group, new Host(Role.REPLICA, group));
            hosts.put("b" + group, new Host(Role.REPLICA, group));
        }
        for (int rank = 0; rank < routers; rank++) {
            this.routers.add(null);
            start(rank, routers);
        }
    }

    private void start(int rank, int count) {
        Settings alone = PolicyHarness.settings(count, rank);
        Limits limits = alone.limits();
        Settings settings = new Settings(count, rank, 0, alone.tick(), false, alone.classes(), alone.tenants(), 1,
            new Limits(limits.maxAttempts(), true, true, true, peers, false, 0, limits.connectTimeout(), 1000),
            alone.data(), alone.rules());
        routers.set(rank, new ReplicaRoutingPolicy(settings, 100 + rank));
        tell(rank, 0, list(ListKind.REMEMBERED));
    }

    /** The same router again, empty, with another seed of no consequence to others. */
    void restart(int rank) {
        due.removeIf(d -> d.router() == rank);
        start(rank, routers.size());
    }

    MemberList list(ListKind kind) {
        return new MemberList(kind, hosts.entrySet().stream().map(e ->
            new Listing(e.getKey(), e.getValue().group, 0, 0, Phase.SERVING, 1, false, 0)).toList());
    }

    /** All routers hear that the member started just now. */
    void restarted(String member) {
        for (int rank = 0; rank < routers.size(); rank++) {
            tell(rank, 0, new MemberList(ListKind.CHANGES, List.of(
                new Listing(member, hosts.get(member).group, 0, 0, Phase.SERVING, 1, false, now))));
        }
    }

    void tell(int router, long delay, Event event) {
        due.add(new Due(now + delay, number++, router, event));
    }

    /** Lets time pass with so many requests a second over all routers, a third of each class. */
    void pass(long span, double rate) {
        long until = now + span;
        double owed = 0;
        while (now < until) {
            now += TURN;
            owed += rate * TURN / SECOND;
            for (; owed >= 1; owed--) {
                int router = random.nextInt(routers.size());
                long group = random.nextInt(hosts.size() / 3);
                int kind = random.nextInt(3);
                asked++;
                tell(router, 0, new Arrival(nextRequest++, kind, 0, group, 5, kind == PolicyHarness.WRITE ? 5 * SECOND : 700 * MS,
                    RoutingPolicy.NONE, false));
            }
            turn();
        }
    }

    private void turn() {
        Map<Integer, List<Event>> batches = new LinkedHashMap<>();
        while (!due.isEmpty() && due.peek().at() <= now) {
            Due next = due.poll();
            batches.computeIfAbsent(next.router(), r -> new ArrayList<>()).add(next.event());
        }
        batches.forEach((rank, events) -> routers.get(rank).decide(now, events).forEach(a -> carryOut(rank, a)));
    }

    private void carryOut(int rank, Action action) {
        if (action instanceof Probe probe) {
            Host host = hosts.get(probe.member());
            host.probes.add(now);
            probesBy.merge(rank, 1, Integer::sum);
            tell(rank, host.gone ? 250 * MS : PROBE_TIME, host.gone
                ? new ProbeResult(probe.member(), Result.NOT_CONNECTED, 250 * MS, null)
                : new ProbeResult(probe.member(), Result.OK, PROBE_TIME, new Report(now, host.role, Double.NaN, Double.NaN)));
        } else if (action instanceof Send send) {
            Host host = hosts.get(send.member());
            host.sends.add(now);
            Result result = host.gone ? Result.NOT_CONNECTED : Result.OK;
            tell(rank, ANSWER_TIME, new Outcome(send.request(), 0, send.member(), result, ANSWER_TIME,
                !host.gone, host.gone ? Role.UNKNOWN : host.role, RoutingPolicy.NONE, null));
        } else if (action instanceof SetTimer timer) {
            tell(rank, Math.max(0, timer.at() - now), new TimerDue(timer.handle()));
        } else if (action instanceof Tell tell) {
            for (int other = 0; other < routers.size() && !cutOff; other++) {
                if (other != rank) {
                    heard++;
                    tell(other, DATAGRAM_TIME, new PeerMessage(rank, tell.content()));
                }
            }
        } else if (action instanceof Refuse || action instanceof Fail) {
            refused++;
        }
    }

    /** Probes of the member that came to it since then, of all routers. */
    int probes(String member, long since) {
        return (int) hosts.get(member).probes.stream().filter(at -> at >= since).count();
    }
}
