package ledgewall;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A queue of items by due time, with each item in it at most once, at the time given last. Putting and taking an item cost the
 * logarithm of the number of items, and asking whether one is due takes constant time. Items that were removed before they
 * were due are compacted away instead of using memory until their due time.
 */
final class DueQueue<T> {
    private record Entry<T>(long dueAt, long sequence, T item) implements Comparable<Entry<T>> {
        @Override
        public int compareTo(Entry<T> other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    /** Below this number of entries none are compacted away. */
    private static final int MIN_COMPACTED_ENTRIES = 64;

    private final PriorityQueue<Entry<T>> entries = new PriorityQueue<>();
    private final Map<T, Entry<T>> latestEntries = new HashMap<>();
    private long nextSequence;

    /** Makes the item due at {@code dueAt} only, whatever was given before. */
    void put(T item, long dueAt) {
        Entry<T> entry = new Entry<>(dueAt, nextSequence++, item);
        Entry<T> before = latestEntries.put(item, entry);
        if (before == null || before.dueAt() > dueAt) {
            entries.add(entry); // an earlier entry stays in the heap and is put back at the later time when it comes up
        } else {
            latestEntries.put(item, new Entry<>(dueAt, before.sequence(), item));
        }
    }

    void remove(T item) {
        if (latestEntries.remove(item) != null && entries.size() > MIN_COMPACTED_ENTRIES
                && entries.size() > 2 * latestEntries.size()) {
            entries.removeIf(entry -> !isCurrent(entry));
        }
    }

    /** Whether this entry still represents its item, which was neither removed nor put at an earlier time since. */
    private boolean isCurrent(Entry<T> entry) {
        Entry<T> latest = latestEntries.get(entry.item());
        return latest != null && latest.sequence() == entry.sequence();
    }

    /** Removes and returns the item that has been due for longest, or returns null if none is due. */
    T poll(long now) {
        while (!entries.isEmpty() && entries.peek().dueAt() <= now) {
            Entry<T> entry = entries.poll();
            if (!isCurrent(entry)) {
                continue;
            }
            Entry<T> latest = latestEntries.get(entry.item());
            if (latest.dueAt() <= now) {
                latestEntries.remove(entry.item());
                return entry.item();
            }
            entries.add(latest);
        }
        return null;
    }

    /** The number of entries in memory, including outdated ones. */
    int entryCount() {
        return entries.size();
    }
}
