package ledgewall.net;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.discovery.MemberListWatcher;
import ledgewall.standin.Client;
import ledgewall.standin.StandInServer;
import ledgewall.standin.Wire;

/** A router with a scripted policy between stand-ins, closed together at the end of a test. */
final class RouterHarness implements Closeable {
    static final long MS = 1_000_000L;
    /** Waits for watches and says nothing. */
    private static final StandInServer.Script SILENT = StandInServer.Connection::awaitEnd;

    private final List<Closeable> parts = new ArrayList<>();
    private final List<String> members = new ArrayList<>();
    private StandInServer discovery;
    private long connectTimeoutMs = 10_000;
    private long idleMs = 60_000;
    private int sockets = 1_024;
    private String push = "push";
    private String peers = "";
    private String listen = "127.0.0.1:0";
    private boolean parallel = true;
    /** A script tells calls apart by their order, so only tests of checks have them. */
    private MemberListWatcher.Pace pace = MemberListWatcher.Pace.UNCHECKED;
    private Classifier classifier;
    private Router router;

    RouterHarness host(String id, StandInServer host) {
        parts.add(host::close);
        return member(id, host.address());
    }

    RouterHarness member(String id, String address) {
        members.add(entry(id, address, "Ready", 0));
        return this;
    }

    static String entry(String id, String address, String phase, long up) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"south\",\"flavor\":\"small\","
            + "\"cell\":2,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + up + "}";
    }

    RouterHarness discovery(StandInServer.Script script) throws IOException {
        discovery = new StandInServer(script);
        parts.add(discovery::close);
        return this;
    }

    String discoveryAddress() {
        return discovery.address();
    }

    RouterHarness connectTimeout(long millis) {
        connectTimeoutMs = millis;
        return this;
    }

    RouterHarness idle(long millis) {
        idleMs = millis;
        return this;
    }

    RouterHarness sockets(int count) {
        sockets = count;
        return this;
    }

    RouterHarness listsOnlyWhenAsked() {
        push = "ask";
        return this;
    }

    RouterHarness classifier(Classifier says) {
        classifier = says;
        return this;
    }

    RouterHarness checked() {
        pace = MemberListWatcher.Pace.USUAL;
        return this;
    }

    RouterHarness oneAttemptAtATime() {
        parallel = false;
        return this;
    }

    RouterHarness listen(String address) {
        listen = address;
        return this;
    }

    RouterHarness peers(String json) {
        peers = json;
        return this;
    }

    String config() throws IOException {
        if (discovery == null) {
            discovery(SILENT);
        }
        return "{\"name\":\"r1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address() + "\","
            + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "}," + peers
            + "\"known\":{\"revision\":41,\"complete\":true,\"members\":[" + String.join(",", members) + "]},"
            + "\"settings\":{\"peersTotal\":" + routers() + ",\"rank\":0,"
            + "\"areas\":[\"north\",\"south\"],\"kinds\":[\"small\"],\"discovery\":\"" + push + "\","
            + "\"ceilings\":{\"maxAttempts\":3,\"parallelTries\":" + parallel + ",\"cancel\":true,\"probing\":true,"
            + "\"peers\":" + !peers.isEmpty() + ",\"connIdleNs\":" + idleMs * MS + ",\"connectTimeoutNs\":"
            + connectTimeoutMs * MS + "},"
            + "\"report\":{\"how\":\"probe\",\"fields\":[\"x0\",\"x1\"]},\"rules\":{\"answerSlackNs\":20000000},"
            + "\"domain\":{\"needsByClass\":[\"any\",\"write\",\"session\"],\"tokens\":\"carried\"},"
            + "\"tenants\":[{\"name\":\"acme\"},{\"name\":\"zeta\"}],"
            + "\"classes\":[{\"name\":\"look\",\"aimNs\":300000000,\"deadlineNs\":900000000,\"effect\":\"idempotent\"},"
            + "{\"name\":\"put\",\"aimNs\":300000000,\"deadlineNs\":900000000},"
            + "{\"name\":\"own\",\"aimNs\":300000000,\"deadlineNs\":900000000,\"effect\":\"idempotent\"}]}}";
    }

    /** As many as 'peers' names. */
    private int routers() {
        String[] array = peers.split("\\[");
        return array.length < 2 ? 1 : array[1].split("]")[0].split(",").length;
    }

    Router start(RoutingPolicy policy) throws IOException {
        RouterConfig config = RouterConfig.parse(config().getBytes(StandardCharsets.UTF_8), "config");
        router = Router.start(config, (settings, seed) -> policy, pace, classifier);
        parts.add(0, router::close);
        return router;
    }

    Router router() {
        return router;
    }

    Client client() throws IOException {
        Client client = Client.started(router.listenAddress());
        parts.add(0, client::close);
        return client;
    }

    Client stranger() throws IOException {
        Client client = new Client(router.listenAddress());
        parts.add(0, client::close);
        return client;
    }

    static String sql(String fields) {
        return "/* " + fields + " */ SELECT data FROM facts WHERE code = 'k1'";
    }

    /** A query of class look that waits long enough for any machine. */
    static byte[] look(String id) {
        return Wire.query(sql("id=" + id + ",c=look,t=acme,d=60000,cluster=2"));
    }

    @Override
    public void close() throws IOException {
        for (Closeable part : parts) {
            part.close();
        }
    }
}
