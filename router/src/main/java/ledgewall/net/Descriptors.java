package ledgewall.net;

/** Counts the router's sockets against its limit; on the loop alone. Reserves grow with the limit. */
final class Descriptors {
    /** What the process holds beside connections: some 20 files, selectors and sockets of its own, and a few to spare. */
    private static final int OWN_FILES = 32;
    /** Part of the limit that is kept back for probes, discovery and connections that are on their way in or out. */
    private static final int KEPT_PART = 12;
    private static final int LEAST_KEPT = 16;
    private static final int IDLE_PART = 4;
    private static final int LEAST_IDLE = 8;
    /** The part of the descriptors that clients may hold for requests, by the protocol's page. */
    private static final int CLIENTS_PART = 3;

    private final int limit;
    private final int most;
    private final int kept;
    private int held;

    Descriptors(int limit) {
        this.limit = limit;
        this.kept = Math.max(LEAST_KEPT, limit / KEPT_PART);
        this.most = Math.max(kept + 1, limit - OWN_FILES);
    }

    /** Whether there is room for a client's connection or an attempt's. */
    boolean roomForTraffic() {
        return held < forTraffic();
    }

    /** What clients' connections and attempts may hold together. */
    int forTraffic() {
        return most - kept;
    }

    /** What clients' connections may hold: the rest is for attempts, without which a client is of no use. */
    int forClients() {
        return Math.max(1, forTraffic() * 2 / 3);
    }

    /** Connections to members that may be idle: what most requests find open again, and a part of the limit. */
    int forIdleHosts() {
        return Math.max(LEAST_IDLE, limit / IDLE_PART);
    }

    /** Connections that clients may hold for requests; those beyond it keep others from asking. */
    int forRequests() {
        return Math.max(1, limit / CLIENTS_PART);
    }

    /** Sockets that may be open when another is accepted: those on their way in or out are not counted as held. */
    int forAccepting() {
        return most - kept / 2;
    }

    /** Whether there is room for a probe's or discovery's connection. */
    boolean room() {
        return held < most;
    }

    void take() {
        held++;
    }

    void release() {
        held--;
    }

    int held() {
        return held;
    }
}
