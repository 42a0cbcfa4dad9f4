package ledgewall.net;

/** Counts the router's sockets against its limit; on the loop alone. */
final class Descriptors {
    /** What the process holds beside connections: its own files, selectors, the listening and peer sockets. */
    private static final int OWN_FILES = 64;
    /** Kept back for probes and discovery. */
    private static final int KEPT = 48;

    private final int most;
    private int held;

    Descriptors(int limit) {
        this.most = Math.max(KEPT + 1, limit - OWN_FILES);
    }

    /** Whether there is room for a client's connection or an attempt's. */
    boolean roomForTraffic() {
        return held < most - KEPT;
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
