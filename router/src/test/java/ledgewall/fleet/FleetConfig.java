package ledgewall.fleet;

/** The configuration of one router of a hundred, and the entries of its list. */
final class FleetConfig {
    static final int ROUTERS = 100;
    static final int RANK = 7;
    /** Hosts of a group. */
    static final int GROUP = 4;

    private FleetConfig() {
    }

    /** The number of a group's primary: not at the same place in each group. */
    static int primary(int group) {
        return group * GROUP + group % GROUP;
    }

    static boolean isPrimary(int host) {
        return host == primary(host / GROUP);
    }

    /** The number of the member that takes a primary's place. */
    static int successor(int group) {
        return group * GROUP + (group + 1) % GROUP;
    }

    static String entry(int host, String address, long startedAt) {
        return "{\"id\":\"s-" + host + "\",\"host_port\":\"" + address + "\",\"locality\":\"south\",\"flavor\":\"small\","
            + "\"cell\":" + host / GROUP + ",\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":" + startedAt + "}";
    }

    /** A router's file, with %s for its listening address; {@code fellows} names the others, or is empty. */
    static String router(MemberDirectory directory, int sockets, String fellows) {
        return "{\"name\":\"r1\",\"listen\":\"%s\",\"discovery\":\"" + directory.address() + "\",\"seed\":\"1c\"," + fellows
            + "\"limits\":{\"sockets\":" + sockets + "},\"known\":" + directory.whole()
            + ",\"settings\":{\"peersTotal\":" + ROUTERS + ",\"rank\":" + RANK
            + ",\"areas\":[\"north\",\"south\"],\"kinds\":[\"small\"],\"discovery\":\"push\",\"ceilings\":{\"maxAttempts\":10,"
            + "\"cancel\":true,\"probing\":true,\"peers\":" + !fellows.isEmpty() + ",\"connIdleNs\":30000000000,"
            + "\"connectTimeoutNs\":250000000},\"report\":{\"how\":\"probe\",\"fields\":[\"x0\",\"x1\"]},"
            + "\"rules\":{\"answerSlackNs\":20000000,\"stopSendingWithinNs\":2000000000,\"overloadWindowNs\":3000000000},"
            + "\"domain\":{\"needsByClass\":[\"any\",\"write\"],\"behind\":\"refuse\"},"
            + "\"classes\":[{\"name\":\"look\",\"effect\":\"idempotent\",\"aimNs\":300000000,\"deadlineNs\":800000000},"
            + "{\"name\":\"put\",\"effect\":\"at_most_once\",\"aimNs\":300000000,\"deadlineNs\":800000000}]}}";
    }
}
