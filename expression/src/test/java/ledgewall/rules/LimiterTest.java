package ledgewall.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import ledgewall.rules.Limiter.Allowance;
import ledgewall.rules.Limiter.Verdict;
import org.junit.jupiter.api.Test;

class LimiterTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void aRateAllowsItsBurstAndThenItself() {
        Limiter limiter = new Limiter(new Allowance(10, 5, 0, 100));
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            admitted += limiter.admit("a", 0) == Verdict.ADMITTED ? 1 : 0;
        }
        assertEquals(5, admitted);
        assertEquals(SECOND / 10, limiter.retryAfter("a", 0));
        assertEquals(Verdict.RATE, limiter.admit("a", SECOND / 10 - 1));
        assertEquals(Verdict.ADMITTED, limiter.admit("a", SECOND / 10 + 1));
        assertEquals(Verdict.ADMITTED, limiter.admit("b", SECOND / 10 + 1));
        assertEquals(0, limiter.retryAfter("c", 0));
    }

    @Test
    void timeThatGoesBackFillsNothing() {
        Limiter limiter = new Limiter(new Allowance(1, 1, 0, 10));
        assertEquals(Verdict.ADMITTED, limiter.admit("a", 100 * SECOND));
        assertEquals(Verdict.RATE, limiter.admit("a", 0));
        assertEquals(Verdict.RATE, limiter.admit("a", 100 * SECOND + SECOND / 2));
        assertEquals(Verdict.ADMITTED, limiter.admit("a", 101 * SECOND));
    }

    @Test
    void soManyAtOnceAndEachReleaseMakesRoomForOne() {
        Limiter limiter = new Limiter(new Allowance(0, 0, 2, 10));
        assertEquals(Verdict.ADMITTED, limiter.admit("a", 0));
        assertEquals(Verdict.ADMITTED, limiter.admit("a", 0));
        assertEquals(Verdict.CONCURRENCY, limiter.admit("a", 0));
        limiter.release("a");
        assertEquals(Verdict.ADMITTED, limiter.admit("a", 0));
        limiter.release("nobody");
        assertEquals(Verdict.CONCURRENCY, limiter.admit("a", 0));
    }

    @Test
    void keysMadeUpByClientsHaveABoundAndTakeNobodysPlaceWhoIsServed() {
        Limiter limiter = new Limiter(new Allowance(1, 1, 1, 50));
        assertEquals(Verdict.ADMITTED, limiter.admit("served", 0));
        for (int i = 0; i < 100_000; i++) {
            if (limiter.admit("made-up-" + i, i) == Verdict.ADMITTED) {
                limiter.release("made-up-" + i);
            }
            assertTrue(limiter.keys() <= 50);
        }
        assertEquals(Verdict.CONCURRENCY, limiter.admit("served", SECOND * 10));
        limiter.release("served");
    }

    @Test
    void whereEachKeyHasSomethingInHandANewOneIsRefused() {
        Limiter limiter = new Limiter(new Allowance(0, 0, 1, 3));
        for (String key : new String[] {"a", "b", "c"}) {
            assertEquals(Verdict.ADMITTED, limiter.admit(key, 0));
        }
        assertEquals(Verdict.KEYS, limiter.admit("d", 0));
        limiter.release("b");
        assertEquals(Verdict.ADMITTED, limiter.admit("d", 0));
    }

    /** Over any time no more than burst and rate together, and never more at once than allowed. */
    @Test
    void noWindowHoldsMoreThanIsAllowed() {
        SplittableRandom random = new SplittableRandom(3);
        Limiter limiter = new Limiter(new Allowance(100, 20, 7, 10));
        Deque<Long> admitted = new ArrayDeque<>();
        int inHand = 0;
        long now = 0;
        for (int i = 0; i < 200_000; i++) {
            now += random.nextInt(4_000_000);
            if (inHand > 0 && random.nextInt(2) == 0) {
                limiter.release("a");
                inHand--;
            } else if (limiter.admit("a", now) == Verdict.ADMITTED) {
                inHand++;
                admitted.add(now);
            }
            assertTrue(inHand <= 7);
            while (!admitted.isEmpty() && admitted.peek() <= now - SECOND) {
                admitted.poll();
            }
            assertTrue(admitted.size() <= 121, admitted.size() + " in a second");
        }
    }
}
