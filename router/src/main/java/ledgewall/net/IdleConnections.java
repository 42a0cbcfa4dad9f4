package ledgewall.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The idle connections to all members, the longest idle first. One limit applies to all of them together rather than to
 * each member, so that it follows from the descriptor limit, however many members there are. Beyond the limit the
 * longest idle connection is closed.
 */
final class IdleConnections {
    /** The fraction of the host's own idle timeout after which the router closes a connection. */
    private static final double CLOSE_AT_FRACTION = 0.9;

    private final Counters counters;
    private final int maxConnections;
    private final long maxIdleNanos;
    private final Set<HostConnection> connections = new LinkedHashSet<>();

    /**
     * Keeps at most {@code maxConnections} connections.
     *
     * @param hostIdleTimeoutNanos after which hosts close an idle connection; 0 if they never do
     */
    IdleConnections(Counters counters, int maxConnections, long hostIdleTimeoutNanos) {
        this.counters = counters;
        this.maxConnections = maxConnections;
        this.maxIdleNanos = (long) (CLOSE_AT_FRACTION * hostIdleTimeoutNanos);
    }

    /** Adds a connection that has just become idle. */
    void add(HostConnection connection) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            closeOldest();
        }
    }

    void remove(HostConnection connection) {
        connections.remove(connection);
    }

    /** Closes the connection that has been idle the longest; returns false if there is none. */
    boolean closeOldest() {
        if (connections.isEmpty()) {
            return false;
        }
        counters.add(Counters.Count.IDLE_HOSTS_CLOSED);
        close(connections.iterator().next());
        return true;
    }

    /** Closes connections shortly before their hosts would. */
    void closeExpired(long now) {
        while (maxIdleNanos > 0 && !connections.isEmpty()) {
            HostConnection first = connections.iterator().next();
            if (first.idleSince() > now - maxIdleNanos) {
                return;
            }
            counters.add(Counters.Count.RETIRED);
            close(first);
        }
    }

    /** Removes the connection before it closes, so that each call leaves one fewer, whatever state the connection is in. */
    private void close(HostConnection connection) {
        connections.remove(connection);
        connection.close();
    }
}
