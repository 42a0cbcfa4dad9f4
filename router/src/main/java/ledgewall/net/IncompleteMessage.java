package ledgewall.net;

/**
 * The part of a client's message that has been received so far, and for how long the client has owed the rest. Times are
 * nanoseconds on the event loop's clock. The time in which the router itself does not read does not count: the rest may have
 * been sent.
 */
final class IncompleteMessage {
    private static final long NOT_PAUSED = Long.MIN_VALUE;

    private int bytes;
    private long owedSince;
    private long pausedSince = NOT_PAUSED;

    /** Sets the number of bytes received of the message; {@code isNew} if it began with what was received just now. */
    void update(int receivedBytes, boolean isNew, long receivedAt) {
        if (receivedBytes > 0 && (bytes == 0 || isNew)) {
            owedSince = receivedAt;
        }
        bytes = receivedBytes;
    }

    /** The number of bytes received; 0 if no message is incomplete. */
    int bytes() {
        return bytes;
    }

    /** The router has put off reading. */
    void pause(long now) {
        if (pausedSince == NOT_PAUSED) {
            pausedSince = now;
        }
    }

    /** The router reads again, or would if the client took its answers. */
    void resume(long now) {
        if (pausedSince != NOT_PAUSED) {
            owedSince += now - pausedSince;
            pausedSince = NOT_PAUSED;
        }
    }

    boolean isPaused() {
        return pausedSince != NOT_PAUSED;
    }

    /** Whether the client has owed the rest of a message for at least this long. */
    boolean isOverdue(long now, long timeoutNanos) {
        return bytes > 0 && !isPaused() && now >= owedSince + timeoutNanos;
    }
}
