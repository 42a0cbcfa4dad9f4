package ledgewall.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import ledgewall.RoutingPolicy;

/** A policy that a test writes: it answers events as told, takes commands, and keeps all that it heard. */
public final class ScriptedPolicy implements RoutingPolicy {
    private static final long LOOKS_EVERY = 2_000_000L;
    private static final long PATIENCE_S = 20;

    private final BlockingQueue<Event> heard = new LinkedBlockingQueue<>();
    private final BlockingQueue<Action> commands = new LinkedBlockingQueue<>();
    private final Function<Event, List<Action>> script;

    public ScriptedPolicy(Function<Event, List<Action>> script) {
        this.script = script;
    }

    /** Sends every request to one member. */
    public static ScriptedPolicy sendTo(String member, long timeout) {
        return new ScriptedPolicy(event -> event instanceof Arrival arrival
            ? List.of(new Send(arrival.request(), member, timeout)) : List.of());
    }

    /** Does nothing unless commanded. */
    public static ScriptedPolicy idle() {
        return new ScriptedPolicy(event -> List.of());
    }

    @Override
    public List<Action> decide(long now, List<Event> events) {
        List<Action> actions = new ArrayList<>();
        boolean look = false;
        for (Event event : events) {
            look |= event instanceof TimerFired || event instanceof MemberList list && list.kind() == ListKind.CACHED;
            if (!(event instanceof TimerFired)) {
                heard.add(event);
                actions.addAll(script.apply(event));
            }
        }
        commands.drainTo(actions);
        if (look) {
            actions.add(new SetTimer(now + LOOKS_EVERY, 1));
        }
        return actions;
    }

    /** Has an action carried out soon. */
    public void command(Action... actions) {
        commands.addAll(List.of(actions));
    }

    /** The next event of a kind; others before it are passed over. */
    public <T extends Event> T next(Class<T> kind) throws InterruptedException {
        while (true) {
            Event event = heard.poll(PATIENCE_S, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no " + kind.getSimpleName() + " came");
            }
            if (kind.isInstance(event)) {
                return kind.cast(event);
            }
        }
    }

    /** Whether any event of a kind has come that was not taken. */
    public boolean hasHeard(Class<? extends Event> kind) {
        return heard.stream().anyMatch(kind::isInstance);
    }
}
