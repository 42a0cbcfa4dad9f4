package ledgewall.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Connections to one member, shared by requests and probes. The most recently used idle connection is taken first, so
 * that surplus connections stay idle until {@link IdleConnections} closes them.
 */
final class HostPool {
    /**
     * How long a connection should have been idle before it carries another query. A copy of the last answer that a host sends
     * late closes the connection meanwhile; the barrier behind each query holds back the next one in any case.
     */
    private static final long SETTLE_NANOS = Clock.millisToNanos(10);
    private static final int INITIAL_CAPACITY = 2;

    private final RouterContext context;
    /** The most recently used first. */
    private final Deque<HostConnection> idle = new ArrayDeque<>(INITIAL_CAPACITY);
    /** Connections to a former address, closed as soon as they are idle. */
    private final Set<HostConnection> closingWhenIdle = new HashSet<>(INITIAL_CAPACITY);
    private final Set<HostConnection> all = new HashSet<>(INITIAL_CAPACITY);
    private InetSocketAddress address;
    /** In nanoseconds on the event loop's clock; 0 for never. */
    private long lastAnswerAt;

    HostPool(RouterContext context, InetSocketAddress address) {
        this.context = context;
        this.address = address;
    }

    /** Opens new connections to another address; connections to the former one close after their current exchange. */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeIdle();
            closingWhenIdle.addAll(all);
        }
    }

    /** Runs an attempt on the most recently used connection that may carry it, or on a new one; returns the connection. */
    HostConnection execute(Attempt attempt) {
        return execute(attempt, findIdle(attempt.isIdempotent()));
    }

    /** Runs a probe on a settled connection, else on the most recently used idle one or on a new one; returns the connection. */
    HostConnection execute(Probe probe) {
        if (!hasIdleForProbe()) {
            context.counters().add(Counters.Count.PROBE_CONNECTIONS);
        }
        HostConnection settled = findIdle(false);
        return execute(probe, settled != null ? settled : idle.peekFirst());
    }

    /** Runs a probe on a connection of its own, where no earlier answer can be; returns the connection. */
    HostConnection executeOnNewConnection(Probe probe) {
        context.counters().add(Counters.Count.PROBE_CONNECTIONS);
        return execute(probe, null);
    }

    private HostConnection execute(Exchange exchange, HostConnection reusable) {
        HostConnection connection = reusable;
        if (connection != null) {
            idle.remove(connection);
            context.idleConnections().remove(connection);
            connection.start(exchange);
            return connection;
        }
        connection = new HostConnection(context, this::onIdle, this::onClosed);
        all.add(connection);
        connection.connect(address, exchange);
        return connection;
    }

    boolean hasIdleFor(Attempt attempt) {
        context.idleConnections().closeExpired(context.loop().now());
        return findIdle(attempt.isIdempotent()) != null;
    }

    /** Probes may use a connection that has not settled: one that meets surplus data is repeated on another connection. */
    boolean hasIdleForProbe() {
        context.idleConnections().closeExpired(context.loop().now());
        return !idle.isEmpty();
    }

    /** A repeatable request may wait on a connection that has just carried a probe: surplus data costs it a retry at most. */
    private HostConnection findIdle(boolean repeatable) {
        long settledBefore = context.loop().now() - SETTLE_NANOS;
        for (HostConnection connection : idle) {
            if (connection.isVerified() && connection.idleSince() <= settledBefore
                    || repeatable && connection.isIdleAfterProbe()) {
                return connection;
            }
        }
        return null;
    }

    /** Whether no connection is open, so that the pool of a removed member can be dropped. */
    boolean isEmpty() {
        return all.isEmpty();
    }

    /** Connections that carry an exchange or are being opened. */
    int busyCount() {
        return all.size() - idle.size();
    }

    int idleCount() {
        return idle.size();
    }

    /** When an exchange last completed, in nanoseconds on the event loop's clock; 0 for never. */
    long lastAnswerAt() {
        return lastAnswerAt;
    }

    private void onIdle(HostConnection connection) {
        lastAnswerAt = context.loop().now();
        if (closingWhenIdle.contains(connection)) {
            connection.close();
        } else {
            idle.addFirst(connection);
            context.idleConnections().add(connection);
        }
    }

    private void onClosed(HostConnection connection) {
        idle.remove(connection);
        context.idleConnections().remove(connection);
        closingWhenIdle.remove(connection);
        all.remove(connection);
    }

    void closeIdle() {
        new ArrayList<>(idle).forEach(HostConnection::close);
    }
}
