package ledgewall.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Connections to one member. The newest idle one goes first, so that those not needed grow old and retire. */
final class HostPool {
    /** Idle connections are retired at this part of the time after which the host would close them. */
    private static final double RETIRE_AT = 0.9;
    /**
     * A connection rests for so long after an answer: what a host sends behind it, a second copy or noise, is seen
     * meanwhile and ends the connection, instead of passing for the answer to the next request.
     */
    private static final long REST = Clock.millis(10);

    private final Wiring wiring;
    /** The newest first. */
    private final Deque<HostConnection> idle = new ArrayDeque<>();
    private final long rest;
    private final Set<HostConnection> retiring = new HashSet<>();
    private final Set<HostConnection> all = new HashSet<>();
    private InetSocketAddress address;
    private long lastAnswer;

    private HostPool(Wiring wiring, InetSocketAddress address, long rest) {
        this.wiring = wiring;
        this.rest = rest;
        this.address = address;
    }

    static HostPool forRequests(Wiring wiring, InetSocketAddress address) {
        return new HostPool(wiring, address, REST);
    }

    /** Probes follow at once on one another, as pings do; a report taken for the next one's tells no client anything. */
    static HostPool forProbes(Wiring wiring, InetSocketAddress address) {
        return new HostPool(wiring, address, 0);
    }

    /** From now on connects there; connections to the address before end with what they carry. */
    void moveTo(InetSocketAddress other) {
        if (!other.equals(address)) {
            address = other;
            closeIdle();
            retiring.addAll(all);
        }
    }

    /** Carries out an exchange on the newest rested connection or on a new one, which is returned. */
    HostConnection run(Exchange exchange) {
        retireOld();
        HostConnection connection = rested();
        if (connection != null) {
            idle.remove(connection);
            connection.start(exchange);
            return connection;
        }
        connection = new HostConnection(wiring, this::release, this::forget);
        if (rest == 0) {
            wiring.counters().add(Counters.Count.PROBE_CONNECTIONS);
        }
        all.add(connection);
        connection.connect(address, exchange);
        return connection;
    }

    boolean hasIdle() {
        retireOld();
        return rested() != null;
    }

    private HostConnection rested() {
        long since = wiring.loop().now() - rest;
        for (HostConnection connection : idle) {
            if (connection.idleSince() <= since) {
                return connection;
            }
        }
        return null;
    }

    /** Whether any connection is open, and so whether this pool is still of use when its member is gone. */
    boolean isEmpty() {
        return all.isEmpty();
    }

    /** Connections that carry something or are on their way up. */
    int busy() {
        return all.size() - idle.size();
    }

    int idle() {
        return idle.size();
    }

    /** When an exchange last came to its end here, 0 for never. */
    long lastAnswer() {
        return lastAnswer;
    }

    private void release(HostConnection connection) {
        lastAnswer = wiring.loop().now();
        if (retiring.contains(connection)) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    private void forget(HostConnection connection) {
        idle.remove(connection);
        retiring.remove(connection);
        all.remove(connection);
    }

    /** Closes the connections that the host will soon close itself. */
    void retireOld() {
        if (wiring.connIdle() <= 0) {
            return;
        }
        long oldest = wiring.loop().now() - (long) (RETIRE_AT * wiring.connIdle());
        while (!idle.isEmpty() && idle.peekLast().idleSince() <= oldest) {
            wiring.counters().add(Counters.Count.RETIRED);
            idle.peekLast().close();
        }
    }

    /** When its oldest idle connection became idle. */
    long oldestIdle() {
        return idle.isEmpty() ? Long.MAX_VALUE : idle.peekLast().idleSince();
    }

    void closeOldestIdle() {
        idle.peekLast().close();
    }

    void closeIdle() {
        new ArrayList<>(idle).forEach(HostConnection::close);
    }

    void closeAll() {
        new ArrayList<>(all).forEach(HostConnection::close);
    }
}
