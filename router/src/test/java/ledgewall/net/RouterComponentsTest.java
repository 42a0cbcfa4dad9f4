package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Event;
import ledgewall.RoutingPolicy.Abandoned;
import ledgewall.RoutingPolicy.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Unit tests of the router's clock, counters, descriptor budget, name indexes and event loop. */
class RouterComponentsTest {
    @Test
    void clockIsAnchoredOnceAndAdvancesWithMonotonicClock() {
        AtomicLong monotonic = new AtomicLong(-500);
        Clock clock = Clock.of(monotonic::get, 1_000_000);
        assertEquals(1_000_000, clock.now());
        monotonic.addAndGet(7);
        assertEquals(1_000_007, clock.now());
    }

    /** Guards against a clock that stays behind Unix time by as long as the process paused while it read both clocks. */
    @Test
    void pauseWhileTheClockIsAnchoredDoesNotMakeItLate() {
        AtomicLong time = new AtomicLong(7 * RouterHarness.MS);
        AtomicInteger readings = new AtomicInteger();
        LongSupplier pausing = () -> time.getAndAdd(readings.incrementAndGet() < 10 ? 15 * RouterHarness.MS : 100);
        long unixAtZero = 1_767_225_600_000_000_000L;
        Clock clock = Clock.anchored(pausing, () -> unixAtZero + pausing.getAsLong());
        long unixNow = unixAtZero + time.get();
        long ahead = clock.now() - unixNow;
        assertTrue(ahead >= 0 && ahead < 1_000, "ahead by " + ahead + " ns");
    }

    @Test
    void unixTimesAreConvertedToNanosAndInvalidOnesToZero() {
        assertEquals(1_767_225_600_123_000_000L, Clock.ofUnixMillis(1_767_225_600_123.0));
        assertEquals(1_767_225_600_123_000_000L, Clock.ofUnixSeconds(new BigDecimal("1767225600.123")));
        assertEquals(0, Clock.ofUnixMillis(0));
        assertEquals(0, Clock.ofUnixMillis(Double.NaN));
        assertEquals(0, Clock.ofUnixMillis(1e30));
        assertEquals(0, Clock.ofUnixSeconds(new BigDecimal("-1e30")));
        assertEquals(1_767_225_600_123_000_000L,
            Clock.ofUnixMillis(new BigDecimal("1767225600122.00001"), RoundingMode.CEILING));
        assertEquals(0, Clock.ofUnixMillis(new BigDecimal("1e-999999999"), RoundingMode.CEILING));
        assertEquals(0, Clock.ofUnixMillis(new BigDecimal("1e999999999"), RoundingMode.FLOOR));
        assertEquals(1_767_225_600_124_000_000L, Clock.endOfUnixMilli(1_767_225_600_123L));
        assertEquals(0, Clock.endOfUnixMilli(0));
        assertEquals(0, Clock.endOfUnixMilli(999_999_999_999_999L));
        assertEquals(2, Clock.nanosToMillis(1_000_001));
    }

