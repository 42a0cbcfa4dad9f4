package ledgewall.net;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Action;
import ledgewall.RoutingPolicy.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that owns all of the router's state. Each turn takes all that is ready, then the timers that are
 * due, hands the policy the events of both in one call, and carries out its actions in order.
 */
final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** A turn that begins this long after its first timer was due is counted as late. */
    private static final long LATE = Clock.millis(20);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int LEAST_DROPPED = 256;

    private final Clock clock;
    private final Counters counters;
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Runnable> ready = new ArrayList<>();
    private List<Event> events = new ArrayList<>();
    private RoutingPolicy policy;
    private Consumer<Action> carryOut;
    private Runnable catchUp = () -> { };
    private long now;
    private long timerNumber;
    /** Timers called off that are still in the queue. */
    private int cancelled;
    private long busy;
    private long longestTurn;
    private volatile boolean stopped;

    /** Something that is to be done at a time, unless it is called off before. */
    final class Timer implements Comparable<Timer> {
        private final long at;
        private final long number;
        private Runnable task;

        private Timer(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        void cancel() {
            if (task != null) {
                task = null;
                cancelled++;
                dropManyCancelled();
            }
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    EventLoop(Clock clock, Counters counters) {
        this.clock = clock;
        this.counters = counters;
        this.now = clock.now();
    }

    /** Says who decides and who carries out; before the loop runs. */
    void decideBy(RoutingPolicy decider, Consumer<Action> executor) {
        policy = decider;
        carryOut = executor;
    }

    /** Says how all that has come is brought into the queue; before the loop runs. */
    void catchUpBy(Runnable reader) {
        catchUp = reader;
    }

    /** Hands the loop something to do; from any thread. */
    void post(Runnable task) {
        inbox.add(task);
    }

    /** The longest turn so far, in nanoseconds; of the loop's thread alone. */
    long longestTurn() {
        return longestTurn;
    }

    /** The time of the turn in hand. */
    long now() {
        return now;
    }

    /** Tells the policy something, in this turn or, while actions are carried out, in the next. */
    void tell(Event event) {
        events.add(event);
    }

    Timer at(long time, Runnable task) {
        Timer timer = new Timer(time, timerNumber++, task);
        timers.add(timer);
        return timer;
    }

    Timer in(long span, Runnable task) {
        return at(now + span, task);
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                turn();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void turn() throws InterruptedException {
        gather();
        if (isLate()) {
            // The process stood still: answers may have come in time and not been read. They go before time-outs.
            counters.add(Counters.Count.LATE_BATCHES);
            catchUp.run();
            inbox.drainTo(ready);
        }
        now = clock.now();
        ready.forEach(this::guarded);
        ready.clear();
        runTimers();
        if (!events.isEmpty()) {
            decide();
        }
        tellLongTurn(clock.now() - now);
    }

    private void tellLongTurn(long took) {
        busy += took;
        counters.add(Counters.Count.BUSY_MILLIS, busy / NANOS_PER_MILLI);
        busy %= NANOS_PER_MILLI;
        if (took > longestTurn) {
            longestTurn = took;
            if (took >= LATE) {
                LOG.debug("event=longest_turn ms={}", Clock.toMillis(took));
            }
        }
    }

    private void gather() throws InterruptedException {
        dropCancelled();
        long wait = !events.isEmpty() ? 0 : timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at - clock.now();
        Runnable first = wait > 0 ? inbox.poll(wait, TimeUnit.NANOSECONDS) : inbox.poll();
        if (first != null) {
            ready.add(first);
            inbox.drainTo(ready);
        }
    }

    private void dropCancelled() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
            cancelled--;
        }
    }

    /** Timers far ahead that were called off take no memory until then. */
    private void dropManyCancelled() {
        if (cancelled > LEAST_DROPPED && cancelled > timers.size() / 2) {
            timers.removeIf(timer -> timer.task == null);
            cancelled = 0;
        }
    }

    /** Timers in the queue, those called off included. */
    int timers() {
        return timers.size();
    }

    private boolean isLate() {
        dropCancelled();
        return !timers.isEmpty() && timers.peek().at < clock.now() - LATE;
    }

    private void runTimers() {
        while (!timers.isEmpty() && timers.peek().at <= now) {
            Timer timer = timers.poll();
            Runnable task = timer.task;
            if (task == null) {
                cancelled--;
            } else {
                timer.task = null;
                guarded(task);
            }
        }
    }

    private void decide() {
        List<Event> batch = events;
        events = new ArrayList<>();
        counters.add(Counters.Count.BATCHES);
        counters.add(Counters.Count.EVENTS, batch.size());
        guarded(() -> {
            for (Action action : policy.decide(now, batch)) {
                guarded(() -> carryOut.accept(action));
            }
        });
    }

    /** A fault in one task ends that task alone. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a task of the loop failed", e);
        }
    }
}
