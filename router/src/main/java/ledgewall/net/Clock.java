package ledgewall.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The router's one clock: Unix nanoseconds, anchored once and advanced by the monotonic clock, so that it never
 * goes back. All that comes with a Unix time is translated here.
 */
final class Clock {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** The year 2200: later times are none, and would not fit. */
    private static final double LAST_MILLIS = 7.258e12;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final LongSupplier monotonic;
    private final long offset;

    private Clock(LongSupplier monotonic, long unixNanos) {
        this.monotonic = monotonic;
        this.offset = unixNanos - monotonic.getAsLong();
    }

    static Clock ofSystem() {
        Instant now = Instant.now();
        return new Clock(System::nanoTime, now.getEpochSecond() * NANOS_PER_SECOND + now.getNano());
    }

    static Clock of(LongSupplier monotonic, long unixNanos) {
        return new Clock(monotonic, unixNanos);
    }

    long now() {
        return monotonic.getAsLong() + offset;
    }

    /** A Unix time in milliseconds on this clock; 0 stays 0, for "long ago" and "none", as what is no time does. */
    static long ofUnixMillis(double millis) {
        return millis > 0 && millis < LAST_MILLIS ? (long) Math.floor(millis) * NANOS_PER_MILLI : 0;
    }

    /** A Unix time in seconds, told to the millisecond, on this clock. */
    static long ofUnixSeconds(double seconds) {
        return ofUnixMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }

    static long millis(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    /** Milliseconds of a span, rounded up. */
    static long toMillis(long nanos) {
        return Math.max(0, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }
}
