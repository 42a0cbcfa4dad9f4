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
 * The event loop: the one thread that may access the router's state. Each turn runs all queued tasks, then a bounded part of
 * the clients' commands that earlier turns have put off, then the timers that are due; it passes the events of all of them to
 * the policy in one call, and carries out the policy's actions in order.
 */
final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** A turn counts as late if it starts more than this after its first timer was due; a turn that takes this long is logged. */
    private static final long LATE_TURN_NANOS = Clock.millisToNanos(20);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Cancelled timers stay in the queue up to this number. */
    private static final int MIN_CANCELLED_TO_PURGE = 256;

    private final Clock clock;
    private final Counters counters;
    private final StallDetector stallDetector;
    private final InputScheduler inputScheduler;
    private final BlockingQueue<Runnable> taskQueue = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final List<Runnable> readyTasks = new ArrayList<>();
    /** The timers of the current turn. */
    private final List<Timer> dueTimers = new ArrayList<>();
    private List<Event> pendingEvents = new ArrayList<>();
    private RoutingPolicy policy;
    private Consumer<Action> actionHandler;
    private Runnable inputReader = () -> { };
    private long now;
    private long nextTimerNumber;
    /** Cancelled timers that are still in the queue. */
    private int cancelledInQueue;
    private long busyNanos;
    private long longestTurnNanos;
    private volatile boolean stopped;

    /** A task that runs at a given time unless it is cancelled before. */
    final class Timer implements Comparable<Timer> {
        private final long dueAt;
        private final long number;
        private Runnable task;
        private boolean queued = true;

        private Timer(long dueAt, long number, Runnable task) {
            this.dueAt = dueAt;
            this.number = number;
            this.task = task;
        }

        void cancel() {
            if (task != null) {
                task = null;
                if (queued) {
                    cancelledInQueue++;
                    purgeCancelled();
                }
            }
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(number, other.number);
        }
    }

    EventLoop(Clock clock, Counters counters) {
        this.clock = clock;
        this.counters = counters;
        this.stallDetector = new StallDetector(clock, counters);
        this.inputScheduler = new InputScheduler(counters);
        this.now = clock.now();
    }

    /** Decides how many of the clients' queued commands a turn processes. */
    InputScheduler inputScheduler() {
        return inputScheduler;
    }

    /** Sets the policy and what carries out its actions; to be called before the loop runs. */
    void setPolicy(RoutingPolicy routingPolicy, Consumer<Action> handler) {
        policy = routingPolicy;
        actionHandler = handler;
    }

    /** Asks the policy until when a request may be written, on the loop's thread: see {@link RoutingPolicy#confirmSend}. */
    long confirmSend(long at, long request, int attempt) {
        return policy.confirmSend(at, request, attempt);
    }

    /** Sets the task that queues all input received so far; to be called before the loop runs. */
    void setInputReader(Runnable reader) {
        inputReader = reader;
    }

    /** Queues a task for the loop; may be called from any thread. */
    void post(Runnable task) {
        taskQueue.add(task);
    }

    /** Reports the current turn if it does not end; to be called regularly by one other thread. */
    void checkForStall() {
        stallDetector.check();
    }

    /** The longest turn so far; to be called on the loop's thread only. */
    long longestTurnNanos() {
        return longestTurnNanos;
    }

    /** The time at which the current turn began, by the router's clock in nanoseconds. */
    long now() {
        return now;
    }

    /** Queues an event for the policy, on the loop's thread: for this turn or, while actions are carried out, for the next. */
    void postEvent(Event event) {
        pendingEvents.add(event);
    }

    /** Schedules a task for a time of the router's clock, in nanoseconds. */
    Timer runAt(long dueAt, Runnable task) {
        Timer timer = new Timer(dueAt, nextTimerNumber++, task);
        timers.add(timer);
        return timer;
    }

    /** Schedules a task for the given number of nanoseconds after the start of the current turn. */
    Timer runAfter(long delayNanos, Runnable task) {
        return runAt(now + delayNanos, task);
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
            } catch (VirtualMachineError e) {
                counters.add(Counters.Count.FAILED_TASKS);
                logFailure(e);
            }
        }
    }

    private void turn() throws InterruptedException {
        poll();
        if (isLate()) {
            // The process was stalled: answers may have arrived in time without being read. They are processed before timeouts.
            counters.add(Counters.Count.LATE_BATCHES);
            inputReader.run();
            taskQueue.drainTo(readyTasks);
        }
        now = clock.now();
        stallDetector.turnStarted(now);
        inputScheduler.startTurn();
        readyTasks.forEach(this::runGuarded);
        readyTasks.clear();
        runGuarded(() -> inputScheduler.runDeferred(now));
        runDueTimers();
        if (!pendingEvents.isEmpty()) {
            runPolicy();
        }
        stallDetector.turnEnded();
        recordTurn(clock.now() - now);
    }

    private void recordTurn(long turnNanos) {
        busyNanos += turnNanos;
        counters.add(Counters.Count.BUSY_MILLIS, busyNanos / NANOS_PER_MILLI);
        busyNanos %= NANOS_PER_MILLI;
        if (turnNanos > longestTurnNanos) {
            longestTurnNanos = turnNanos;
            if (turnNanos >= LATE_TURN_NANOS) {
                LOG.debug("event=longest_turn ms={}", Clock.nanosToMillis(turnNanos));
            }
        }
    }

    /** Waits for a task, or until a timer is due, and takes all queued tasks. */
    private void poll() throws InterruptedException {
        removeCancelledHead();
        long dueAt = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
        if (inputScheduler.hasDeferred()) {
            dueAt = Math.min(dueAt, inputScheduler.nextDeferredAt());
        }
        long waitNanos = !pendingEvents.isEmpty() ? 0 : dueAt == Long.MAX_VALUE ? Long.MAX_VALUE : dueAt - clock.now();
        Runnable first = waitNanos > 0 ? taskQueue.poll(waitNanos, TimeUnit.NANOSECONDS) : taskQueue.poll();
        if (first != null) {
            readyTasks.add(first);
            taskQueue.drainTo(readyTasks);
        }
    }

    private void removeCancelledHead() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
            cancelledInQueue--;
        }
    }

    /** Removes cancelled timers once they are the majority, so that those due far ahead don't hold memory until then. */
    private void purgeCancelled() {
        if (cancelledInQueue > MIN_CANCELLED_TO_PURGE && cancelledInQueue > timers.size() / 2) {
            timers.removeIf(timer -> timer.task == null);
            cancelledInQueue = 0;
        }
    }

    /** The number of timers in the queue, including cancelled ones. */
    int queuedTimers() {
        return timers.size();
    }

    private boolean isLate() {
        removeCancelledHead();
        return !timers.isEmpty() && timers.peek().dueAt < clock.now() - LATE_TURN_NANOS;
    }

    /** Runs the timers that are due now. Those that they schedule run in a later turn, even if due at once. */
    private void runDueTimers() {
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            Timer timer = timers.poll();
            timer.queued = false;
            if (timer.task == null) {
                cancelledInQueue--;
            } else {
                dueTimers.add(timer);
            }
        }
        for (Timer timer : dueTimers) {
            Runnable task = timer.task;
            if (task != null) { // not cancelled by a timer before it
                timer.task = null;
                runGuarded(task);
            }
        }
        dueTimers.clear();
    }

    private void runPolicy() {
        List<Event> batch = pendingEvents;
        pendingEvents = new ArrayList<>();
        counters.add(Counters.Count.BATCHES);
        counters.add(Counters.Count.EVENTS, batch.size());
        runGuarded(() -> {
            for (Action action : policy.decide(now, batch)) {
                runGuarded(() -> actionHandler.accept(action));
            }
        });
    }

    /**
     * Runs a task; an exception ends that task only. So does an error such as running out of memory: the task's objects are
     * garbage then, and a router without its event loop would answer nobody.
     */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | VirtualMachineError e) {
            counters.add(Counters.Count.FAILED_TASKS);
            logFailure(e);
        }
    }

    private static void logFailure(Throwable failure) {
        try {
            LOG.error("a task of the loop failed", failure);
        } catch (VirtualMachineError e) {
            // there is no memory for the log line either; the counter tells
        }
    }
}
