package ledgewall.rules;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One rule's limits, by key: so many requests a second, by a token bucket, and so many at once. It has no clock: time is
 * handed in, in ns, and never goes back by more than a turn. Of keys it remembers a stated number; beyond it the least
 * recently used one that has nothing in hand gives way, and a key that comes back begins with a full bucket. Where all
 * have something in hand, a new key is refused: memory has a bound whatever keys clients make up.
 */
public final class Limiter {
    private static final double SECOND = 1e9;

    /**
     * What a rule allows.
     *
     * @param rate requests a second and key; 0 for any number
     * @param burst requests that may come at once after a pause
     * @param concurrent requests in hand at once for one key; 0 for any number
     * @param keys remembered at most
     */
    public record Allowance(double rate, double burst, int concurrent, int keys) {
        /** What is wrong with it, or null. */
        public String problem() {
            return !(rate >= 0 && rate <= 1e9) ? "a rate is from 0 to 1e9 a second"
                : rate > 0 && !(burst >= 1 && burst <= 1e9) ? "a burst is from 1 to 1e9"
                : concurrent < 0 ? "a number at once is 0 or more"
                : rate == 0 && concurrent == 0 ? "neither a rate nor a number at once is limited"
                : keys < 1 || keys > 1_000_000 ? "keys are from 1 to 1000000" : null;
        }
    }

    /** Why a request was refused, or that it was not. */
    public enum Verdict { ADMITTED, RATE, CONCURRENCY, KEYS }

    private static final class Bucket {
        private double tokens;
        private long filledAt;
        private int inHand;
    }

    private final Allowance allowance;
    /** The least recently used first; a bucket leaves when another needs its place and nothing of it is in hand. */
    private final Map<String, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true);

    public Limiter(Allowance allowance) {
        this.allowance = allowance;
    }

    /** Whether a request of this key may go on; one that is admitted must be {@link #release released} once. */
    public Verdict admit(String key, long now) {
        Bucket bucket = buckets.get(key);
        if (bucket == null) {
            if (buckets.size() >= allowance.keys() && !makeRoom()) {
                return Verdict.KEYS;
            }
            bucket = new Bucket();
            bucket.tokens = allowance.burst();
            bucket.filledAt = now;
            buckets.put(key, bucket);
        }
        if (allowance.concurrent() > 0 && bucket.inHand >= allowance.concurrent()) {
            return Verdict.CONCURRENCY;
        }
        if (allowance.rate() > 0) {
            fill(bucket, now);
            if (bucket.tokens < 1) {
                return Verdict.RATE;
            }
            bucket.tokens--;
        }
        bucket.inHand++;
        return Verdict.ADMITTED;
    }

    private void fill(Bucket bucket, long now) {
        if (now > bucket.filledAt) {
            double gained = (now - bucket.filledAt) / SECOND * allowance.rate();
            bucket.tokens = Math.min(allowance.burst(), bucket.tokens + gained);
            bucket.filledAt = now;
        }
    }

    /** The least recently used that can go; looks at a few only, so that a full table costs no more than a small one. */
    private boolean makeRoom() {
        int looked = 0;
        for (var entries = buckets.entrySet().iterator(); entries.hasNext() && looked < 8; looked++) {
            if (entries.next().getValue().inHand == 0) {
                entries.remove();
                return true;
            }
        }
        return false;
    }

    /** A request that was admitted is over. */
    public void release(String key) {
        Bucket bucket = buckets.get(key);
        if (bucket != null && bucket.inHand > 0) {
            bucket.inHand--;
        }
    }

    /** In how long a request of this key may be admitted by its rate, in ns; 0 for at once. */
    public long retryAfter(String key, long now) {
        Bucket bucket = buckets.get(key);
        if (bucket == null || allowance.rate() == 0) {
            return 0;
        }
        fill(bucket, now);
        return bucket.tokens >= 1 ? 0 : (long) Math.ceil((1 - bucket.tokens) / allowance.rate() * SECOND);
    }

    public int keys() {
        return buckets.size();
    }
}
