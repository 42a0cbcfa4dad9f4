package ledgewall.net;

import java.util.HashMap;
import java.util.Map;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Report;
import ledgewall.RoutingPolicy.Role;
import ledgewall.pg.Reply;

/** What hosts tell beside their answers, in the policy's units. */
final class Notes {
    private static final String MODE = "mode";
    private static final String WAL_TIME = "wal_time";
    private static final String STATS = "stats";

    private Notes() {
    }

    static Role role(Reply reply) {
        String mode = reply.parameter(MODE);
        return mode == null ? Role.UNKNOWN : switch (mode) {
            case "read-write" -> Role.PRIMARY;
            case "read-only" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    /** The position that an answer tells, in Unix milliseconds there; none where it is absent or 0. */
    static long position(Reply reply) {
        long position = Clock.ofUnixMillis(number(reply.parameter(WAL_TIME)));
        return position == 0 ? RoutingPolicy.NONE : position;
    }

    /** The report that came with an answer, or null. */
    static Report report(Reply reply) {
        return report(reply.parameter(STATS));
    }

    /** Reads {@code name=value,name=value}; null for no text. Unknown names are passed over. */
    static Report report(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals).trim(), number(pair.substring(equals + 1).trim()));
            }
        }
        double primary = values.getOrDefault("x1", Double.NaN);
        Role role = Double.isNaN(primary) ? Role.UNKNOWN : primary == 1 ? Role.PRIMARY : Role.REPLICA;
        // Positions in reports are Unix seconds; 0 is one too, of long ago: what stands beside it is as old.
        double seconds = values.getOrDefault("x0", Double.NaN);
        long position = Double.isNaN(seconds) ? RoutingPolicy.NONE : Clock.ofUnixSeconds(seconds);
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
