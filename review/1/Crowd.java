import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Idle clients, which ask once and keep their connection, fill the descriptors. Every request that a usual client sends has to get
 * its answer.
 */
public final class Crowd {
    private static final int GROUPS = 2;
    private static final int MEMBERS = 4;
    private static final int DESCRIPTORS = 1024;
    private static final double RUN_SECONDS = Double.parseDouble(System.getProperty("seconds", "80"));
    /** Of the usual clients together. */
    private static final double REQUESTS_PER_SECOND = 320;
    private static final int USUAL_CONNECTIONS = 60;
    /** Idle clients: how many come at once, and how often. */
    private static final int CROWD = Integer.getInteger("crowd", 480);
    private static final double BURST_GAP_SECONDS = 1.25;

    private final Record record;
    private final Random random;
    private final Clients clients;
    private final RouterProcess router;
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private int number;

    private Crowd(Record record, RouterProcess router, Random random) {
        this.record = record;
        this.router = router;
        this.random = random;
        this.clients = new Clients(router.address);
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = arguments[2].equals("1");
        Random random = new Random(Long.parseLong(arguments[3]));
        Path temporary = Files.createTempDirectory("case");
        int status = 2;
        RouterProcess router = null;
        try (Record record = new Record(folder.resolve("record.txt")); Discovery discovery = new Discovery()) {
            for (int i = 0; i < GROUPS * MEMBERS; i++) {
                DbHost host = new DbHost("s-" + i, i / MEMBERS, i % MEMBERS == 0, record, random.nextLong());
                host.boundMillis = Map.of("bay-status", 1_500L);
                host.open();
                discovery.put(host.id, host.entry("Ready", i % 2 == 0 ? "dayuan-room" : "luzhu-room"));
            }
            Config config = new Config();
            config.sockets = DESCRIPTORS;
            router = new RouterProcess(root, temporary, "n0", config.of("n0", 0, discovery, List.of()));
            router.awaitReady();
            status = new Crowd(record, router, random).run(trouble);
            router.signal("TERM");
            record.say("SIGTERM: the router %s", router.waitFor(8_000) ? "ended" : "has not ended 8 s later");
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            if (router != null) {
                router.close();
                System.out.println(router.log().lines().reduce((a, b) -> b).orElse(""));
            }
        }
        RouterProcess.deleteFolder(temporary);
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        List<Clients.Connection> crowd = new ArrayList<>();
        long begin = System.nanoTime();
        long due = begin;
        int bursts = 0;
        clients.open(USUAL_CONNECTIONS);
        while (System.nanoTime() < begin + (long) (RUN_SECONDS * 1e9) && unanswered.get() < 100) {
            due += (long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_SECOND * 1e9);
            Threads.sleepUntil(due);
            double seconds = (System.nanoTime() - begin) / 1e9;
            if (trouble && seconds >= 5 + BURST_GAP_SECONDS * bursts) {
                bursts++;
                record.add("%d idle clients come", CROWD);
                for (int i = 0; i < CROWD; i++) {
                    String[] request = request();
                    double after = 800 * random.nextDouble();
                    Threads.start("idle-client", () -> askOnce(request, after));
                }
            }
            String[] request = request();
            record.add("client sends %s", request[0]);
            open.incrementAndGet();
            clients.send(request[1], 1_500, answer -> {
                record.add("client got for %s: %s %s", request[0], answer.kind(), answer.detail());
                counts.computeIfAbsent(answer.kind(), k -> new AtomicInteger()).incrementAndGet();
                if (answer.kind().equals("silent") && unanswered.incrementAndGet() == 1) {
                    record.say("request %s has got no answer 1 s after its time", request[0]);
                }
                open.decrementAndGet();
            });
        }
        for (int i = 0; i < 40 && open.get() > 0; i++) {
            Thread.sleep(100);
        }
        record.say("%d requests, %d times %d idle clients; ended: %s; never answered: %d", number, bursts, CROWD, counts,
            unanswered.get());
        boolean worked = counts.containsKey("served") && router.isAlive();
        return unanswered.get() > 0 ? 1 : worked ? 0 : 2;
    }

    /** Connects, asks once, and keeps the connection until the router ends it. */
    private void askOnce(String[] request, double afterMillis) throws Exception {
        Clients.Connection connection = new Clients.Connection(router.address);
        try (connection.socket) {
            connection.awaitReady();
            Threads.sleepMillis(afterMillis);
            connection.socket.getOutputStream().write(Wire.query(request[1]));
            record.add("an idle client asked %s and got %s", request[0], connection.readAnswer());
            connection.in.read();
        }
    }

    /** A read: its id and its statement. */
    private String[] request() {
        String id = String.format("%08x%08x", random.nextInt(), ++number);
        return new String[] {id, "/* id=" + id + ",c=trip-history,t=lot-t1-long,d=1500,cluster=" + random.nextInt(GROUPS)
            + " */ SELECT data FROM facts WHERE code = '" + String.format("%016x", random.nextLong()) + "'"};
    }
}
