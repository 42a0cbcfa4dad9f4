import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send many reads of large values at once, and read what they are sent: each request has to get its final answer,
 * and no connection may be ended over requests that have none. Without the disruption they send the same reads one by one.
 */
final class CutOffCase extends Case {
    private static final long RUN_MILLIS = 40_000;
    private static final int CLIENTS = 8;
    private static final int REPLICAS = 9;
    private static final int COMMANDS_AT_ONCE = 60;
    /** The clients send at about the same time: once in each period, up to so much later. */
    private static final long PERIOD_MILLIS = 2_000;
    private static final int SPREAD_MILLIS = 100;
    private static final int VALUE_BYTES = 60 * 1024;
    private static final int WAIT_MILLIS = 1_500;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final long GRACE_MILLIS = 500;
    private static final String VALUE = "v".repeat(VALUE_BYTES);
    private static final String SETTINGS = """
        {"areas":["hall"],"zone":0,"kinds":["std"],"peersTotal":1,"rank":0,"tickNs":5000000,"discovery":"push","stage":0,
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

    private final Map<String, String> servedBy = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new CutOffCase(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        List<DatabaseHost> hosts = new ArrayList<>();
        for (int i = 0; i <= REPLICAS; i++) {
            hosts.add(host("s-" + i, i == 0));
        }
        DiscoveryAgent agent = new DiscoveryAgent(hosts);
        String configuration = "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\"" + agent.address()
            + "\",\"seed\":\"5a\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
            + ",\"settings\":" + SETTINGS + "}";
        try (RouterProcess router = new RouterProcess("n0", configuration)) {
            router.awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "c" + i;
                Threads.start(() -> runClient(router, name));
            }
            Thread.sleep(RUN_MILLIS);
            ended = true;
            Thread.sleep(WAIT_MILLIS + 2 * GRACE_MILLIS);
        }
        record.line("answers: %s; %d requests lost", answers, lost.get());
        return lost.get() == 0;
    }

    private DatabaseHost host(String id, boolean primary) throws IOException {
        return new DatabaseHost(id, primary, () -> unixMillis() - (primary ? 0 : 10), request -> {
            Thread.sleep(5);
            servedBy.put(request.id(), id);
            request.serve(VALUE, 0);
        });
    }

    /** A client that sends many reads at once, and the next ones some time after their answers. */
    private void runClient(RouterProcess router, String name) throws IOException, InterruptedException {
        Random random = new Random(name.hashCode());
        for (int turn = 0; !ended; turn++) {
            try (Socket socket = connect(router)) {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (Wire.read(in).type() != 'Z') {
                    continue;
                }
                for (int batch = 0; !ended && sendBatch(socket, in, name + "t" + turn + "b" + batch); batch++) {
                    Thread.sleep(PERIOD_MILLIS - unixMillis() % PERIOD_MILLIS + random.nextInt(SPREAD_MILLIS));
                }
            } catch (IOException e) {
                Thread.sleep(100); // a connection that is closed between requests: the next turn opens another
            }
        }
    }

    private static Socket connect(RouterProcess router) throws IOException {
        int colon = router.address.indexOf(':');
        Socket socket = new Socket(router.address.substring(0, colon), Integer.parseInt(router.address.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) (WAIT_MILLIS + GRACE_MILLIS));
        socket.getOutputStream().write(Wire.startup());
        return socket;
    }

    /** Sends reads at once and reads their answers; returns whether the connection can still be used. */
    private boolean sendBatch(Socket socket, DataInputStream in, String prefix) throws IOException {
        byte[][] queries = new byte[COMMANDS_AT_ONCE][];
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            queries[i] = Wire.query("/* id=" + prefix + "r" + i + ",c=pack-read,d=" + WAIT_MILLIS + ",cluster=0 */ SELECT data FROM"
                + " facts WHERE code = '" + prefix + "r" + i + "'");
        }
        OutputStream out = socket.getOutputStream();
        if (trouble) {
            out.write(Wire.join(queries)); // some 6 KB, which fit into the socket's buffers
        }
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            try {
                if (!trouble) {
                    out.write(queries[i]);
                }
                count(readAnswer(in));
            } catch (IOException e) {
                recordLost(prefix, i, e);
                return false;
            }
        }
        record.line("%s: %d answers", prefix, COMMANDS_AT_ONCE);
        return true;
    }

    /**
     * The requests of the batch from this one on have no answer, and their connection has ended or says nothing. The first does
     * not count, as the router may have begun to pass its value on.
     */
    private void recordLost(String prefix, int first, IOException why) {
        for (int i = first + 1; i < COMMANDS_AT_ONCE; i++) {
            String id = prefix + "r" + i;
            String host = servedBy.get(id);
            record.line("id=%s LOST: %s; %s", id, why, host == null ? "no host has served it" : "served by " + host);
        }
        lost.addAndGet(COMMANDS_AT_ONCE - first - 1);
    }

    private static String readAnswer(DataInputStream in) throws IOException {
        String kind = "";
        while (true) {
            Wire.Message message = Wire.read(in);
            switch (message.type()) {
                case 'D' -> kind = "served";
                case 'E' -> kind = Wire.sqlState(message);
                case 'Z' -> {
                    return kind;
                }
                default -> { }
            }
        }
    }

    private void count(String kind) {
        answers.computeIfAbsent(kind, key -> new AtomicInteger()).incrementAndGet();
    }
}
