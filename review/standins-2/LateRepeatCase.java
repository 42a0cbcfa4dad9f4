import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keyed writes whose connection is reset long after they began, while connections come up late: a repeat has to reach the hosts
 * while they still remember the first attempt.
 */
final class LateRepeatCase extends Case {
    private static final double WINDOW_MILLIS = 2_000;
    /** "Each time limit is 50 ms longer" on sockets, and windows allow for a router that is held up for up to 0.15 s. */
    private static final double SLACK_MILLIS = 50 + 150;
    private static final long RUN_MILLIS = 50_000;
    private static final int WRITERS = 60;
    private static final String SETTINGS = """
        {"areas":["hall"],"zone":0,"kinds":["std"],"peersTotal":1,"rank":0,"tickNs":5000000,"discovery":"push","stage":0,
         "callers":{"marksRetry":false},"tenants":[],"tiers":["db"],"weights":"none","overShareWorth":1.0,
         "ceilings":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":8,"maxOpen":20000,
           "maxRetryAfterNs":500000000,"maxStreams":1,"parallelTries":false,"peers":false,"probing":true,"retryAfter":false},
         "classes":[
          {"name":"browse","effect":"idempotent","group":"all","windowNs":2000000000,"aimNs":500000000,
           "deadlineNs":1200000000,"points":2.0,"lateValue":0.0,"stream":false},
          {"name":"catalogue-write","effect":"deduplicated","group":"cell","windowNs":2000000000,"aimNs":600000000,
           "deadlineNs":3000000000,"points":3.0,"lateValue":0.3,"stream":false}],
         "report":{"how":"probe","fields":["x0","x1"]},
         "domain":{"behind":"refuse","needsByClass":["any","write"],"stalenessBoundNs":[0,0],"positions":true,
           "roleListed":"none","tokens":"remembered","catchUpWaitNs":0,"originTimeNs":0,"sync":false},
         "rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldShare":0.17,"fallNs":3000000000,
           "overloadFactor":4.0,"stopSendingWithinNs":250000000,"warmAfterNs":18000000000}}""";

    /** When a key's first attempt came, by System.nanoTime; what the group of hosts remembers for the window. */
    private final Map<String, Long> remembered = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
    private final AtomicInteger appliedTwice = new AtomicInteger();
    private final AtomicInteger repeats = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean troubled;
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new LateRepeatCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        DatabaseHost primary = new DatabaseHost("s-1", true, Case::unixMillis, this::handleAtPrimary);
        DatabaseHost replica = new DatabaseHost("s-2", false, () -> unixMillis() - 20, request -> request.refuse("25006"));
        for (DatabaseHost host : List.of(primary, replica)) {
            host.connectDelayMillis = this::connectDelay;
        }
        DiscoveryAgent agent = new DiscoveryAgent(List.of(primary, replica));
        String configuration = "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\"" + agent.address()
            + "\",\"seed\":\"5a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
            + ",\"settings\":" + SETTINGS + "}";
        try (RouterProcess router = new RouterProcess("n0", configuration)) {
            router.awaitReady();
            for (int i = 0; i < WRITERS; i++) {
                String writer = "w" + i;
                Threads.start(() -> write(router, writer));
            }
            Thread.sleep(3_000);
            troubled = trouble;
            // "idle ones are closed early" on the same day, so that requests meet new connections
            primary.idleMillis = trouble ? 20 : 30_000;
            record.line("the disruption begins");
            Thread.sleep(RUN_MILLIS);
            ended = true;
            Thread.sleep(3_500);
        }
        record.line("%d requests, %d repeats reached a host, %d writes applied twice", requests.get(), repeats.get(),
            appliedTwice.get());
        return appliedTwice.get() == 0;
    }

    /** A third of the connections come up late while there is trouble. */
    private long connectDelay() {
        return troubled && ThreadLocalRandom.current().nextInt(3) == 0 ? 234 + ThreadLocalRandom.current().nextInt(9) : 0;
    }

    private void handleAtPrimary(DatabaseHost.Request request) throws IOException, InterruptedException {
        String id = request.id();
        if (!request.className().equals("catalogue-write")) {
            request.serve("x", 0);
            return;
        }
        Long firstAt = remembered.putIfAbsent(id, request.lastByteAt);
        double age = firstAt == null ? 0 : (request.lastByteAt - firstAt) / 1e6;
        if (firstAt != null) {
            repeats.incrementAndGet();
        }
        if (firstAt == null || age > WINDOW_MILLIS + SLACK_MILLIS) {
            int times = effects.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            if (times > 1) {
                appliedTwice.incrementAndGet();
                record.line("id=%s APPLIED AGAIN: this attempt's last byte came %.1f ms after that of the first", id, age);
            }
        } else {
            record.line("id=%s repeat dropped, %.1f ms after the first", id, age);
        }
        boolean reset = troubled && firstAt == null && ThreadLocalRandom.current().nextInt(4) == 0;
        if (reset) {
            int after = 1_930 + ThreadLocalRandom.current().nextInt(60);
            record.line("id=%s applied; its connection is reset %d ms later", id, after);
            Thread.sleep(after);
            request.reset();
        } else {
            Thread.sleep(20);
            request.serve("done", unixMillis());
        }
    }

    /** A client that writes, one request at a time. */
    private void write(RouterProcess router, String name) throws IOException, InterruptedException {
        Random random = new Random(name.hashCode());
        Thread.sleep(random.nextInt(1_000));
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                String id = name + "n" + i;
                Client.Answer answer = client.ask("/* id=" + id + ",c=catalogue-write,d=3000,cluster=0 */ INSERT INTO facts (code,"
                    + " data) VALUES ('" + id + "', '\\x01') RETURNING data");
                requests.incrementAndGet();
                record.line("id=%s answered: %s %s", id, answer.kind(), answer.value());
                Thread.sleep(500 + random.nextInt(1_000));
            }
        }
    }
}
