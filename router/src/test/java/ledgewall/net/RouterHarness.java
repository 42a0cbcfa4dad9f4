package ledgewall.net;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.discovery.MemberListWatcher;
import ledgewall.standin.Client;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;

/** Runs a router with a scripted policy between test servers and clients; closes all of them at the end of a test. */
final class RouterHarness implements Closeable {
    /** One millisecond in nanoseconds. */
    static final long MS = 1_000_000L;
    /** Accepts requests and never answers. */
    private static final StubServer.Script SILENT = StubServer.Connection::awaitClose;

    private final List<Closeable> closeables = new ArrayList<>();
    private final List<String> memberEntries = new ArrayList<>();
    private StubServer discovery;
    private long connectTimeoutMs = 10_000;
    private long idleTimeoutMs = 60_000;
    private int descriptorLimit = 1_024;
    private String discoveryMode = "push";
    /** Configuration fields about peers, as JSON with a trailing comma. */
    private String peersJson = "";
    private String listen = "127.0.0.1:0";
    private boolean parallelAttempts = true;
    /** For how long hosts drop repeats of the class 'keyed'; 0 without that class. */
    private long deduplicationWindowMs;
    /** Without checks by default: scripts of discovery rely on the order of its requests. */
    private MemberListWatcher.Checks listChecks = MemberListWatcher.Checks.DISABLED;
    private Classifier classifier;
    private Router router;

    RouterHarness host(String id, StubServer host) {
        closeables.add(host::close);
        return member(id, host.address());
    }

    RouterHarness member(String id, String address) {
        memberEntries.add(memberJson(id, address, "Ready", 0));
        return this;
    }

    static String memberJson(String id, String address, String phase, long upSinceMillis) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"south\",\"flavor\":\"small\","
            + "\"cell\":2,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMillis + "}";
    }

    RouterHarness discovery(StubServer.Script script) throws IOException {
        discovery = new StubServer(script);
        closeables.add(discovery::close);
        return this;
    }

    String discoveryAddress() {
        return discovery.address();
    }

    RouterHarness connectTimeoutMs(long millis) {
        connectTimeoutMs = millis;
        return this;
    }

    RouterHarness idleTimeoutMs(long millis) {
        idleTimeoutMs = millis;
        return this;
    }

    RouterHarness descriptorLimit(int count) {
        descriptorLimit = count;
        return this;
    }

    RouterHarness withListsOnRequest() {
        discoveryMode = "ask";
        return this;
    }

    RouterHarness classifier(Classifier requestClassifier) {
        classifier = requestClassifier;
        return this;
    }

    RouterHarness withListChecks() {
        listChecks = MemberListWatcher.Checks.DEFAULT;
        return this;
    }

    RouterHarness withoutParallelAttempts() {
        parallelAttempts = false;
        return this;
    }

    /** Adds a class 'keyed' of writes that hosts deduplicate for this time. */
    RouterHarness deduplicationWindowMs(long millis) {
        deduplicationWindowMs = millis;
        return this;
    }

    RouterHarness listen(String address) {
        listen = address;
        return this;
    }

    RouterHarness peers(String json) {
        peersJson = json;
        return this;
    }

    String config() throws IOException {
        if (discovery == null) {
            discovery(SILENT);
        }
        return "{\"name\":\"r1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address() + "\","
            + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + descriptorLimit + "}," + peersJson
            + "\"known\":{\"revision\":41,\"complete\":true,\"members\":[" + String.join(",", memberEntries) + "]},"
            + "\"settings\":{\"peersTotal\":" + routerCount() + ",\"rank\":0,"
            + "\"areas\":[\"north\",\"south\"],\"kinds\":[\"small\"],\"discovery\":\"" + discoveryMode + "\","
            + "\"ceilings\":{\"maxAttempts\":3,\"parallelTries\":" + parallelAttempts + ",\"cancel\":true,\"probing\":true,"
            + "\"peers\":" + !peersJson.isEmpty() + ",\"connIdleNs\":" + idleTimeoutMs * MS + ",\"connectTimeoutNs\":"
            + connectTimeoutMs * MS + "},"
            + "\"report\":{\"how\":\"probe\",\"fields\":[\"x0\",\"x1\"]},\"rules\":{\"answerSlackNs\":20000000},"
            + "\"domain\":{\"needsByClass\":[\"any\",\"write\",\"session\""
            + (deduplicationWindowMs == 0 ? "" : ",\"write\"") + "],\"tokens\":\"carried\"},"
            + "\"tenants\":[{\"name\":\"acme\"},{\"name\":\"zeta\"}],"
            + "\"classes\":[{\"name\":\"look\",\"aimNs\":300000000,\"deadlineNs\":900000000,\"effect\":\"idempotent\"},"
            + "{\"name\":\"put\",\"aimNs\":300000000,\"deadlineNs\":900000000},"
            + "{\"name\":\"own\",\"aimNs\":300000000,\"deadlineNs\":900000000,\"effect\":\"idempotent\"}"
            + keyedClassJson() + "]}}";
    }

    private String keyedClassJson() {
        return deduplicationWindowMs == 0 ? ""
            : ",{\"name\":\"keyed\",\"aimNs\":600000000,\"deadlineNs\":60000000000,"
            + "\"effect\":\"deduplicated\",\"group\":\"all\",\"lateValue\":0.5,\"windowNs\":"
            + deduplicationWindowMs * MS + "}";
    }

    /** The number of addresses in 'peers', or 1. */
    private int routerCount() {
        String[] peersArray = peersJson.split("\\[");
        return peersArray.length < 2 ? 1 : peersArray[1].split("]")[0].split(",").length;
    }

    Router start(RoutingPolicy policy) throws IOException {
        return startWith((settings, seed) -> policy);
    }

    Router startWith(RoutingPolicy.Factory policyFactory) throws IOException {
        RouterConfig config = RouterConfig.parse(config().getBytes(StandardCharsets.UTF_8), "config");
        router = Router.start(config, policyFactory, listChecks, classifier);
        closeables.add(0, router::close);
        return router;
    }

    Router router() {
        return router;
    }

    /** Connects a client that has completed the start-up handshake. */
    Client client() throws IOException {
        Client client = Client.connect(router.listenAddress());
        closeables.add(0, client::close);
        return client;
    }

    /** Connects a client that has not sent anything. */
    Client rawClient() throws IOException {
        Client client = new Client(router.listenAddress());
        closeables.add(0, client::close);
        return client;
    }

    static String sql(String commentFields) {
        return "/* " + commentFields + " */ SELECT data FROM facts WHERE code = 'k1'";
    }

    /** A query of class look with a deadline of 60 s, enough for any machine. */
    static byte[] lookQuery(String id) {
        return Wire.query(sql("id=" + id + ",c=look,t=acme,d=60000,cluster=2"));
    }

    @Override
    public void close() throws IOException {
        for (Closeable closeable : closeables) {
            closeable.close();
        }
    }
}
