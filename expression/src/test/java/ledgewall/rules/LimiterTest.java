package ledgewall.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import ledgewall.rules.Limiter.Admission;
import ledgewall.rules.Limiter.Config;
import org.junit.jupiter.api.Test;

class LimiterTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void rateLimitAdmitsBurstThenRefillsAtTheRate() {
        Limiter limiter = new Limiter(new Config(10, 5, 0, 100));
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            admitted += limiter.admit("a", 0) == Admission.ADMITTED ? 1 : 0;
        }
        assertEquals(5, admitted);
        assertEquals(NANOS_PER_SECOND / 10, limiter.retryAfterNs("a", 0));
        assertEquals(Admission.RATE, limiter.admit("a", NANOS_PER_SECOND / 10 - 1));
        assertEquals(Admission.ADMITTED, limiter.admit("a", NANOS_PER_SECOND / 10 + 1));
        assertEquals(Admission.ADMITTED, limiter.admit("b", NANOS_PER_SECOND / 10 + 1));
        assertEquals(0, limiter.retryAfterNs("c", 0));
    }

    @Test
    void timeGoingBackwardsRefillsNothing() {
        Limiter limiter = new Limiter(new Config(1, 1, 0, 10));
        assertEquals(Admission.ADMITTED, limiter.admit("a", 100 * NANOS_PER_SECOND));
        assertEquals(Admission.RATE, limiter.admit("a", 0));
        assertEquals(Admission.RATE, limiter.admit("a", 100 * NANOS_PER_SECOND + NANOS_PER_SECOND / 2));
        assertEquals(Admission.ADMITTED, limiter.admit("a", 101 * NANOS_PER_SECOND));
    }

    @Test
    void releaseFreesOneConcurrencySlot() {
        Limiter limiter = new Limiter(new Config(0, 0, 2, 10));
        assertEquals(Admission.ADMITTED, limiter.admit("a", 0));
        assertEquals(Admission.ADMITTED, limiter.admit("a", 0));
        assertEquals(Admission.CONCURRENCY, limiter.admit("a", 0));
        limiter.release("a");
        assertEquals(Admission.ADMITTED, limiter.admit("a", 0));
        limiter.release("nobody");
        assertEquals(Admission.CONCURRENCY, limiter.admit("a", 0));
    }

    @Test
    void inventedKeysAreBoundedAndDoNotEvictKeysInFlight() {
        Limiter limiter = new Limiter(new Config(1, 1, 1, 50));
        assertEquals(Admission.ADMITTED, limiter.admit("served", 0));
        for (int i = 0; i < 100_000; i++) {
            if (limiter.admit("made-up-" + i, i) == Admission.ADMITTED) {
                limiter.release("made-up-" + i);
            }
            assertTrue(limiter.keyCount() <= 50);
        }
        assertEquals(Admission.CONCURRENCY, limiter.admit("served", NANOS_PER_SECOND * 10));
        limiter.release("served");
    }

    @Test
    void newKeyIsRefusedWhileAllKeysAreInFlight() {
        Limiter limiter = new Limiter(new Config(0, 0, 1, 3));
        for (String key : new String[] {"a", "b", "c"}) {
            assertEquals(Admission.ADMITTED, limiter.admit(key, 0));
        }
        assertEquals(Admission.KEYS, limiter.admit("d", 0));
        limiter.release("b");
        assertEquals(Admission.ADMITTED, limiter.admit("d", 0));
    }

    /** Admits at most burst plus rate requests in any second, and never exceeds the concurrency limit. */
    @Test
    void noWindowExceedsRateBurstAndConcurrency() {
        SplittableRandom random = new SplittableRandom(3);
        Limiter limiter = new Limiter(new Config(100, 20, 7, 10));
        Deque<Long> admittedAtNs = new ArrayDeque<>();
        int inFlight = 0;
        long nowNs = 0;
        for (int i = 0; i < 200_000; i++) {
            nowNs += random.nextInt(4_000_000);
            if (inFlight > 0 && random.nextInt(2) == 0) {
                limiter.release("a");
                inFlight--;
            } else if (limiter.admit("a", nowNs) == Admission.ADMITTED) {
                inFlight++;
                admittedAtNs.add(nowNs);
            }
            assertTrue(inFlight <= 7);
            while (!admittedAtNs.isEmpty() && admittedAtNs.peek() <= nowNs - NANOS_PER_SECOND) {
                admittedAtNs.poll();
            }
            assertTrue(admittedAtNs.size() <= 121, admittedAtNs.size() + " admitted in a second");
        }
    }
}