    @Test
    void outcomesMapToNeverRanResultsExactlyIfRequestCannotHaveRun() {
        List<Result> neverRan = List.of(Result.NOT_CONNECTED, Result.REJECTED, Result.MISDIRECTED, Result.NEVER_SENT,
            Result.WITHDRAWN);
        List<AttemptOutcome> mayHaveRun = List.of(AttemptOutcome.SERVED, AttemptOutcome.BAD_STATEMENT, AttemptOutcome.HOST_ERROR,
            AttemptOutcome.BROKEN_AFTER_WRITTEN, AttemptOutcome.GARBLED, AttemptOutcome.STRAY_ANSWER,
            AttemptOutcome.TIMED_OUT, AttemptOutcome.GIVEN_UP);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            assertEquals(!mayHaveRun.contains(outcome), neverRan.contains(outcome.result()), outcome.name());
        }
    }

    @Test
    void unlistedNamesGetStableIndexesUpToALimit() {
        NameInterner names = new NameInterner(List.of("a", "b"));
        assertEquals(1, names.indexOf("b"));
        assertEquals(2, names.indexOf("x"));
        assertEquals(3, names.indexOf("y"));
        assertEquals(2, names.indexOf("x"));
        for (int i = 0; i < 10_000; i++) {
            names.indexOf("made-up-" + i);
        }
        assertEquals(names.indexOf("made-up-9998"), names.indexOf("made-up-9999"));
        assertEquals(3, names.indexOf("y"));
    }

    @Test
    void someDescriptorsAreReservedForProbesAndDiscovery() {
        DescriptorBudget budget = new DescriptorBudget(32 + 16 + 2);
        budget.acquire();
        assertTrue(budget.hasRoomForTraffic());
        budget.acquire();
        assertFalse(budget.hasRoomForTraffic());
        assertTrue(budget.hasRoom());
        budget.release();
        assertTrue(budget.hasRoomForTraffic());
    }

    @Test
    void countersPrintNonZeroCountsAndAttemptOutcomes() {
        Counters counters = new Counters();
        counters.add(Counters.Count.REQUESTS, 3);
        assertEquals("requests=3", counters.toString());
        counters.addOutcome(AttemptOutcome.TURNED_AWAY);
        assertEquals("requests=3 | attempts ended: turned_away=1", counters.toString());
    }

    /** After a stall of the process, input that arrived in time is handled before overdue timers run. */
    @Test
    @Timeout(60)
    void lateTurnHandlesPendingInputBeforeItsTimers() throws InterruptedException {
        AtomicLong time = new AtomicLong();
        Counters counters = new Counters();
        EventLoop loop = new EventLoop(Clock.of(time::get, 0), counters);
        List<List<Event>> batches = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.setPolicy((now, events) -> {
            batches.add(events);
            done.countDown();
            return List.of();
        }, action -> { });
        loop.setInputReader(() -> loop.post(() -> loop.postEvent(new Abandoned(1))));
        loop.runAfter(RouterHarness.MS, () -> loop.postEvent(new RoutingPolicy.TimerFired(7)));
        time.set(500 * RouterHarness.MS);
        Thread thread = new Thread(loop);
        thread.start();
        assertTrue(done.await(20, TimeUnit.SECONDS));
        loop.stop();
        loop.post(() -> { });
        thread.join();
        assertEquals(List.of(List.of(new Abandoned(1), new RoutingPolicy.TimerFired(7))), batches);
        assertEquals(1, counters.of(Counters.Count.LATE_BATCHES));
    }

    /** Ready tasks and due timers form one batch, tasks first. */
    @Test
    @Timeout(60)
    void turnHandlesReadyTasksThenTimersInOneBatch() throws InterruptedException {
        Counters counters = new Counters();
        EventLoop loop = new EventLoop(Clock.ofSystem(), counters);
        List<List<Event>> batches = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.setPolicy((now, events) -> {
            batches.add(events);
            return List.of();
        }, action -> { });
        EventLoop.Timer cancelled = loop.runAfter(1, () -> loop.postEvent(new Abandoned(99)));
        loop.runAfter(1, () -> loop.postEvent(new RoutingPolicy.TimerFired(7)));
        cancelled.cancel();
        loop.post(() -> loop.postEvent(new Abandoned(1)));
        loop.post(() -> {
            throw new IllegalStateException("this task fails");
        });
        loop.post(() -> loop.postEvent(new Abandoned(2)));
        loop.post(() -> loop.runAfter(RouterHarness.MS, done::countDown));
        Thread thread = new Thread(loop);
        thread.start();
        assertTrue(done.await(20, TimeUnit.SECONDS));
        loop.stop();
        loop.post(() -> { });
        thread.join();
        assertEquals(List.of(List.of(new Abandoned(1), new Abandoned(2), new RoutingPolicy.TimerFired(7))), batches);
        assertEquals(1, counters.of(Counters.Count.BATCHES));
    }

    @Test
    void cancelledTimersAreRemovedBeforeTheyAreDue() {
        EventLoop loop = new EventLoop(Clock.ofSystem(), new Counters());
        EventLoop.Timer kept = loop.runAfter(RouterHarness.MS, () -> { });
        for (int i = 0; i < 10_000; i++) {
            loop.runAfter(24 * 3_600_000L * RouterHarness.MS, () -> { }).cancel();
        }
        assertTrue(loop.queuedTimers() < 1_000, "timers " + loop.queuedTimers());
        kept.cancel();
        kept.cancel();
        assertTrue(loop.queuedTimers() >= 1);
    }

    /** Guards against a turn that never ends because a timer schedules its successor for a time that has come already. */
    @Test
    @Timeout(60)
    void timerThatIsAlwaysDueDoesNotKeepOtherTasksFromRunning() throws InterruptedException {
        EventLoop loop = new EventLoop(Clock.ofSystem(), new Counters());
        loop.setPolicy((now, events) -> List.of(), action -> { });
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.runAfter(0, new Runnable() {
            @Override
            public void run() {
                started.countDown();
                loop.runAfter(0, this);
            }
        });
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
        assertTrue(started.await(20, TimeUnit.SECONDS));
        loop.post(done::countDown);
        assertTrue(done.await(20, TimeUnit.SECONDS));
        loop.stop();
        loop.post(() -> { });
        thread.join();
    }

    @Test
    void timerCancelledByAnotherOfTheSameTurnDoesNotRun() throws InterruptedException {
        EventLoop loop = new EventLoop(Clock.ofSystem(), new Counters());
        loop.setPolicy((now, events) -> List.of(), action -> { });
        List<String> ran = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        List<EventLoop.Timer> second = new ArrayList<>();
        loop.runAfter(0, () -> {
            ran.add("first");
            second.get(0).cancel();
        });
        second.add(loop.runAfter(0, () -> ran.add("second")));
        loop.runAfter(0, done::countDown);
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
        assertTrue(done.await(20, TimeUnit.SECONDS));
        loop.stop();
        loop.post(() -> { });
        thread.join();
        assertEquals(List.of("first"), ran);
        assertEquals(0, loop.queuedTimers());
    }
}
