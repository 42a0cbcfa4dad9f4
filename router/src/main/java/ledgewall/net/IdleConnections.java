package ledgewall.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The idle connections to all members, the longest idle first. They are bounded together, not for each member: how many a
 * router keeps goes by its descriptors, however many members there are. Over the bound the longest idle is closed.
 */
final class IdleConnections {
    /** Idle connections are closed at this part of the time after which the host would close them. */
    private static final double CLOSE_AT = 0.9;

    private final Counters counters;
    private final int most;
    private final long oldest;
    private final Set<HostConnection> connections = new LinkedHashSet<>();

    /**
     * Keeps {@code most} connections at most, none longer than a part of {@code hostClosesAfter} nanoseconds; 0 where hosts
     * never close them.
     */
    IdleConnections(Counters counters, int most, long hostClosesAfter) {
        this.counters = counters;
        this.most = most;
        this.oldest = (long) (CLOSE_AT * hostClosesAfter);
    }

    /** A connection that has become idle just now. */
    void add(HostConnection connection) {
        connections.add(connection);
        if (connections.size() > most) {
            closeOldest();
        }
    }

    void remove(HostConnection connection) {
        connections.remove(connection);
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    boolean closeOldest() {
        Iterator<HostConnection> first = connections.iterator();
        if (!first.hasNext()) {
            return false;
        }
        counters.add(Counters.Count.IDLE_HOSTS_CLOSED);
        first.next().close();
        return true;
    }

    /** Closes the connections that their hosts will soon close themselves. */
    void closeOld(long now) {
        while (oldest > 0 && !connections.isEmpty()) {
            HostConnection first = connections.iterator().next();
            if (first.idleSince() > now - oldest) {
                return;
            }
            counters.add(Counters.Count.RETIRED);
            first.close();
        }
    }
}
