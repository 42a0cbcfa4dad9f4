package ledgewall.net;

import java.util.HashMap;
import java.util.Map;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Report;
import ledgewall.RoutingPolicy.Role;
import ledgewall.pg.Reply;

/** What hosts tell beside their answers, in the policy's units. */
final class HostReports {
    private static final String MODE = "mode";
    private static final String WAL_TIME = "wal_time";
    private static final String STATS = "stats";
    /** All machines read one clock; a position later than now by more than rounding is none. */
    private static final long CLOCKS_APART = Clock.millisToNanos(100);
    private static final int LONGEST_REPORT = 1_024;

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

    /** The position that an answer tells, in Unix milliseconds there; none where it is absent, 0 or can't be. */
    static long position(Reply reply, long now) {
        long position = Clock.ofUnixMillis(number(reply.parameter(WAL_TIME)));
        return position == 0 || position > now + CLOCKS_APART ? RoutingPolicy.NONE : position;
    }

    /** The report that came with an answer, or null. */
    static Report report(Reply reply, long now) {
        return report(reply.parameter(STATS), now);
    }

    /**
     * Reads {@code name=value,name=value}; null for no text, or where any of it can't be read or can't be: what stands
     * beside nonsense is no fact either. Unknown names are passed over.
     */
    static Report report(String text, long now) {
        if (text == null || text.isBlank() || text.length() > LONGEST_REPORT) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            double value = number(pair.substring(equals + 1).trim());
            if (equals <= 0 || !Double.isFinite(value) || value < 0) {
                return null;
            }
            values.put(pair.substring(0, equals).trim(), value);
        }
        double primary = values.getOrDefault("x1", Double.NaN);
        // Positions in reports are Unix seconds; 0 is one too, of long ago: what stands beside it is as old.
        double seconds = values.getOrDefault("x0", Double.NaN);
        long position = Double.isNaN(seconds) ? RoutingPolicy.NONE : Clock.ofUnixSeconds(seconds);
        if (primary > 1 || position > now + CLOCKS_APART || seconds > 0 && position == 0) {
            return null;
        }
        Role role = Double.isNaN(primary) ? Role.UNKNOWN : primary == 1 ? Role.PRIMARY : Role.REPLICA;
        return new Report(position, role,
            values.getOrDefault("util", Double.NaN), values.getOrDefault("queue", Double.NaN));
    }

    private static double number(String text) {
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
