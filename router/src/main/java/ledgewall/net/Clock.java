package ledgewall.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The router's clock: Unix time in nanoseconds, read from the system clock once and advanced by the monotonic clock, so that
 * it never goes back. Converts Unix times that are received to this clock.
 */
final class Clock {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** The year 2200: later times are invalid, and would overflow. */
    private static final double MAX_UNIX_MILLIS = 7.258e12;
    /** A second is ten to this power of milliseconds. */
    private static final int MILLI_EXPONENT = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** How often both clocks are read to find their difference: pauses of the process hardly meet every reading. */
    private static final int ANCHOR_READINGS = 20;

    private final LongSupplier monotonic;
    private final long offsetNanos;

    private Clock(LongSupplier monotonic, long offsetNanos) {
        this.monotonic = monotonic;
        this.offsetNanos = offsetNanos;
    }

    static Clock ofSystem() {
        return anchored(System::nanoTime, Clock::systemUnixNanos);
    }

    /**
     * A clock that shows the time of {@code unixNanos} and advances with {@code monotonic}, both in nanoseconds. The two cannot
     * be read at the same instant: of several readings, the one during which the least time has passed counts. The clock is
     * ahead by that time at most, and not behind, so that nothing that another machine has dated seems to lie in the future.
     */
    static Clock anchored(LongSupplier monotonic, LongSupplier unixNanos) {
        long offset = 0;
        long shortest = Long.MAX_VALUE;
        for (int reading = 0; reading < ANCHOR_READINGS; reading++) {
            long before = monotonic.getAsLong();
            long unix = unixNanos.getAsLong();
            long duration = monotonic.getAsLong() - before;
            if (duration < shortest) {
                shortest = duration;
                offset = unix - before;
            }
        }
        return new Clock(monotonic, offset);
    }

    private static long systemUnixNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * NANOS_PER_SECOND + now.getNano();
    }

    /** A clock that starts at {@code unixNanos} and advances with {@code monotonic}, in nanoseconds. */
    static Clock of(LongSupplier monotonic, long unixNanos) {
        return new Clock(monotonic, unixNanos - monotonic.getAsLong());
    }

    /** The current time in nanoseconds. */
    long now() {
        return monotonic.getAsLong() + offsetNanos;
    }

    /** Converts a Unix time in milliseconds, rounded down; 0, which means "long ago" or "none", and invalid times become 0. */
    static long ofUnixMillis(double millis) {
        return isValid(millis) ? (long) Math.floor(millis) * NANOS_PER_MILLI : 0;
    }

    /** Converts a Unix time in milliseconds, rounded to a whole one; 0 and invalid times become 0. */
    static long ofUnixMillis(BigDecimal millis, RoundingMode rounding) {
        return isValid(millis.doubleValue()) ? millis.setScale(0, rounding).longValue() * NANOS_PER_MILLI : 0;
    }

    private static boolean isValid(double millis) {
        return millis > 0 && millis < MAX_UNIX_MILLIS;
    }

    /** Converts a Unix time in seconds, rounded down to a whole millisecond; 0 and invalid times become 0. */
    static long ofUnixSeconds(BigDecimal seconds) {
        return ofUnixMillis(seconds.scaleByPowerOfTen(MILLI_EXPONENT), RoundingMode.FLOOR);
    }

    /** The latest time that whole milliseconds of Unix time stand for, however they were rounded; 0 for 0 and invalid ones. */
    static long endOfUnixMilli(long millis) {
        return isValid(millis) ? (millis + 1) * NANOS_PER_MILLI : 0;
    }

    static long millisToNanos(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    /** Converts a duration, rounding up; negative ones become 0. */
    static long nanosToMillis(long nanos) {
        return Math.max(0, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }
}
