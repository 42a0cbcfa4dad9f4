import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery answers only when it is asked, is down for half a minute, twice, and has a drain to tell from the moment of its return.
 * A change counts as told at the latest 6 s after discovery had it and could be reached.
 */
final class DrainAfterOutageCase extends Case {
    private static final int ROUTERS = 24;
    private static final long OUTAGE_MILLIS = 27_000;
    private static final double TOLD_AFTER_MILLIS = 6_000;
    private static final double GRACE_MILLIS = 500;
    /** "Each time limit is 50 ms longer" on sockets. */
    private static final double SOCKET_SLACK_MILLIS = 50;
    private static final long WATCHED_MILLIS = 11_500;
    private static final String SETTINGS = """
        {"areas":["hall"],"zone":0,"kinds":["std"],"peersTotal":%d,"rank":%d,"tickNs":5000000,"discovery":"ask","stage":0,
         "callers":{"marksRetry":false},"tenants":[],"tiers":["db"],"weights":"none","overShareWorth":1.0,
         "ceilings":{"cancel":false,"connIdleNs":15000000000,"connectTimeoutNs":250000000,"maxAttempts":6,"maxOpen":20000,
           "maxRetryAfterNs":500000000,"maxStreams":1,"parallelTries":true,"peers":false,"probing":true,"retryAfter":false},
         "classes":[
          {"name":"pack-read","effect":"idempotent","group":"all","windowNs":5000000000,"aimNs":400000000,
           "deadlineNs":1500000000,"points":3.0,"lateValue":0.2,"stream":false},
          {"name":"score-add","effect":"at_most_once","group":"all","windowNs":5000000000,"aimNs":600000000,
           "deadlineNs":5000000000,"points":3.0,"lateValue":0.5,"stream":false}],
         "report":{"how":"probe","fields":["x0","x1"]},
         "domain":{"behind":"wait","needsByClass":["any","write"],"stalenessBoundNs":[0,0],"positions":false,
           "roleListed":"none","tokens":"carried","catchUpWaitNs":20000000,"originTimeNs":0,"sync":false},
         "rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldShare":0.15,"fallNs":1000000000,
           "overloadFactor":2.5,"stopSendingWithinNs":500000000,"warmAfterNs":18000000000}}""";

    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    /** From when on a draining host's drain counts as told, as Unix time in milliseconds. */
    private final Map<String, Double> countsFrom = new ConcurrentHashMap<>();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new DrainAfterOutageCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        List<DatabaseHost> hosts = List.of(host("s-1", true), host("s-2", false), host("s-3", false));
        DiscoveryAgent agent = new DiscoveryAgent(hosts);
        List<RouterProcess> routers = new ArrayList<>();
        try {
            for (int rank = 0; rank < ROUTERS; rank++) {
                routers.add(new RouterProcess("n" + rank, "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\""
                    + agent.address() + "\",\"seed\":\"" + Integer.toHexString(90 + rank)
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
                    + ",\"settings\":" + String.format(SETTINGS, ROUTERS, rank) + "}"));
            }
            for (RouterProcess router : routers) {
                router.awaitReady();
                Threads.start(() -> read(router, "n" + routers.indexOf(router)));
            }
            Thread.sleep(3_000);
            drainAfterOutage(agent, hosts.get(2));
            drainAfterOutage(agent, hosts.get(1));
            ended = true;
            Thread.sleep(1_500);
        } finally {
            for (RouterProcess router : routers) {
                Threads.start(router::close);
            }
            Thread.sleep(7_000);
        }
        record.line("%d requests, %d sent to the draining host after the grace", requests.get(), late.get());
        return late.get() == 0;
    }

    /** Discovery is down for a while, and has a drain to tell from its return on. */
    private void drainAfterOutage(DiscoveryAgent agent, DatabaseHost drained) throws InterruptedException {
        agent.silent(trouble);
        record.line("discovery is %s", trouble ? "down" : "up all the time");
        Thread.sleep(OUTAGE_MILLIS);
        agent.change(drained, "Terminating");
        agent.silent(false);
        countsFrom.put(drained.id, (double) unixMillis() + TOLD_AFTER_MILLIS);
        record.line("discovery can be reached, and tells that %s drains; this counts as told in %.0f ms", drained.id,
            TOLD_AFTER_MILLIS);
        Thread.sleep(WATCHED_MILLIS);
    }

    private DatabaseHost host(String id, boolean primary) throws IOException {
        return new DatabaseHost(id, primary, () -> unixMillis() - (primary ? 0 : 10), request -> {
            double sinceTold = unixMillis(request.firstByteAt) - countsFrom.getOrDefault(id, Double.MAX_VALUE);
            boolean tooLate = sinceTold > GRACE_MILLIS + SOCKET_SLACK_MILLIS;
            late.addAndGet(tooLate ? 1 : 0);
            record.line("id=%s came to %s%s", request.id(), id,
                tooLate ? String.format(": %.0f ms AFTER the drain counts as told", sinceTold) : "");
            Thread.sleep(5);
            request.serve("v", 0);
        });
    }

    /** A client that reads at one router, one request at a time. */
    private void read(RouterProcess router, String name) throws IOException, InterruptedException {
        Random random = new Random(name.hashCode());
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                String id = name + "r" + i;
                Client.Answer answer = client.ask("/* id=" + id + ",c=pack-read,d=1500,cluster=0 */ SELECT data FROM facts WHERE"
                    + " code = '" + id + "'");
                requests.incrementAndGet();
                if (!answer.served()) {
                    record.line("id=%s answered: %s %s", id, answer.kind(), answer.value());
                }
                Thread.sleep(100 + random.nextInt(100));
            }
        }
    }
}
