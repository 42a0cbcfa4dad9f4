package ledgewall.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Connections to one member, for requests and probes alike. The newest idle one goes first, so that those not needed grow
 * old; {@link IdleConnections} closes them.
 */
final class HostPool {
    /**
     * A connection rests for so long before it carries a request: what a host sends behind its last answer, a second copy or
     * noise, is seen meanwhile and ends the connection, instead of passing for the answer to the next request.
     */
    private static final long REST = Clock.millisToNanos(10);
    private static final int USUAL_CONNECTIONS = 2;

    private final RouterContext wiring;
    /** The newest first. */
    private final Deque<HostConnection> idle = new ArrayDeque<>(USUAL_CONNECTIONS);
    private final Set<HostConnection> retiring = new HashSet<>(USUAL_CONNECTIONS);
    private final Set<HostConnection> all = new HashSet<>(USUAL_CONNECTIONS);
    private InetSocketAddress address;
    private long lastAnswer;

    HostPool(RouterContext wiring, InetSocketAddress address) {
        this.wiring = wiring;
        this.address = address;
    }

    /** From now on connects there; connections to the address before end with what they carry. */
    void moveTo(InetSocketAddress other) {
        if (!other.equals(address)) {
            address = other;
            closeIdle();
            retiring.addAll(all);
        }
    }

    /** Carries out a request on the newest connection that may carry it or on a new one, which is returned. */
    HostConnection run(Attempt attempt) {
        return run(attempt, idleFor(attempt));
    }

    /** Carries out a probe on the newest idle connection or on a new one, which is returned. */
    HostConnection run(Probe probe) {
        if (!hasIdleForProbe()) {
            wiring.counters().add(Counters.Count.PROBE_CONNECTIONS);
        }
        return run(probe, idle.peekFirst());
    }

    private HostConnection run(Exchange exchange, HostConnection usable) {
        HostConnection connection = usable;
        if (connection != null) {
            idle.remove(connection);
            wiring.idleConnections().remove(connection);
            connection.start(exchange);
            return connection;
        }
        connection = new HostConnection(wiring, this::release, this::forget);
        all.add(connection);
        connection.connect(address, exchange);
        return connection;
    }

    boolean hasIdleFor(Attempt attempt) {
        wiring.idleConnections().closeOld(wiring.loop().now());
        return idleFor(attempt) != null;
    }

    /** Probes follow at once on one another, as pings do; a report taken for the next one's tells no client anything. */
    boolean hasIdleForProbe() {
        wiring.idleConnections().closeOld(wiring.loop().now());
        return !idle.isEmpty();
    }

    /** A request that may be repeated follows a probe at once: a copy of the probe's answer is known, and noise costs a retry. */
    private HostConnection idleFor(Attempt attempt) {
        long rested = wiring.loop().now() - REST;
        for (HostConnection connection : idle) {
            if (connection.idleSince() <= rested || attempt.isIdempotent() && connection.isIdleAfterProbe()) {
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
            wiring.idleConnections().add(connection);
        }
    }

    private void forget(HostConnection connection) {
        idle.remove(connection);
        wiring.idleConnections().remove(connection);
        retiring.remove(connection);
        all.remove(connection);
    }

    void closeIdle() {
        new ArrayList<>(idle).forEach(HostConnection::close);
    }

    void closeAll() {
        new ArrayList<>(all).forEach(HostConnection::close);
    }
}
