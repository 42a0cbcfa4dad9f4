/** How far a member has applied its group's log. A primary stands at the present. All times are Unix milliseconds. */
final class Replica {
    /** The part of the time in which a replica applies, at its usual speed. */
    private static final double APPLY_USE = 0.4;
    private final double shipMillis;
    private double slowness = 1;
    private double lag;
    private long updatedAt = System.nanoTime();

    Replica(double shipMillis) {
        this.shipMillis = shipMillis;
    }

    static double unixMillis() {
        java.time.Instant now = java.time.Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /** From now on the log is applied so many times more slowly than usual. */
    synchronized void applySlower(double factor) {
        position();
        slowness = factor;
    }

    synchronized double position() {
        long now = System.nanoTime();
        double applied = 1 / (APPLY_USE * slowness);
        lag = Math.max(0, lag + (now - updatedAt) / 1e6 * (1 - applied));
        updatedAt = now;
        return unixMillis() - shipMillis - lag;
    }
}
