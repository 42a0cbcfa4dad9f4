package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** Feeds a module one moment after another and keeps what it asked for. */
final class PolicyHarness {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final int BOUNDED = 0;
    static final int ANY = 1;
    static final int WRITE = 2;

    final List<Action> log = new ArrayList<>();
    final ReplicaRoutingPolicy brain;
    long now;
    private long nextRequest = 1;

    PolicyHarness(Settings settings, long start) {
        brain = new ReplicaRoutingPolicy(settings, 7);
        now = start;
    }

    PolicyHarness(Settings settings) {
        this(settings, 1_000 * SECOND);
    }

    static Rules rules() {
        return new Rules(20 * MS, 10 * SECOND, 500 * MS, false, 0.2, 10 * SECOND, 3, 2 * SECOND);
    }

    static Settings settings(Effect writes, Behind behind, boolean ask) {
        return settings(writes, behind, ask, 2, 0);
    }

    static Settings settings(int routers, int rank) {
        return settings(Effect.AT_MOST_ONCE, Behind.REFUSES, false, routers, rank);
    }

    private static Settings settings(Effect writes, Behind behind, boolean ask, int routers, int rank) {
        return new Settings(routers, rank, 0, 5 * MS, ask,
            List.of(
                new RequestClass(Need.BOUNDED, SECOND, Effect.IDEMPOTENT, RepeatScope.ALL, 0, 300 * MS, 750 * MS,
                    2, 0, false),
                new RequestClass(Need.ANY, 0, Effect.IDEMPOTENT, RepeatScope.ALL, 0, 500 * MS, 1500 * MS, 3, 0.2,
                    false),
                new RequestClass(Need.WRITE, 0, writes, RepeatScope.GROUP, SECOND, 300 * MS, 5 * SECOND, 6, 0.5,
                    false)),
            List.of(), 1, new Limits(4, true, true, true, false, true, 500 * MS, 250 * MS, 1000),
            new Data(behind, 0, false, false, ListedRole.NEVER, true, true), rules());
    }

    static Settings settings() {
        return settings(Effect.AT_MOST_ONCE, Behind.REFUSES, false);
    }

    static Listing line(String member, Phase phase, long born) {
        return new Listing(member, 1, 0, 0, phase, 1, false, born);
    }

    static Listing line(String member) {
        return line(member, Phase.SERVING, 0);
    }

    List<Action> feed(Event... events) {
        List<Action> actions = brain.decide(now, List.of(events));
        log.addAll(actions);
        return actions;
    }

    /** Lets time pass, with the module's timers; echoes nothing. */
    List<Action> pass(long time) {
        List<Action> actions = new ArrayList<>();
        long until = now + time;
        while (now < until) {
            now = Math.min(until, now + 5 * MS);
            actions.addAll(feed(new TimerDue(1)));
        }
        return actions;
    }

    /** A group of a primary "p" and two replicas "a" and "b", all probed and fresh. */
    PolicyHarness ready() {
        feed(new MemberList(ListKind.REMEMBERED, List.of(line("p"), line("a"), line("b"))));
        echoAll();
        return this;
    }

    void echoAll() {
        echo("p", Role.PRIMARY, now);
        echo("a", Role.REPLICA, now);
        echo("b", Role.REPLICA, now);
    }

    List<Action> echo(String member, Role role, long position) {
        return feed(new ProbeResult(member, Result.OK, MS, new Report(position, role, Double.NaN, Double.NaN)));
    }

    Arrival arrival(int requestClass, long timeLeft) {
        return new Arrival(nextRequest++, requestClass, 0, 1, 5, timeLeft, RoutingPolicy.NONE, false);
    }

    List<Action> ask(int requestClass) {
        return feed(arrival(requestClass, requestClass == WRITE ? 5 * SECOND : 700 * MS));
    }

    long lastRequest() {
        return nextRequest - 1;
    }

    List<Action> outcome(long request, int attempt, String member, Result result, Role role) {
        boolean complete = result == Result.OK;
        return feed(new Outcome(request, attempt, member, result, 10 * MS, complete, role, RoutingPolicy.NONE, null));
    }

    static List<String> sends(List<Action> actions) {
        return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).member()).toList();
    }

    static long count(List<Action> actions, Class<? extends Action> type) {
        return actions.stream().filter(type::isInstance).count();
    }
}
