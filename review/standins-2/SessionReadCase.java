import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sessions that write and then read what they wrote, while connections are reset in the middle of answers. A replica that holds
 * a report applies nothing meanwhile, and answers from what it has. A write is served once its row and CommandComplete are there.
 */
final class SessionReadCase extends Case {
    private static final long RUN_MILLIS = 50_000;
    private static final int SESSIONS = 40;
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
          {"name":"own-read","effect":"idempotent","group":"all","windowNs":5000000000,"aimNs":400000000,
           "deadlineNs":1500000000,"points":1.0,"lateValue":0.0,"stream":false},
          {"name":"report","effect":"idempotent","group":"all","windowNs":5000000000,"aimNs":5000000000,
           "deadlineNs":10000000000,"points":4.0,"lateValue":0.2,"stream":false},
          {"name":"submit","effect":"deduplicated","group":"cell","windowNs":5000000000,"aimNs":1000000000,
           "deadlineNs":5000000000,"points":4.0,"lateValue":0.7,"stream":false}],
         "report":{"how":"probe","fields":["x0","x1"]},
         "domain":{"behind":"none","needsByClass":["bounded","session","any","write"],"stalenessBoundNs":[500000000,0,0,0],
           "positions":false,"roleListed":"none","tokens":"remembered","catchUpWaitNs":0,"originTimeNs":0,"sync":false},
         "rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldShare":0.24,"fallNs":2000000000,
           "overloadFactor":3.0,"stopSendingWithinNs":1000000000,"warmAfterNs":17000000000}}""";

    /** The commit times of each session's writes, as Unix time in milliseconds: what the primary has. */
    private final Map<String, NavigableSet<Long>> commits = new ConcurrentHashMap<>();
    /** The commit time of each key: the hosts of the group drop its repeats. */
    private final Map<String, Long> commitByKey = new ConcurrentHashMap<>();
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger missing = new AtomicInteger();
    private volatile boolean troubled;
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new SessionReadCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        List<DatabaseHost> hosts = List.of(host("s-1", true), host("s-2", false), host("s-3", false));
        DiscoveryAgent agent = new DiscoveryAgent(hosts);
        String configuration = "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\"" + agent.address()
            + "\",\"seed\":\"5a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
            + ",\"settings\":" + SETTINGS + "}";
        try (RouterProcess router = new RouterProcess("n0", configuration)) {
            router.awaitReady();
            for (int i = 0; i < SESSIONS; i++) {
                String session = "account" + i;
                Threads.start(() -> writeAndRead(router, session));
            }
            Threads.start(() -> report(router));
            Thread.sleep(3_000);
            troubled = trouble;
            record.line("the disruption begins");
            Thread.sleep(RUN_MILLIS);
            ended = true;
            Thread.sleep(2_000);
        }
        record.line("%d writes served, %d reads served, %d of them without a write of their session", writes.get(), reads.get(),
            missing.get());
        return missing.get() == 0;
    }

    private DatabaseHost host(String id, boolean primary) throws IOException {
        ReplicationLog log = new ReplicationLog(primary);
        return new DatabaseHost(id, primary, log::position, request -> {
            switch (request.className()) {
                case "report" -> {
                    log.reportBegins();
                    Thread.sleep(REPORT_MILLIS);
                    log.reportEnds();
                    request.serve("v", 0);
                }
                case "submit" -> submit(request, primary);
                default -> {
                    Long seen = commitsOf(request.session()).floor(log.position());
                    record.line("id=%s came to %s, which has applied up to %d", request.id(), id, log.position());
                    request.serve(Long.toString(seen == null ? 0 : seen), 0);
                }
            }
        });
    }

    private NavigableSet<Long> commitsOf(String session) {
        return commits.computeIfAbsent(session, key -> new ConcurrentSkipListSet<>());
    }

    private void submit(DatabaseHost.Request request, boolean primary) throws IOException, InterruptedException {
        if (!primary) {
            request.refuse("25006");
            return;
        }
        Thread.sleep(10);
        long now = unixMillis();
        Long earlier = commitByKey.putIfAbsent(request.id(), now);
        long commit = earlier == null ? now : earlier;
        commitsOf(request.session()).add(commit);
        if (troubled && earlier == null && ThreadLocalRandom.current().nextInt(5) == 0) {
            record.line("id=%s written; its connection is reset in the middle of the answer", request.id());
            request.serveInPart(Long.toString(commit), commit);
        } else {
            request.serve(Long.toString(commit), commit);
        }
    }

    /** A session that writes, and reads some time after the write has been served. */
    private void writeAndRead(RouterProcess router, String session) throws IOException, InterruptedException {
        Random random = new Random(session.hashCode());
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                String id = session + "n" + i;
                Client.Answer written = client.ask("/* id=" + id + "w,c=submit,d=5000,cluster=0 */ INSERT INTO facts (code, data)"
                    + " VALUES ('" + session + "', '\\x01') RETURNING data");
                record.line("id=%sw answered: %s %s", id, written.kind(), written.value());
                Thread.sleep(150 + random.nextInt(550));
                if (written.served()) {
                    writes.incrementAndGet();
                    judge(id + "r", Long.parseLong(written.value()), client.ask("/* id=" + id
                        + "r,c=own-read,d=1500,cluster=0 */ SELECT data FROM facts WHERE code = '" + session + "'"));
                }
            }
        }
    }

    private void judge(String id, long commit, Client.Answer answer) {
        boolean withoutWrite = answer.served() && Long.parseLong(answer.value()) < commit;
        reads.addAndGet(answer.served() ? 1 : 0);
        missing.addAndGet(withoutWrite ? 1 : 0);
        record.line("id=%s answered: %s %s%s", id, answer.kind(), answer.value(),
            withoutWrite ? ": WITHOUT the session's write of " + commit : "");
    }

    /** A client that asks for one report after the other. */
    private void report(RouterProcess router) throws IOException, InterruptedException {
        try (Client client = new Client(router.address)) {
            for (int i = 0; !ended; i++) {
                client.ask("/* id=report" + i + ",c=report,d=10000,cluster=0 */ SELECT data FROM facts WHERE code = 'all'");
                Thread.sleep(200);
            }
        }
    }
}
