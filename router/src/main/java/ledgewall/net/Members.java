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

/** The members by id: where each is reached, over which connections, and what the policy is told of it. */
final class Members {
    private final RouterContext wiring;
    private final NameInterner zones;
    private final NameInterner kinds;
    private final Map<String, HostPool> hosts = new LinkedHashMap<>();
    /** Members that the policy has done with; each leaves with its last connection, or when it is listed again. */
    private final Map<String, HostPool> forgotten = new HashMap<>();
    /** Groups that lists have named: as many as the deployment has. */
    private final Set<Long> groups = new HashSet<>();

    Members(RouterContext wiring, Vocabulary vocabulary) {
        this.wiring = wiring;
        this.zones = new NameInterner(vocabulary.zones());
        this.kinds = new NameInterner(vocabulary.kinds());
    }

    /** The member's connections, or null if it was never listed. */
    HostPool host(String id) {
        return hosts.get(id);
    }

    /** Whether any list has named this group; without any list nobody can tell. */
    boolean knowsGroup(long group) {
        return groups.isEmpty() || groups.contains(group);
    }

    /** Takes a list in and tells the policy. */
    void learn(ListUpdate update, ListKind kind) {
        update.members().forEach(this::place);
        if (update.complete()) {
            Set<String> listed = update.members().stream().map(Member::id).collect(Collectors.toSet());
            hosts.forEach((id, host) -> {
                if (!listed.contains(id)) {
                    host.closeIdle();
                }
            });
        }
        wiring.loop().postEvent(new RoutingPolicy.MemberList(kind, update.members().stream().map(this::listing).toList()));
    }

    private void place(Member member) {
        HostPool host = hosts.get(member.id());
        if (member.phase() == Member.Phase.GONE) {
            if (host != null) {
                host.closeIdle();
            }
            return;
        }
        forgotten.remove(member.id());
        groups.add(member.cell());
        InetSocketAddress address = RouterConfig.address("discovery", member.id(), member.address());
        if (host == null) {
            hosts.put(member.id(), new HostPool(wiring, address));
        } else {
            host.moveTo(address);
        }
    }

    /** Whether every entry that needs an address has one; a list with a bad one is not taken in. */
    static void check(ListUpdate update) {
        for (Member member : update.members()) {
            if (member.phase() != Member.Phase.GONE) {
                RouterConfig.address("discovery", member.id(), member.address());
            } else if (member.id().isEmpty()) {
                throw new FormatException("discovery: a member without an id");
            }
        }
    }

    private Listing listing(Member member) {
        RoutingPolicy.Phase phase = switch (member.phase()) {
            case READY -> RoutingPolicy.Phase.SERVING;
            case TERMINATING -> RoutingPolicy.Phase.DRAINING;
            case GONE -> RoutingPolicy.Phase.GONE;
        };
        return new Listing(member.id(), member.cell(), zones.index(member.locality()), kinds.index(member.flavor()),
            phase, member.size(), member.primary(), Clock.ofUnixMillis(member.upSinceMillis()));
    }

    /** The policy has done with a member: it goes once nothing of it is open, unless a list names it again. */
    void forget(String id) {
        HostPool host = hosts.get(id);
        if (host != null) {
            host.closeIdle();
            forgotten.put(id, host);
        }
    }

    /**
     * What is open to each member that anything is open to, and how long ago it last answered a request or a probe: the
     * router's side of the sockets.
     */
    String view() {
        long now = wiring.loop().now();
        List<String> open = new ArrayList<>();
        hosts.forEach((id, host) -> {
            if (!host.isEmpty()) {
                String answered = host.lastAnswer() == 0 ? "none answered yet"
                    : "answered " + Clock.nanosToMillis(now - host.lastAnswer()) + " ms ago";
                open.add(id + ": " + host.busy() + " in flight, " + host.idle() + " idle, " + answered
                    + (forgotten.containsKey(id) ? ", gone" : ""));
            }
        });
        return hosts.size() + " known, " + open.size() + " with connections: " + String.join("; ", open);
    }

    /** Members known, those that are being forgotten included. */
    int size() {
        return hosts.size();
    }

    /** Forgets the members of which nothing is open any more, and closes connections that have been idle for long. */
    void sweep() {
        forgotten.entrySet().removeIf(entry -> entry.getValue().isEmpty() && hosts.remove(entry.getKey(), entry.getValue()));
        wiring.idleConnections().closeOld(wiring.loop().now());
    }

    void closeAll() {
        hosts.values().forEach(HostPool::closeAll);
    }
}
