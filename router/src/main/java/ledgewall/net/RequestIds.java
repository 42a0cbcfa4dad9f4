package ledgewall.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The ids of recent requests, so that none is accepted twice. Times are nanoseconds on the router's clock.
 *
 * <p>The id of a request that must not run twice is held until the request's deadline, and remembered for
 * {@link #RETENTION_NANOS} after it, in case it comes again although its client has left. While the table is full of ids that
 * are held, such requests get no place; ids that are merely remembered give way. Ids of repeatable requests are forgotten at
 * their deadline, or earlier, the oldest first, where there are too many: that costs a member a read, and nobody an effect.
 */
final class RequestIds {
    /** Ids of each kind at most; they take a few megabytes. */
    static final int MAX_IDS = 8_192;
    /** Held ids of one connection at most, so that one client cannot take all places. */
    static final int MAX_HELD_BY_CONNECTION = MAX_IDS / 8;
    /** How long an id is held at most: clients wait for seconds, and invented deadlines must not take the places for a day. */
    static final long MAX_HOLD_NANOS = Clock.millisToNanos(60_000);
    /** How long an id is remembered after its deadline. */
    static final long RETENTION_NANOS = Clock.millisToNanos(300_000);

    /** Whether an id could be reserved. */
    enum Reservation {
        RESERVED,
        /** The id belongs to an earlier request. */
        IN_USE,
        /** Too many ids are held. */
        NO_CAPACITY
    }

    /** Counts the ids that one connection's requests hold. */
    static final class Share {
        private int held;
    }

    /** An id that must not be accepted again; the number tells entries of the same time apart. */
    private record Entry(String id, long heldUntil, long number, Share share) { }

    private final Map<String, Entry> entries = new HashMap<>();
    /** Entries whose hold lasts, the one that ends first in front. */
    private final TreeSet<Entry> held =
        new TreeSet<>(Comparator.comparingLong(Entry::heldUntil).thenComparingLong(Entry::number));
    /** Entries whose hold is over, the oldest first. */
    private final Set<Entry> remembered = new LinkedHashSet<>();
    /** Ids of repeatable requests in the order of their arrival, and until when each is rejected. */
    private final Map<String, Long> repeatable = new LinkedHashMap<>();
    private long lastNumber;

    /** Reserves the id of a request up to its deadline; the share is that of the request's connection. */
    Reservation reserve(String id, boolean isRepeatable, long deadline, Share share, long now) {
        expireHolds(now);
        if (entries.containsKey(id) || repeatable.getOrDefault(id, Long.MIN_VALUE) > now) {
            return Reservation.IN_USE;
        }
        if (isRepeatable) {
            addRepeatable(id, deadline);
            return Reservation.RESERVED;
        }
        if (share.held >= MAX_HELD_BY_CONNECTION || entries.size() >= MAX_IDS && !forgetOldestRemembered()) {
            return Reservation.NO_CAPACITY;
        }
        Entry entry = new Entry(id, Math.min(deadline, now + MAX_HOLD_NANOS), ++lastNumber, share);
        entries.put(id, entry);
        held.add(entry);
        share.held++;
        return Reservation.RESERVED;
    }

    private void addRepeatable(String id, long deadline) {
        repeatable.remove(id);
        repeatable.put(id, deadline);
        if (repeatable.size() > MAX_IDS) {
            repeatable.remove(repeatable.keySet().iterator().next());
        }
    }

    private boolean forgetOldestRemembered() {
        Iterator<Entry> oldestFirst = remembered.iterator();
        if (!oldestFirst.hasNext()) {
            return false;
        }
        entries.remove(oldestFirst.next().id());
        oldestFirst.remove();
        return true;
    }

    /** Forgets the id of a request of which nothing was sent: it may come again. */
    void release(String id) {
        repeatable.remove(id);
        Entry entry = entries.remove(id);
        if (entry == null) {
            return;
        }
        if (held.remove(entry)) {
            entry.share().held--;
        } else {
            remembered.remove(entry);
        }
    }

    private void expireHolds(long now) {
        while (!held.isEmpty() && held.first().heldUntil() <= now) {
            Entry entry = held.pollFirst();
            entry.share().held--;
            remembered.add(entry);
        }
        while (!remembered.isEmpty() && remembered.iterator().next().heldUntil() + RETENTION_NANOS <= now) {
            forgetOldestRemembered();
        }
    }

    /** Forgets ids whose time is over. */
    void expire(long now) {
        expireHolds(now);
        Iterator<Long> expiryTimes = repeatable.values().iterator();
        while (expiryTimes.hasNext() && expiryTimes.next() <= now) {
            expiryTimes.remove(); // an id stays until all those that arrived before it have expired
        }
    }

    /** The number of ids that are held or remembered. */
    int size() {
        return entries.size() + repeatable.size();
    }
}
