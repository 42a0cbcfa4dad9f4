package ledgewall.settings;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;

/** Reads the settings object for whichever host runs the policy. Decides nothing. */
public final class SettingsReader {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SettingsReader() {
    }

    /** Reads the settings object as a simulator's first message or a router's configuration holds it. */
    public static RoutingPolicy.Settings settings(Fields info) {
        Fields ceilings = info.object("ceilings");
        Fields domain = info.object("domain");
        Fields rules = info.object("rules");
        return new RoutingPolicy.Settings(
            (int) info.integer("peersTotal", 1), (int) info.integer("rank", 0), (int) info.integer("zone", 0),
            info.integer("tickNs", NANOS_PER_MILLI), "ask".equals(info.text("discovery", "push")),
            classes(info, domain), tenants(info), info.decimal("overShareWorth", 1),
            new RoutingPolicy.Limits(
                (int) ceilings.integer("maxAttempts", 1), ceilings.flag("parallelTries", false),
                ceilings.flag("cancel", false), ceilings.flag("probing", false), ceilings.flag("peers", false),
                ceilings.flag("retryAfter", false), ceilings.integer("maxRetryAfterNs", 0),
                ceilings.integer("connectTimeoutNs", 0), (int) ceilings.integer("maxOpen", Integer.MAX_VALUE)),
            data(info, domain),
            new RoutingPolicy.Rules(
                rules.integer("answerSlackNs", 0), rules.integer("askWithinNs", 0),
                rules.integer("stopSendingWithinNs", 0), rules.flag("drainBindsAlone", false),
                rules.decimal("coldShare", 1), rules.integer("warmAfterNs", 0),
                rules.decimal("overloadFactor", 1), rules.integer("fallNs", 0)));
    }

    private static List<RoutingPolicy.RequestClass> classes(Fields info, Fields domain) {
        List<?> needs = domain.elements("needsByClass");
        List<?> bounds = domain.elements("stalenessBoundNs");
        List<RoutingPolicy.RequestClass> classes = new ArrayList<>();
        for (Fields entry : info.objects("classes")) {
            int index = classes.size();
            Object need = index < needs.size() ? needs.get(index) : null;
            Object bound = index < bounds.size() ? bounds.get(index) : null;
            classes.add(new RoutingPolicy.RequestClass(
                need(entry.where(), need), bound instanceof Number number ? number.longValue() : 0,
                effect(entry), repeatScope(entry), entry.integer("windowNs", 0), entry.integer("aimNs"),
                entry.integer("deadlineNs"), entry.decimal("points", 1), entry.decimal("lateValue", 0),
                entry.flag("stream", false)));
        }
        return List.copyOf(classes);
    }

    private static RoutingPolicy.Need need(String where, Object word) {
        if (word == null) {
            return RoutingPolicy.Need.ANY;
        }
        return switch (word.toString()) {
            case "any" -> RoutingPolicy.Need.ANY;
            case "bounded" -> RoutingPolicy.Need.BOUNDED;
            case "session" -> RoutingPolicy.Need.SESSION;
            case "fresh" -> RoutingPolicy.Need.FRESH;
            case "write" -> RoutingPolicy.Need.WRITE;
            default -> throw new FormatException(where + ": unknown need '" + word + "'");
        };
    }

    private static RoutingPolicy.Effect effect(Fields entry) {
        String word = entry.text("effect", "at_most_once");
        return switch (word) {
            case "idempotent" -> RoutingPolicy.Effect.IDEMPOTENT;
            case "deduplicated" -> RoutingPolicy.Effect.DEDUPLICATED;
            case "at_most_once" -> RoutingPolicy.Effect.AT_MOST_ONCE;
            default -> throw new FormatException(entry.where() + ": unknown effect '" + word + "'");
        };
    }

    private static RoutingPolicy.RepeatScope repeatScope(Fields entry) {
        return switch (entry.text("group", "cell")) {
            case "all" -> RoutingPolicy.RepeatScope.ALL;
            case "zone" -> RoutingPolicy.RepeatScope.ZONE;
            default -> RoutingPolicy.RepeatScope.GROUP;
        };
    }

    private static List<RoutingPolicy.Tenant> tenants(Fields info) {
        return info.objects("tenants").stream()
            .map(tenant -> new RoutingPolicy.Tenant(
                tenant.decimal("allowancePerS", Double.MAX_VALUE), tenant.decimal("share", 1)))
            .toList();
    }

    private static RoutingPolicy.Data data(Fields info, Fields domain) {
        Fields report = info.object("report");
        boolean reports = !"none".equals(report.text("how", "none"));
        List<?> fields = report.elements("fields");
        RoutingPolicy.Behind behind = switch (domain.text("behind", "none")) {
            case "refuse" -> RoutingPolicy.Behind.REFUSES;
            case "wait" -> RoutingPolicy.Behind.WAITS;
            default -> RoutingPolicy.Behind.ANSWERS;
        };
        RoutingPolicy.ListedRole listed = switch (domain.text("roleListed", "none")) {
            case "late" -> RoutingPolicy.ListedRole.LATE;
            case "start" -> RoutingPolicy.ListedRole.AT_START;
            default -> RoutingPolicy.ListedRole.NEVER;
        };
        return new RoutingPolicy.Data(
            behind, domain.integer("catchUpWaitNs", 0), domain.flag("positions", false),
            "carried".equals(domain.text("tokens", "remembered")), listed,
            reports && fields.contains("x0"), reports && fields.contains("x1"));
    }

    /** The names that stand for the settings' indexes on a protocol that speaks in names. */
    public static Vocabulary vocabulary(Fields info) {
        return new Vocabulary(names(info.objects("classes")), names(info.objects("tenants")),
            words(info.elements("areas")), words(info.elements("kinds")));
    }

    /** What the transport itself has to keep to. */
    public static TransportLimits transportLimits(Fields info) {
        Fields ceilings = info.object("ceilings");
        Fields report = info.object("report");
        return new TransportLimits(
            ceilings.integer("connIdleNs", 0), ceilings.integer("connectTimeoutNs", 0),
            info.object("rules").integer("answerSlackNs", 0),
            info.objects("classes").stream().mapToLong(entry -> entry.integer("deadlineNs")).max().orElse(0),
            !"none".equals(report.text("how", "none")));
    }

    private static List<String> names(List<Fields> entries) {
        return entries.stream().map(entry -> entry.text("name")).toList();
    }

    private static List<String> words(List<?> elements) {
        return elements.stream().map(Object::toString).toList();
    }
}
