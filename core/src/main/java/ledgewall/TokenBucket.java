package ledgewall;

/** A rate limit with a burst. Times are nanoseconds on a clock that never goes back. */
final class TokenBucket {
    private static final double SECOND = 1e9;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledAt;

    /** Full at first: {@code burst} tokens, and {@code perSecond} more each second up to that. */
    TokenBucket(double perSecond, double burst, long now) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledAt = now;
    }

    /** Adds tokens that come with something other than time. */
    void add(double count) {
        tokens = Math.min(burst, tokens + count);
    }

    /** Takes a token; false, and nothing taken, if there is none. */
    boolean tryTake(long now) {
        tokens = Math.min(burst, tokens + perSecond * (now - filledAt) / SECOND);
        filledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
