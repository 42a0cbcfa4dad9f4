package ledgewall;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What is due when: each item at most once, at the time given last. Putting an item and taking one cost the logarithm of
 * their number, and asking whether anything is due costs the same however many there are. What is removed before its time
 * takes no memory until then.
 */
final class DueQueue<T> {
    private record Entry<T>(long at, long number, T item) implements Comparable<Entry<T>> {
        @Override
        public int compareTo(Entry<T> other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private static final int LEAST_COMPACTED = 64;

    private final PriorityQueue<Entry<T>> entries = new PriorityQueue<>();
    private final Map<T, Entry<T>> current = new HashMap<>();
    private long number;

    /** Has the item due at that time, and at no other. */
    void put(T item, long at) {
        Entry<T> entry = new Entry<>(at, number++, item);
        Entry<T> before = current.put(item, entry);
        if (before == null || before.at() > at) {
            entries.add(entry); // an earlier entry waits here, and is put off when its time has come
        } else {
            current.put(item, new Entry<>(at, before.number(), item));
        }
    }

    void remove(T item) {
        if (current.remove(item) != null && entries.size() > LEAST_COMPACTED && entries.size() > 2 * current.size()) {
            entries.removeIf(entry -> !isLatest(entry));
        }
    }

    /** Whether the entry stands for its item: others were removed, or put earlier since. */
    private boolean isLatest(Entry<T> entry) {
        Entry<T> latest = current.get(entry.item());
        return latest != null && latest.number() == entry.number();
    }

    /** Takes the item that has been due for longest by now, or null. */
    T poll(long now) {
        while (!entries.isEmpty() && entries.peek().at() <= now) {
            Entry<T> entry = entries.poll();
            if (!isLatest(entry)) {
                continue;
            }
            Entry<T> latest = current.get(entry.item());
            if (latest.at() <= now) {
                current.remove(entry.item());
                return entry.item();
            }
            entries.add(latest);
        }
        return null;
    }

    /** Entries held, those that stand for nothing any more included. */
    int size() {
        return entries.size();
    }
}
