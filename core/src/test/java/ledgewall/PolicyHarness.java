package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** Drives a policy with events at increasing times and records its actions. */
final class PolicyHarness {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    // Request classes by index
    static final int BOUNDED = 0;
    static final int ANY = 1;
    static final int WRITE = 2;

    final List<Action> allActions = new ArrayList<>();
    final ReplicaRoutingPolicy policy;
    long now;
    private long nextRequest = 1;

    PolicyHarness(Settings settings, long start) {
        policy = new ReplicaRoutingPolicy(settings, 7);
        now = start;
    }

    PolicyHarness(Settings settings) {
        this(settings, 1_000 * SECOND);
    }

    static Constraints constraints() {
        return new Constraints(20 * MS, 10 * SECOND, 500 * MS, false, 0.2, 10 * SECOND, 3, 2 * SECOND);
    }

    static Settings settings(RetrySafety writeSafety, StaleReadHandling staleReads, boolean subscribes) {
        return settings(writeSafety, staleReads, subscribes, 2, 0);
    }

    static Settings settings(int routers, int rank) {
        return settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES, false, routers, rank);
    }

    private static Settings settings(RetrySafety writeSafety, StaleReadHandling staleReads, boolean subscribes, int routers,
                                     int rank) {
        return new Settings(routers, rank, 0, 5 * MS, subscribes,
            List.of(
                new RequestClass(Consistency.BOUNDED, SECOND, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 300 * MS,
                    750 * MS, 2, 0, false),
                new RequestClass(Consistency.ANY, 0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 500 * MS,
                    1500 * MS, 3, 0.2, false),
                new RequestClass(Consistency.WRITE, 0, writeSafety, DeduplicationScope.GROUP, SECOND, 300 * MS,
                    5 * SECOND, 6, 0.5, false)),
            List.of(), 1, new Limits(4, true, true, true, false, true, 500 * MS, 250 * MS, 1000),
            new ReplicationSettings(staleReads, 0, false, false, ListedRoleTiming.NEVER, true, true), constraints());
    }

    static Settings settings() {
        return settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES, false);
    }

    /** A harness whose classes 0 and 1 are reads of this consistency, beside the class {@link #WRITE}; its group is probed. */
    static PolicyHarness withReadClasses(Consistency consistency, boolean requestsCarryTokens) {
        return withReadClasses(consistency, requestsCarryTokens, RetrySafety.AT_MOST_ONCE);
    }

    static PolicyHarness withReadClasses(Consistency consistency, boolean requestsCarryTokens, RetrySafety writeSafety) {
        Settings base = settings(writeSafety, StaleReadHandling.SERVES, false);
        RequestClass read = new RequestClass(consistency, 0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 300 * MS,
            750 * MS, 2, 0, false);
        ReplicationSettings replication = new ReplicationSettings(StaleReadHandling.SERVES, 0, false, requestsCarryTokens,
            ListedRoleTiming.NEVER, true, true);
        return new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, List.of(read, read, base.classes().get(WRITE)),
            List.of(), 1, base.limits(), replication, base.constraints())).withProbedGroup();
    }

    static Listing listing(String member, Phase phase, long startedAt) {
        return new Listing(member, 1, 0, 0, phase, 1, false, startedAt);
    }

    static Listing listing(String member) {
        return listing(member, Phase.SERVING, 0);
    }

    List<Action> process(Event... events) {
        List<Action> actions = policy.decide(now, List.of(events));
        allActions.addAll(actions);
        return actions;
    }

    /** Advances the time and fires the policy's timers, without answers to probes or requests. */
    List<Action> advance(long duration) {
        List<Action> actions = new ArrayList<>();
        long until = now + duration;
        while (now < until) {
            now = Math.min(until, now + 5 * MS);
            actions.addAll(process(new TimerFired(1)));
        }
        return actions;
    }

    /** Lists a group of a primary "p" and two replicas "a" and "b", and answers a probe of each with the present position. */
    PolicyHarness withProbedGroup() {
        process(new MemberList(ListKind.CACHED, List.of(listing("p"), listing("a"), listing("b"))));
        answerProbes();
        return this;
    }

    void answerProbes() {
        answerProbe("p", Role.PRIMARY, now);
        answerProbe("a", Role.REPLICA, now);
        answerProbe("b", Role.REPLICA, now);
    }

    List<Action> answerProbe(String member, Role role, long position) {
        return process(new ProbeResult(member, Result.OK, MS, new Report(position, role, Double.NaN, Double.NaN)));
    }

    Arrival arrival(int requestClass, long timeLeft) {
        return new Arrival(nextRequest++, requestClass, 0, 1, 5, timeLeft, RoutingPolicy.NONE, false);
    }

    List<Action> sendRequest(int requestClass) {
        return process(arrival(requestClass, requestClass == WRITE ? 5 * SECOND : 700 * MS));
    }

    long lastRequest() {
        return nextRequest - 1;
    }

    List<Action> endAttempt(long request, int attempt, String member, Result result, Role role) {
        boolean complete = result == Result.OK;
        return process(new Outcome(request, attempt, member, result, 10 * MS, complete, role, RoutingPolicy.NONE, null));
    }

    /** The members of the sends among these actions. */
    static List<String> sendTargets(List<Action> actions) {
        return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).member()).toList();
    }

    static long count(List<Action> actions, Class<? extends Action> type) {
        return actions.stream().filter(type::isInstance).count();
    }
}
