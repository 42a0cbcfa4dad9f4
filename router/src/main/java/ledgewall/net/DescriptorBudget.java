package ledgewall.net;

/**
 * Accounts for the router's sockets against its descriptor limit; used on the event loop only. The reserve and the limits
 * of each use grow with the descriptor limit.
 */
final class DescriptorBudget {
    /** Descriptors that the process needs besides connections: about 20 files, selectors and sockets, and a few to spare. */
    private static final int PROCESS_DESCRIPTORS = 32;
    /** One part in this many is reserved for probes, discovery and connections that are being opened or closed. */
    private static final int RESERVE_DIVISOR = 12;
    private static final int MIN_RESERVE = 16;
    /** One part in this many may be idle connections to members. */
    private static final int IDLE_HOST_DIVISOR = 4;
    private static final int MIN_IDLE_HOST_CONNECTIONS = 8;
    /** One part in this many is the share that the documented protocol allows to client connections with requests. */
    private static final int SOFT_CLIENT_DIVISOR = 3;

    private final int descriptorLimit;
    private final int maxConnections;
    private final int reserve;
    /** Descriptors in use by connections. */
    private int held;

    DescriptorBudget(int descriptorLimit) {
        this.descriptorLimit = descriptorLimit;
        this.reserve = Math.max(MIN_RESERVE, descriptorLimit / RESERVE_DIVISOR);
        this.maxConnections = Math.max(reserve + 1, descriptorLimit - PROCESS_DESCRIPTORS);
    }

    /** Whether there is room for a client connection or for an attempt's connection. */
    boolean hasRoomForTraffic() {
        return held < trafficLimit();
    }

    /** The limit for client connections and connections of attempts together. */
    int trafficLimit() {
        return maxConnections - reserve;
    }

    /** The limit for client connections; the rest is for connections to members, without which no client is served. */
    int clientLimit() {
        return Math.max(1, trafficLimit() * 2 / 3);
    }

    /** The limit for idle connections to members: a part of the descriptors, enough for most requests to reuse one. */
    int idleHostLimit() {
        return Math.max(MIN_IDLE_HOST_CONNECTIONS, descriptorLimit / IDLE_HOST_DIVISOR);
    }

    /** The number of client connections above which idle ones are closed, since more would keep other clients out. */
    int softClientLimit() {
        return Math.max(1, descriptorLimit / SOFT_CLIENT_DIVISOR);
    }

    /** The number of open sockets up to which connections are accepted; includes sockets not yet or no longer counted as held. */
    int acceptLimit() {
        return maxConnections - reserve / 2;
    }

    /** Whether there is room for a connection of a probe or of discovery, which may use the reserve. */
    boolean hasRoom() {
        return held < maxConnections;
    }

    void acquire() {
        held++;
    }

    void release() {
        held--;
    }

    int held() {
        return held;
    }
}
