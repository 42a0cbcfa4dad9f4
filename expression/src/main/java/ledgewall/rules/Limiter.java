package ledgewall.rules;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the requests of one rule for each key: the rate by a token bucket, and the number in flight. It has no clock: the
 * caller passes the time in ns, which may go back by at most the duration of one event-loop iteration. The number of keys
 * tracked is bounded. At the bound, a new key evicts the least recently used key with no request in flight; an evicted key
 * that returns starts with a full bucket. If all keys have requests in flight, the new key is refused, so memory stays
 * bounded whatever keys clients invent.
 */
public final class Limiter {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The limits of a rule.
     *
     * @param ratePerSecond requests per second for each key; 0 for unlimited
     * @param burst capacity of a key's token bucket, in requests
     * @param maxConcurrent maximum number of requests in flight for each key; 0 for unlimited
     * @param maxKeys maximum number of keys tracked
     */
    public record Config(double ratePerSecond, double burst, int maxConcurrent, int maxKeys) {
        /** Why these limits are invalid, or null if they are valid. */
        public String validationError() {
            return !(ratePerSecond >= 0 && ratePerSecond <= 1e9) ? "a rate is from 0 to 1e9 a second"
                : ratePerSecond > 0 && !(burst >= 1 && burst <= 1e9) ? "a burst is from 1 to 1e9"
                : maxConcurrent < 0 ? "concurrent is 0 or more"
                : ratePerSecond == 0 && maxConcurrent == 0 ? "neither a rate nor a number at once is limited"
                : maxKeys < 1 || maxKeys > 1_000_000 ? "keys are from 1 to 1000000" : null;
        }
    }

    /**
     * Whether a request is admitted, or else the limit that refuses it: the rate, the number in flight, or the number of
     * keys tracked.
     */
    public enum Admission { ADMITTED, RATE, CONCURRENCY, KEYS }

    private static final class Bucket {
        private double tokens;
        private long refilledAtNs;
        private int inFlight;
    }

    private final Config config;
    /** In order of last use, least recent first. A bucket with no request in flight is evicted if a new key needs room. */
    private final Map<String, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true);

    public Limiter(Config config) {
        this.config = config;
    }

    /** Decides whether to admit a request of this key. An admitted request must be {@link #release released} exactly once. */
    public Admission admit(String key, long nowNs) {
        Bucket bucket = buckets.get(key);
        if (bucket == null) {
            if (buckets.size() >= config.maxKeys() && !evictIdleBucket()) {
                return Admission.KEYS;
            }
            bucket = new Bucket();
            bucket.tokens = config.burst();
            bucket.refilledAtNs = nowNs;
            buckets.put(key, bucket);
        }
        if (config.maxConcurrent() > 0 && bucket.inFlight >= config.maxConcurrent()) {
            return Admission.CONCURRENCY;
        }
        if (config.ratePerSecond() > 0) {
            refill(bucket, nowNs);
            if (bucket.tokens < 1) {
                return Admission.RATE;
            }
            bucket.tokens--;
        }
        bucket.inFlight++;
        return Admission.ADMITTED;
    }

    private void refill(Bucket bucket, long nowNs) {
        if (nowNs > bucket.refilledAtNs) {
            double refilled = (nowNs - bucket.refilledAtNs) / NANOS_PER_SECOND * config.ratePerSecond();
            bucket.tokens = Math.min(config.burst(), bucket.tokens + refilled);
            bucket.refilledAtNs = nowNs;
        }
    }

    /**
     * Evicts the least recently used bucket that has no request in flight. Scans only the 8 oldest buckets, so that the cost
     * doesn't grow with the number of keys.
     */
    private boolean evictIdleBucket() {
        int scanned = 0;
        for (var entries = buckets.entrySet().iterator(); entries.hasNext() && scanned < 8; scanned++) {
            if (entries.next().getValue().inFlight == 0) {
                entries.remove();
                return true;
            }
        }
        return false;
    }

    /** Marks an admitted request of this key as ended. */
    public void release(String key) {
        Bucket bucket = buckets.get(key);
        if (bucket != null && bucket.inFlight > 0) {
            bucket.inFlight--;
        }
    }

    /** The time in ns until the rate limit can admit a request of this key; 0 if it can now. */
    public long retryAfterNs(String key, long nowNs) {
        Bucket bucket = buckets.get(key);
        if (bucket == null || config.ratePerSecond() == 0) {
            return 0;
        }
        refill(bucket, nowNs);
        return bucket.tokens >= 1 ? 0 : (long) Math.ceil((1 - bucket.tokens) / config.ratePerSecond() * NANOS_PER_SECOND);
    }

    /** The number of keys that are tracked now. */
    public int keyCount() {
        return buckets.size();
    }
}
