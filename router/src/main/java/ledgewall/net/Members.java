package ledgewall.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ListKind;
import ledgewall.RoutingPolicy.Listing;
import ledgewall.discovery.ListUpdate;
import ledgewall.discovery.Member;
import ledgewall.settings.FormatException;
import ledgewall.settings.Vocabulary;

/** The known members by id, each with its connection pool; passes member lists on to the policy. */
final class Members {
    private final RouterContext context;
    private final NameInterner zoneIndexes;
    private final NameInterner kindIndexes;
    private final Map<String, HostPool> pools = new LinkedHashMap<>();
    /** Members that the policy has removed. Each is dropped with its last connection, or kept if a list names it again. */
    private final Map<String, HostPool> removed = new HashMap<>();
    /** Groups that lists have named; their number is bounded by the deployment. */
    private final Set<Long> knownGroups = new HashSet<>();

    Members(RouterContext context, Vocabulary vocabulary) {
        this.context = context;
        this.zoneIndexes = new NameInterner(vocabulary.zones());
        this.kindIndexes = new NameInterner(vocabulary.kinds());
    }

    /** The member's connection pool, or null if the member is not known. */
    HostPool pool(String id) {
        return pools.get(id);
    }

    /** Whether a list has named this group; true for every group as long as no list has arrived. */
    boolean knowsGroup(long group) {
        return knownGroups.isEmpty() || knownGroups.contains(group);
    }

    /** Applies a list and passes it to the policy. */
    void applyList(ListUpdate update, ListKind kind) {
        update.members().forEach(this::addOrUpdate);
        if (update.complete()) {
            Set<String> listed = update.members().stream().map(Member::id).collect(Collectors.toSet());
            pools.forEach((id, pool) -> {
                if (!listed.contains(id)) {
                    pool.closeIdle();
                }
            });
        }
        context.loop().postEvent(new RoutingPolicy.MemberList(kind, update.members().stream().map(this::toListing).toList()));
    }

    private void addOrUpdate(Member member) {
        HostPool pool = pools.get(member.id());
        if (member.phase() == Member.Phase.GONE) {
            if (pool != null) {
                pool.closeIdle();
            }
            return;
        }
        removed.remove(member.id());
        knownGroups.add(member.cell());
        InetSocketAddress address = RouterConfig.parseAddress("discovery", member.id(), member.address());
        if (pool == null) {
            pools.put(member.id(), new HostPool(context, address));
        } else {
            pool.changeAddress(address);
        }
    }

    /** Throws a {@link FormatException} if an entry has an invalid address or no id; such a list is not applied. */
    static void validate(ListUpdate update) {
        for (Member member : update.members()) {
            if (member.phase() != Member.Phase.GONE) {
                RouterConfig.parseAddress("discovery", member.id(), member.address());
            } else if (member.id().isEmpty()) {
                throw new FormatException("discovery: member without an id");
            }
        }
    }

    private Listing toListing(Member member) {
        RoutingPolicy.Phase phase = switch (member.phase()) {
            case READY -> RoutingPolicy.Phase.SERVING;
            case TERMINATING -> RoutingPolicy.Phase.DRAINING;
            case GONE -> RoutingPolicy.Phase.GONE;
        };
        return new Listing(member.id(), member.cell(), zoneIndexes.indexOf(member.locality()),
            kindIndexes.indexOf(member.flavor()), phase, member.size(), member.primary(),
            Clock.ofUnixMillis(member.upSinceMillis()));
    }

    /** Drops a member that the policy has removed once its last connection is closed, unless a list names it again. */
    void forget(String id) {
        HostPool pool = pools.get(id);
        if (pool != null) {
            pool.closeIdle();
            removed.put(id, pool);
        }
    }

    /**
     * Describes the open connections of each member that has any, and how long ago it last answered a request or a probe,
     * as seen from the router.
     */
    String describeConnections() {
        long now = context.loop().now();
        List<String> descriptions = new ArrayList<>();
        pools.forEach((id, pool) -> {
            if (!pool.isEmpty()) {
                String lastAnswer = pool.lastAnswerAt() == 0 ? "none answered yet"
                    : "answered " + Clock.nanosToMillis(now - pool.lastAnswerAt()) + " ms ago";
                descriptions.add(id + ": " + pool.busyCount() + " in flight, " + pool.idleCount() + " idle, " + lastAnswer
                    + (removed.containsKey(id) ? ", gone" : ""));
            }
        });
        return pools.size() + " known, " + descriptions.size() + " with connections: " + String.join("; ", descriptions);
    }

    /** The number of known members, including removed ones that still have connections. */
    int size() {
        return pools.size();
    }

    /** Drops removed members without open connections, and closes connections that have been idle for too long. */
    void sweep() {
        removed.entrySet().removeIf(entry -> entry.getValue().isEmpty() && pools.remove(entry.getKey(), entry.getValue()));
        context.idleConnections().closeExpired(context.loop().now());
    }
}
