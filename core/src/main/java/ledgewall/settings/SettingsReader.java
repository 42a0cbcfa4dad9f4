package ledgewall.settings;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;

/** Reads the settings object of a simulator or a router. */
public final class SettingsReader {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SettingsReader() {
    }

    /** Reads the policy's settings from the object that a simulator's first message or a router's configuration holds. */
    public static RoutingPolicy.Settings settings(Fields root) {
        Fields limits = root.object("ceilings");
        Fields replication = root.object("domain");
        Fields constraints = root.object("rules");
        return new RoutingPolicy.Settings(
            (int) root.integer("peersTotal", 1), (int) root.integer("rank", 0), (int) root.integer("zone", 0),
            root.integer("tickNs", NANOS_PER_MILLI), "ask".equals(root.text("discovery", "push")),
            classes(root, replication), tenants(root), root.decimal("overShareWorth", 1),
            new RoutingPolicy.Limits(
                (int) limits.integer("maxAttempts", 1), limits.flag("parallelTries", false),
                limits.flag("cancel", false), limits.flag("probing", false), limits.flag("peers", false),
                limits.flag("retryAfter", false), limits.integer("maxRetryAfterNs", 0),
                limits.integer("connectTimeoutNs", 0), (int) limits.integer("maxOpen", Integer.MAX_VALUE)),
            replication(root, replication),
            new RoutingPolicy.Constraints(
                constraints.integer("answerSlackNs", 0), constraints.integer("askWithinNs", 0),
                constraints.integer("stopSendingWithinNs", 0), constraints.flag("drainBindsAlone", false),
                constraints.decimal("coldShare", 1), constraints.integer("warmAfterNs", 0),
                constraints.decimal("overloadFactor", 1), constraints.integer("fallNs", 0)));
    }

    private static List<RoutingPolicy.RequestClass> classes(Fields root, Fields replication) {
        List<?> consistencies = replication.elements("needsByClass");
        List<?> stalenessBounds = replication.elements("stalenessBoundNs");
        List<RoutingPolicy.RequestClass> classes = new ArrayList<>();
        for (Fields entry : root.objects("classes")) {
            int index = classes.size();
            Object consistency = index < consistencies.size() ? consistencies.get(index) : null;
            Object stalenessBound = index < stalenessBounds.size() ? stalenessBounds.get(index) : null;
            classes.add(new RoutingPolicy.RequestClass(
                consistency(entry.location(), consistency), stalenessBound instanceof Number number ? number.longValue() : 0,
                retrySafety(entry), deduplicationScope(entry), entry.integer("windowNs", 0), entry.integer("aimNs"),
                entry.integer("deadlineNs"), entry.decimal("points", 1), entry.decimal("lateValue", 0),
                entry.flag("stream", false)));
        }
        return List.copyOf(classes);
    }

    private static RoutingPolicy.Consistency consistency(String location, Object value) {
        if (value == null) {
            return RoutingPolicy.Consistency.ANY;
        }
        return switch (value.toString()) {
            case "any" -> RoutingPolicy.Consistency.ANY;
            case "bounded" -> RoutingPolicy.Consistency.BOUNDED;
            case "session" -> RoutingPolicy.Consistency.SESSION;
            case "fresh" -> RoutingPolicy.Consistency.FRESH;
            case "write" -> RoutingPolicy.Consistency.WRITE;
            default -> throw new FormatException(location + ": unknown need '" + value + "'");
        };
    }

    private static RoutingPolicy.RetrySafety retrySafety(Fields entry) {
        String value = entry.text("effect", "at_most_once");
        return switch (value) {
            case "idempotent" -> RoutingPolicy.RetrySafety.IDEMPOTENT;
            case "deduplicated" -> RoutingPolicy.RetrySafety.DEDUPLICATED;
            case "at_most_once" -> RoutingPolicy.RetrySafety.AT_MOST_ONCE;
            default -> throw new FormatException(entry.location() + ": unknown effect '" + value + "'");
        };
    }

    private static RoutingPolicy.DeduplicationScope deduplicationScope(Fields entry) {
        return switch (entry.text("group", "cell")) {
            case "all" -> RoutingPolicy.DeduplicationScope.ALL;
            case "zone" -> RoutingPolicy.DeduplicationScope.ZONE;
            default -> RoutingPolicy.DeduplicationScope.GROUP;
        };
    }

    private static List<RoutingPolicy.Tenant> tenants(Fields root) {
        return root.objects("tenants").stream()
            .map(tenant -> new RoutingPolicy.Tenant(
                tenant.decimal("allowancePerS", Double.MAX_VALUE), tenant.decimal("share", 1)))
            .toList();
    }

    private static RoutingPolicy.ReplicationSettings replication(Fields root, Fields replication) {
        Fields report = root.object("report");
        boolean hasReports = !"none".equals(report.text("how", "none"));
        List<?> reportedFields = report.elements("fields");
        RoutingPolicy.StaleReadHandling staleReadHandling = switch (replication.text("behind", "none")) {
            case "refuse" -> RoutingPolicy.StaleReadHandling.REFUSES;
            case "wait" -> RoutingPolicy.StaleReadHandling.WAITS;
            default -> RoutingPolicy.StaleReadHandling.SERVES;
        };
        RoutingPolicy.ListedRoleTiming listedRoleTiming = switch (replication.text("roleListed", "none")) {
            case "late" -> RoutingPolicy.ListedRoleTiming.DELAYED;
            case "start" -> RoutingPolicy.ListedRoleTiming.AT_START;
            default -> RoutingPolicy.ListedRoleTiming.NEVER;
        };
        return new RoutingPolicy.ReplicationSettings(
            staleReadHandling, replication.integer("catchUpWaitNs", 0), replication.flag("positions", false),
            "carried".equals(replication.text("tokens", "remembered")), listedRoleTiming,
            hasReports && reportedFields.contains("x0"), hasReports && reportedFields.contains("x1"));
    }

    /** Reads the names that a protocol uses in place of the indexes of the settings. */
    public static Vocabulary vocabulary(Fields root) {
        return new Vocabulary(names(root.objects("classes")), names(root.objects("tenants")),
            strings(root.elements("areas")), strings(root.elements("kinds")));
    }

    /** Reads the limits that the transport applies. */
    public static TransportLimits transportLimits(Fields root) {
        Fields limits = root.object("ceilings");
        Fields report = root.object("report");
        return new TransportLimits(
            limits.integer("connIdleNs", 0), limits.integer("connectTimeoutNs", 0),
            root.object("rules").integer("answerSlackNs", 0),
            root.objects("classes").stream().mapToLong(entry -> entry.integer("deadlineNs")).max().orElse(0),
            !"none".equals(report.text("how", "none")));
    }

    private static List<String> names(List<Fields> entries) {
        return entries.stream().map(entry -> entry.text("name")).toList();
    }

    private static List<String> strings(List<?> elements) {
        return elements.stream().map(Object::toString).toList();
    }
}
