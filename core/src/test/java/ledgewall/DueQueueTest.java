package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class DueQueueTest {
    private final DueQueue<String> queue = new DueQueue<>();

    @Test
    void itemIsDueAtTheTimeGivenLast() {
        queue.put("a", 10);
        queue.put("b", 20);
        queue.put("a", 30);
        queue.put("b", 5);
        assertEquals("b", queue.poll(10));
        assertNull(queue.poll(29));
        assertEquals("a", queue.poll(30));
        assertNull(queue.poll(Long.MAX_VALUE));
    }

    @Test
    void itemsRemovedBeforeTheyAreDueDoNotAccumulate() {
        for (int i = 0; i < 100_000; i++) {
            queue.put("request " + i, Long.MAX_VALUE - i);
            queue.remove("request " + i);
        }
        assertTrue(queue.entryCount() < 1_000, "entries " + queue.entryCount());
    }

    @Test
    void randomOperationsGiveTheSameResultsAsAReferenceMap() {
        SplittableRandom random = new SplittableRandom(28);
        Map<String, Long> reference = new TreeMap<>();
        for (int step = 0; step < 20_000; step++) {
            String item = "i" + random.nextInt(50);
            if (random.nextInt(4) == 0) {
                queue.remove(item);
                reference.remove(item);
            } else {
                long at = step + random.nextInt(200);
                queue.put(item, at);
                reference.put(item, at);
            }
            long now = step;
            for (String due = queue.poll(now); due != null; due = queue.poll(now)) {
                assertTrue(reference.remove(due) <= now, due);
            }
            assertTrue(reference.values().stream().allMatch(at -> at > now));
        }
    }
}
