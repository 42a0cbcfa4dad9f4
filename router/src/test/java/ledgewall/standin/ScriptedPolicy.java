package ledgewall.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import ledgewall.RoutingPolicy;

/** A policy for tests: it answers events by a script, returns actions that the test submits, and records all events. */
public final class ScriptedPolicy implements RoutingPolicy {
    /** How often the router is to ask for submitted actions. */
    private static final long POLL_INTERVAL_NS = 2_000_000L;
    private static final long EVENT_TIMEOUT_S = 20;

    private final BlockingQueue<Event> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<Action> submitted = new LinkedBlockingQueue<>();
    private final Function<Event, List<Action>> script;

    public ScriptedPolicy(Function<Event, List<Action>> script) {
        this.script = script;
    }

    /** Sends every request to one member. */
    public static ScriptedPolicy sendTo(String member, long timeoutNs) {
        return new ScriptedPolicy(event -> event instanceof Arrival arrival
            ? List.of(new Send(arrival.request(), member, timeoutNs)) : List.of());
    }

    /** Returns no actions but submitted ones. */
    public static ScriptedPolicy idle() {
        return new ScriptedPolicy(event -> List.of());
    }

    @Override
    public List<Action> decide(long now, List<Event> events) {
        List<Action> actions = new ArrayList<>();
        boolean setTimer = false;
        for (Event event : events) {
            setTimer |= event instanceof TimerFired || event instanceof MemberList list && list.kind() == ListKind.CACHED;
            if (!(event instanceof TimerFired)) {
                received.add(event);
                actions.addAll(script.apply(event));
            }
        }
        submitted.drainTo(actions);
        if (setTimer) {
            actions.add(new SetTimer(now + POLL_INTERVAL_NS, 1));
        }
        return actions;
    }

    /** Returns these actions from the next call of {@link #decide}. */
    public void submit(Action... actions) {
        submitted.addAll(List.of(actions));
    }

    /** Waits for the next event of a type and discards those before it. */
    public <T extends Event> T next(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = received.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no " + type.getSimpleName() + " event arrived");
            }
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Whether an event of a type has arrived that {@link #next} has not returned or discarded. */
    public boolean hasReceived(Class<? extends Event> type) {
        return received.stream().anyMatch(type::isInstance);
    }
}
