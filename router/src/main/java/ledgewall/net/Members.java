package ledgewall.net;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
    private final Wiring wiring;
    private final Names zones;
    private final Names kinds;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Members that the policy has done with; each leaves with its last connection, or when it is listed again. */
    private final Map<String, Host> forgotten = new HashMap<>();
    /** Groups that lists have named: as many as the deployment has. */
    private final Set<Long> groups = new HashSet<>();

    /** Connections for requests and those for probes, which never wait for one another. */
    record Host(HostPool requests, HostPool probes) { }

    Members(Wiring wiring, Vocabulary vocabulary) {
        this.wiring = wiring;
        this.zones = new Names(vocabulary.zones());
        this.kinds = new Names(vocabulary.kinds());
    }

    /** The member's connections, or null if it was never listed. */
    Host host(String id) {
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
                    closeIdle(host);
                }
            });
        }
        wiring.loop().tell(new RoutingPolicy.MemberList(kind, update.members().stream().map(this::listing).toList()));
    }

    private void place(Member member) {
        Host host = hosts.get(member.id());
        if (member.phase() == Member.Phase.GONE) {
            if (host != null) {
                closeIdle(host);
            }
            return;
        }
        forgotten.remove(member.id());
        groups.add(member.cell());
        InetSocketAddress address = RouterConfig.address("discovery", member.id(), member.address());
        if (host == null) {
            hosts.put(member.id(), new Host(HostPool.forRequests(wiring, address), HostPool.forProbes(wiring, address)));
        } else {
            host.requests().moveTo(address);
            host.probes().moveTo(address);
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

    private static void closeIdle(Host host) {
        host.requests().closeIdle();
        host.probes().closeIdle();
    }

    /** Gives up the connection that has been idle for longest, of any member; false if there is none. */
    boolean closeOldestIdle() {
        HostPool pool = hosts.values().stream().map(Host::requests)
            .min(Comparator.comparingLong(HostPool::oldestIdle)).orElse(null);
        if (pool == null || pool.oldestIdle() == Long.MAX_VALUE) {
            return false;
        }
        wiring.counters().add(Counters.Count.IDLE_HOSTS_CLOSED);
        pool.closeOldestIdle();
        return true;
    }

    /** The policy has done with a member: it goes once nothing of it is open, unless a list names it again. */
    void forget(String id) {
        Host host = hosts.get(id);
        if (host != null) {
            closeIdle(host);
            forgotten.put(id, host);
        }
    }

    /** What is open to each member now, and how long ago it last answered a probe: the router's side of the sockets. */
    String view() {
        long now = wiring.loop().now();
        return hosts.entrySet().stream().map(entry -> {
            Host host = entry.getValue();
            long probed = host.probes().lastAnswer();
            return entry.getKey() + ": " + host.requests().busy() + " in flight, " + host.requests().idle() + " idle, "
                + (probed == 0 ? "no probe answered" : "probe answered " + Clock.toMillis(now - probed) + " ms ago")
                + (forgotten.containsKey(entry.getKey()) ? ", gone" : "");
        }).collect(Collectors.joining("; "));
    }

    /** Members known, those that are being forgotten included. */
    int size() {
        return hosts.size();
    }

    void retireOld() {
        forgotten.entrySet().removeIf(entry -> {
            boolean over = entry.getValue().requests().isEmpty() && entry.getValue().probes().isEmpty();
            return over && hosts.remove(entry.getKey(), entry.getValue());
        });
        hosts.values().forEach(host -> {
            host.requests().retireOld();
            host.probes().retireOld();
        });
    }

    void closeAll() {
        hosts.values().forEach(host -> {
            host.requests().closeAll();
            host.probes().closeAll();
        });
    }
}
