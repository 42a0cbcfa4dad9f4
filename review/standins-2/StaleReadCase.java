import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads whose data may be 500 ms old, while a third of the connections come up late. A replica that holds a report applies
 * nothing meanwhile, and answers from what it has. The bound counts from the moment in which the request's last byte is sent.
 */
final class StaleReadCase extends Case {
    private static final double BOUND_MILLIS = 500;
    /** "Each time limit is 50 ms longer" on sockets. */
    private static final double SOCKET_SLACK_MILLIS = 50;
    private static final long RUN_MILLIS = 50_000;
    private static final int READERS = 24;
    /** How long a host works on a report. */
    private static final long REPORT_MILLIS = 1_000;
    private static final String SETTINGS = """
        {"areas":["hall"],"zone":0,"kinds":["std"],"peersTotal":1,"rank":0,"tickNs":5000000,"discovery":"push","stage":0,
         "callers":{"marksRetry":false},"tenants":[],"tiers":["db"],"weights":"none","overShareWorth":1.0,
         "ceilings":{"cancel":true,"connIdleNs":15000000000,"connectTimeoutNs":250000000,"maxAttempts":10,"maxOpen":20000,
           "maxRetryAfterNs":500000000,"maxStreams":1,"parallelTries":false,"peers":false,"probing":true,"retryAfter":false},
         "classes":[
          {"name":"browse","effect":"idempotent","group":"all","windowNs":5000000000,"aimNs":800000000,
           "deadlineNs":2500000000,"points":3.0,"lateValue":0.0,"stream":false},
          {"name":"report","effect":"idempotent","group":"all","windowNs":5000000000,"aimNs":5000000000,
           "deadlineNs":10000000000,"points":4.0,"lateValue":0.2,"stream":false},
          {"name":"submit","effect":"at_most_once","group":"all","windowNs":5000000000,"aimNs":1000000000,
           "deadlineNs":5000000000,"points":4.0,"lateValue":0.7,"stream":false}],
         "report":{"how":"probe","fields":["x0","x1"]},
         "domain":{"behind":"none","needsByClass":["bounded","any","write"],"stalenessBoundNs":[500000000,0,0],"positions":false,
           "roleListed":"none","tokens":"remembered","catchUpWaitNs":0,"originTimeNs":0,"sync":false},
         "rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldShare":0.24,"fallNs":2000000000,
           "overloadFactor":3.0,"stopSendingWithinNs":1000000000,"warmAfterNs":17000000000}}""";

    /** What a host did with a request: when its last byte came, and the position of the data that it answered from. */
    private record Served(String host, double lastByteAt, double position) { }

    private final Map<String, Served> servedById = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger servedByReplicas = new AtomicInteger();
    private final AtomicInteger stale = new AtomicInteger();
    private volatile boolean troubled;
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new StaleReadCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        DatabaseHost primary = host("s-1", true);
        List<DatabaseHost> hosts = List.of(primary, host("s-2", false), host("s-3", false));
        DiscoveryAgent agent = new DiscoveryAgent(hosts);
        String configuration = "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\"" + agent.address()
            + "\",\"seed\":\"5a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
            + ",\"settings\":" + SETTINGS + "}";
        try (RouterProcess router = new RouterProcess("n0", configuration)) {
            router.awaitReady();
            for (int i = 0; i < READERS; i++) {
                String reader = "r" + i;
                Threads.start(() -> read(router, reader));
            }
            Threads.start(() -> report(router));
            Thread.sleep(3_000);
            troubled = trouble;
            hosts.forEach(host -> host.idleMillis = trouble ? 30 : 15_000); // "idle ones are closed early" on the same day
            record.line("the disruption begins");
            Thread.sleep(RUN_MILLIS);
            ended = true;
            Thread.sleep(2_000);
        }
        record.line("%d reads served, %d of them by replicas, %d from data over the bound", served.get(), servedByReplicas.get(),
            stale.get());
        return stale.get() == 0;
    }

    private DatabaseHost host(String id, boolean primary) throws IOException {
        ReplicationLog log = new ReplicationLog(primary);
        DatabaseHost host = new DatabaseHost(id, primary, log::position, request -> {
            if (request.className().equals("report")) {
                log.reportBegins();
                Thread.sleep(REPORT_MILLIS);
                log.reportEnds();
            } else {
                servedById.put(request.id(), new Served(id, unixMillis(request.lastByteAt), log.position()));
                Thread.sleep(15);
            }
            request.serve("v", 0);
        });
        // a third of the connections come up late while there is trouble
        host.connectDelayMillis = () -> troubled && ThreadLocalRandom.current().nextInt(3) == 0
            ? 180 + ThreadLocalRandom.current().nextInt(60) : 0;
        return host;
    }

    /** A client that reads, one request at a time. */
    private void read(RouterProcess router, String name) throws IOException, InterruptedException {
        Random random = new Random(name.hashCode());
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                String id = name + "n" + i;
                Client.Answer answer = client.ask("/* id=" + id + ",c=browse,d=2500,cluster=0 */ SELECT data FROM facts WHERE"
                    + " code = '" + id + "'");
                judge(id, answer);
                Thread.sleep(200 + random.nextInt(400));
            }
        }
    }

    /** A client that asks for a report every two seconds. */
    private void report(RouterProcess router) throws IOException, InterruptedException {
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                Client.Answer answer = client.ask("/* id=report" + i + ",c=report,d=10000,cluster=0 */ SELECT data FROM facts"
                    + " WHERE code = 'all'");
                record.line("id=report%d answered: %s", i, answer.kind());
                Thread.sleep(1_000);
            }
        }
    }

    private void judge(String id, Client.Answer answer) {
        Served by = servedById.remove(id);
        if (!answer.served() || by == null) {
            record.line("id=%s answered: %s %s", id, answer.kind(), answer.value());
            return;
        }
        served.incrementAndGet();
        servedByReplicas.addAndGet(by.host().equals("s-1") ? 0 : 1);
        double age = by.lastByteAt() - by.position();
        boolean tooOld = age > BOUND_MILLIS + SOCKET_SLACK_MILLIS;
        stale.addAndGet(tooOld ? 1 : 0);
        record.line("id=%s answered: served by %s from data %.0f ms old when the request was sent%s", id, by.host(), age,
            tooOld ? ": TOO OLD" : "");
    }
}
