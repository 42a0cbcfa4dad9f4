package ledgewall.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.HashMap;
import java.util.Map;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Report;
import ledgewall.RoutingPolicy.Role;
import ledgewall.pg.Reply;

/** Parses what members report about themselves (role, position, load) into the policy's units. */
final class HostReports {
    private static final String MODE = "mode";
    private static final String WAL_TIME = "wal_time";
    private static final String STATS = "stats";
    /** The name of the position in a report. */
    private static final String POSITION = "x0";
    /** All machines share one clock; a position further in the future than rounding explains is invalid. */
    private static final long MAX_FUTURE_NANOS = Clock.millisToNanos(100);
    private static final int MAX_REPORT_LENGTH = 1_024;
    private static final int MAX_DECIMAL_LENGTH = 64;

    private HostReports() {
    }

    static Role role(Reply reply) {
        String mode = reply.parameter(MODE);
        return mode == null ? Role.UNKNOWN : switch (mode) {
            case "read-write" -> Role.PRIMARY;
            case "read-only" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    /** The position reported with an answer, in Unix nanoseconds; {@code NONE} if it is absent, 0 or invalid. */
    static long position(Reply reply, long now) {
        return known(Clock.ofUnixMillis(parseDecimal(reply.parameter(WAL_TIME)), RoundingMode.FLOOR), now);
    }

    /** The position of a write's commit, reported with its answer; {@code NONE} as for {@link #position}. */
    static long commitPosition(Reply reply, long now) {
        return known(Clock.ofUnixMillis(parseDecimal(reply.parameter(WAL_TIME)), RoundingMode.CEILING), now);
    }

    private static long known(long position, long now) {
        return position == 0 || position > now + MAX_FUTURE_NANOS ? RoutingPolicy.NONE : position;
    }

    /** The load report sent with an answer, or null. */
    static Report report(Reply reply, long now) {
        return report(reply.parameter(STATS), now);
    }

    /**
     * Parses {@code name=value,name=value}. Returns null for a blank text, and also if any part is malformed or out of range:
     * the other values of such a report are not trusted either. Unknown names are ignored.
     */
    static Report report(String text, long now) {
        if (text == null || text.isBlank() || text.length() > MAX_REPORT_LENGTH) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        BigDecimal positionSeconds = null;
        for (String pair : text.split(",", -1)) {
            int separator = pair.indexOf('=');
            double value = parseNumber(pair.substring(separator + 1).trim());
            if (separator <= 0 || !Double.isFinite(value) || value < 0) {
                return null;
            }
            String name = pair.substring(0, separator).trim();
            values.put(name, value);
            positionSeconds = name.equals(POSITION) ? parseDecimal(pair.substring(separator + 1).trim()) : positionSeconds;
        }
        // x1 is 1 on a primary and 0 on a replica; x0 is the position.
        double primaryFlag = values.getOrDefault("x1", Double.NaN);
        // Positions in reports are Unix seconds. 0 is a valid position in the distant past, so the report is that old too.
        long position = positionSeconds == null ? RoutingPolicy.NONE : Clock.ofUnixSeconds(positionSeconds);
        boolean outOfRange = positionSeconds != null && positionSeconds.signum() > 0 && position == 0;
        if (primaryFlag > 1 || position > now + MAX_FUTURE_NANOS || outOfRange) {
            return null;
        }
        Role role = Double.isNaN(primaryFlag) ? Role.UNKNOWN : primaryFlag == 1 ? Role.PRIMARY : Role.REPLICA;
        return new Report(position, role,
            values.getOrDefault("util", Double.NaN), values.getOrDefault("queue", Double.NaN));
    }

    /** The value of a decimal number; 0 if there is none, or if it has more digits than any time. */
    private static BigDecimal parseDecimal(String text) {
        if (text == null || text.length() > MAX_DECIMAL_LENGTH) {
            return BigDecimal.ZERO;
        }
        try {
            return new BigDecimal(text.trim());
        } catch (NumberFormatException e) {
            return BigDecimal.ZERO;
        }
    }

    private static double parseNumber(String text) {
        if (text == null) {
            return Double.NaN;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
