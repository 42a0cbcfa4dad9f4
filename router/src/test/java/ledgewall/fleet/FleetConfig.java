package ledgewall.fleet;

/** The configuration of one router in a fleet of a hundred, and the entries of its member list. */
final class FleetConfig {
    static final int ROUTERS = 100;
    /** The rank of the router under test. */
    static final int RANK = 7;
    /** The number of members in a group. */
    static final int GROUP_SIZE = 4;

    private FleetConfig() {
    }

    /** The number of a group's primary, which has a different index in neighboring groups. */
    static int primaryOf(int group) {
        return group * GROUP_SIZE + group % GROUP_SIZE;
    }

    static boolean isPrimary(int host) {
        return host == primaryOf(host / GROUP_SIZE);
    }

    /** The number of the replica that becomes the primary in a failover. */
    static int successorOf(int group) {
        return group * GROUP_SIZE + (group + 1) % GROUP_SIZE;
    }

    /** The JSON entry of a member; {@code startedAtMs} is a Unix time in milliseconds, or 0 for long ago. */
    static String entry(int host, String address, long startedAtMs) {
        return "{\"id\":\"s-" + host + "\",\"host_port\":\"" + address + "\",\"locality\":\"south\",\"flavor\":\"small\","
            + "\"cell\":" + host / GROUP_SIZE + ",\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":" + startedAtMs + "}";
    }

    /**
     * The configuration file of the router under test, with %s in place of its listening address.
     *
     * @param peerSettings the settings that name its peers; empty for a router without peers
     */
    static String routerConfig(DiscoveryServer discovery, int sockets, String peerSettings) {
        return routerConfig(discovery, sockets, peerSettings, ROUTERS, RANK);
    }

    /** The configuration file of a router that has its members to itself, with %s in place of its listening address. */
    static String singleRouterConfig(DiscoveryServer discovery, int sockets) {
        return routerConfig(discovery, sockets, "", 1, 0);
    }

    private static String routerConfig(DiscoveryServer discovery, int sockets, String peerSettings, int routers, int rank) {
        return "{\"name\":\"r1\",\"listen\":\"%s\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\"1c\"," + peerSettings
            + "\"limits\":{\"sockets\":" + sockets + "},\"known\":" + discovery.fullList()
            + ",\"settings\":{\"peersTotal\":" + routers + ",\"rank\":" + rank
            + ",\"areas\":[\"north\",\"south\"],\"kinds\":[\"small\"],\"discovery\":\"push\",\"ceilings\":{\"maxAttempts\":10,"
            + "\"cancel\":true,\"probing\":true,\"peers\":" + !peerSettings.isEmpty() + ",\"connIdleNs\":30000000000,"
            + "\"connectTimeoutNs\":250000000},\"report\":{\"how\":\"probe\",\"fields\":[\"x0\",\"x1\"]},"
            + "\"rules\":{\"answerSlackNs\":20000000,\"stopSendingWithinNs\":2000000000,\"overloadWindowNs\":3000000000},"
            + "\"domain\":{\"needsByClass\":[\"any\",\"write\"],\"behind\":\"refuse\"},"
            + "\"classes\":[{\"name\":\"look\",\"effect\":\"idempotent\",\"aimNs\":300000000,\"deadlineNs\":800000000},"
            + "{\"name\":\"put\",\"effect\":\"at_most_once\",\"aimNs\":300000000,\"deadlineNs\":800000000}]}}";
    }
}
