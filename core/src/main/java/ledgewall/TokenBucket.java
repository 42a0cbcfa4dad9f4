package ledgewall;

/** A rate limit that allows bursts. Times are nanoseconds on a monotonic clock. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double tokensPerSecond;
    private final double capacity;
    private double tokens;
    private long refilledAt;

    /** Starts full, with {@code capacity} tokens, and gains {@code tokensPerSecond} up to that number. */
    TokenBucket(double tokensPerSecond, double capacity, long now) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledAt = now;
    }

    /** Adds tokens independently of time, as for each request. */
    void add(double count) {
        tokens = Math.min(capacity, tokens + count);
    }

    /** Takes one token, or returns false and takes none if less than one is left. */
    boolean tryTake(long now) {
        tokens = Math.min(capacity, tokens + tokensPerSecond * (now - refilledAt) / NANOS_PER_SECOND);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
