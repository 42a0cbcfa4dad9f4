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
        Fields ceilings = root.object("ceilings");
        Fields domain = root.object("domain");
        Fields rules = root.object("rules");
        return new RoutingPolicy.Settings(
            (int) root.integer("peersTotal", 1), (int) root.integer("rank", 0), (int) root.integer("zone", 0),
            root.integer("tickNs", NANOS_PER_MILLI), "ask".equals(root.text("discovery", "push")),
            classes(root, domain), tenants(root), root.decimal("overShareWorth", 1),
            new RoutingPolicy.Limits(
                (int) ceilings.integer("maxAttempts", 1), ceilings.flag("parallelTries", false),
                ceilings.flag("cancel", false), ceilings.flag("probing", false), ceilings.flag("peers", false),
                ceilings.flag("retryAfter", false), ceilings.integer("maxRetryAfterNs", 0),
                ceilings.integer("connectTimeoutNs", 0), (int) ceilings.integer("maxOpen", Integer.MAX_VALUE)),
            replication(root, domain),
            new RoutingPolicy.Constraints(
                rules.integer("answerSlackNs", 0), rules.integer("askWithinNs", 0),
                rules.integer("stopSendingWithinNs", 0), rules.flag("drainBindsAlone", false),
                rules.decimal("coldShare", 1), rules.integer("warmAfterNs", 0),
                rules.decimal("overloadFactor", 1), rules.integer("fallNs", 0)));
    }

    private static List<RoutingPolicy.RequestClass> classes(Fields root, Fields domain) {
        List<?> needs = domain.elements("needsByClass");
        List<?> bounds = domain.elements("stalenessBoundNs");
        List<RoutingPolicy.RequestClass> classes = new ArrayList<>();
        for (Fields entry : root.objects("classes")) {
            int index = classes.size();
            Object need = index < needs.size() ? needs.get(index) : null;
            Object bound = index < bounds.size() ? bounds.get(index) : null;
            classes.add(new RoutingPolicy.RequestClass(
                consistency(entry.location(), need), bound instanceof Number number ? number.longValue() : 0,
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

    private static RoutingPolicy.ReplicationSettings replication(Fields root, Fields domain) {
        Fields report = root.object("report");
        boolean hasReports = !"none".equals(report.text("how", "none"));
        List<?> fields = report.elements("fields");
        RoutingPolicy.StaleReadHandling staleReadHandling = switch (domain.text("behind", "none")) {
            case "refuse" -> RoutingPolicy.StaleReadHandling.REFUSES;
            case "wait" -> RoutingPolicy.StaleReadHandling.WAITS;
            default -> RoutingPolicy.StaleReadHandling.SERVES;
        };
        RoutingPolicy.ListedRoleTiming listedRoleTiming = switch (domain.text("roleListed", "none")) {
            case "late" -> RoutingPolicy.ListedRoleTiming.DELAYED;
            case "start" -> RoutingPolicy.ListedRoleTiming.AT_START;
            default -> RoutingPolicy.ListedRoleTiming.NEVER;
        };
        return new RoutingPolicy.ReplicationSettings(
            staleReadHandling, domain.integer("catchUpWaitNs", 0), domain.flag("positions", false),
            "carried".equals(domain.text("tokens", "remembered")), listedRoleTiming,
            hasReports && fields.contains("x0"), hasReports && fields.contains("x1"));
    }

    /** Reads the names that a protocol uses in place of the indexes of the settings. */
    public static Vocabulary vocabulary(Fields root) {
        return new Vocabulary(names(root.objects("classes")), names(root.objects("tenants")),
            strings(root.elements("areas")), strings(root.elements("kinds")));
    }

    /** Reads the limits that the transport applies. */
    public static TransportLimits transportLimits(Fields root) {
        Fields ceilings = root.object("ceilings");
        Fields report = root.object("report");
        return new TransportLimits(
            ceilings.integer("connIdleNs", 0), ceilings.integer("connectTimeoutNs", 0),
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
