package ledgewall.net;

/**
 * The latest time at which the I/O thread may write to a connection. The event loop decides on a write and hands it over; the
 * I/O thread, which may come to it late or write it in parts, asks before each part. A write that is not permitted ends the
 * connection, so that the remote side never receives all of it.
 */
final class WriteDeadline {
    private static final long NONE = Long.MAX_VALUE;

    private volatile long latestWrite = NONE;
    private volatile boolean missed;

    /** Called on the event loop, before it hands over a write: the latest time, by the router's clock in nanoseconds. */
    void set(long latest) {
        latestWrite = latest;
    }

    /** Called on the event loop: what is handed over from now on may be written at any time. */
    void clear() {
        latestWrite = NONE;
    }

    /** Called on the event loop: nothing that has been handed over may be written any more. */
    void expire() {
        latestWrite = Long.MIN_VALUE;
    }

    /** Called on the I/O thread: whether it may write now. If not, the connection has to be closed. */
    boolean permitsWrite(long now) {
        missed |= now > latestWrite;
        return !missed;
    }

    /** Whether a write was not permitted, so that its remote side has not received all of it. */
    boolean isMissed() {
        return missed;
    }
}
