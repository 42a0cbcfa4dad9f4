import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Good answers with a second copy right behind them, while replicas lag. Each client has to get the value that a host made
 * for its request, or an error.
 */
public final class ForeignAnswer {
    private static final int GROUPS = 2;
    private static final int MEMBERS = 4;
    private static final double RUN_SECONDS = Double.parseDouble(System.getProperty("seconds", "92"));
    /** Clients of each router; each sends its next request when it has got its answer. */
    private static final int CLIENTS = 24;
    private static final long[] LAGS_FROM_SECONDS = {4, 48};
    private static final long LAG_SECONDS = 25;
    /** Foreign answers after which a run ends early. */
    private static final int ENOUGH = 3;
    private static final int ROUTERS = 2;
    private static final double COPIED = Double.parseDouble(System.getProperty("copied", "0.5"));

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = arguments[2].equals("1");
        Random random = new Random(Long.parseLong(arguments[3]));
        Path temporary = Files.createTempDirectory("case");
        List<RouterProcess> routers = new ArrayList<>();
        int status = 2;
        try (Record record = new Record(folder.resolve("record.txt"));
             Discovery discovery = new Discovery()) {
            List<DbHost> hosts = hosts(record, trouble, random);
            for (DbHost host : hosts) {
                host.open();
                discovery.put(host.id, host.entry("Ready", host.id.endsWith("a") ? "dayuan-room" : "luzhu-room"));
            }
            Config config = new Config();
            config.routers = ROUTERS;
            for (int i = 0; i < ROUTERS; i++) {
                routers.add(new RouterProcess(root, temporary, "n" + i, config.of("n" + i, i, discovery, List.of())));
            }
            for (RouterProcess router : routers) {
                router.awaitReady();
            }
            status = run(record, hosts, routers, trouble, random);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            routers.forEach(RouterProcess::close);
            for (int i = 0; i < routers.size(); i++) {
                System.out.println(routers.get(i).log().lines().reduce((a, b) -> b).orElse(""));
            }
        }
        RouterProcess.deleteFolder(temporary);
        System.exit(status);
    }

    private static List<DbHost> hosts(Record record, boolean trouble, Random random) throws Exception {
        List<DbHost> hosts = new ArrayList<>();
        for (int i = 0; i < GROUPS * MEMBERS; i++) {
            boolean far = i % MEMBERS != 0;
            DbHost host = new CopyingHost("s-" + i + (far ? "b" : "a"), i / MEMBERS, i % MEMBERS == 0, record,
                random.nextLong(), trouble ? COPIED : 0);
            host.oneWayMillis = far ? 2.6 : 0.3;
            host.jitter = 0.34;
            host.meanWorkMillis = 25;
            host.boundMillis = Map.of("bay-status", 1_500L);
            hosts.add(host);
        }
        return hosts;
    }

    /** Sends a second copy of some good answers right behind them, if nothing else waits on the connection. */
    private static final class CopyingHost extends DbHost {
        private final double copied;

        CopyingHost(String id, int group, boolean primary, Record record, long seed, double copied) throws Exception {
            super(id, group, primary, record, seed);
            this.copied = copied;
        }

        @Override
        Connection connection(java.net.Socket socket) {
            return new Connection(socket) {
                @Override
                void good(byte[] bytes) throws Exception {
                    write(bytes);
                    boolean chosen;
                    synchronized (random) {
                        chosen = random.nextDouble() < copied;
                    }
                    if (chosen && nothingWaits()) {
                        write(bytes);
                    }
                    answer(new byte[0]);
                }
            };
        }
    }

    private static int run(Record record, List<DbHost> hosts, List<RouterProcess> routers, boolean trouble, Random random)
            throws Exception {
        Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger number = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(ROUTERS * CLIENTS);
        long begin = System.nanoTime();
        long end = begin + (long) (RUN_SECONDS * 1e9);
        for (int i = 0; i < ROUTERS * CLIENTS; i++) {
            Clients clients = new Clients(routers.get(i % ROUTERS).address);
            Random own = new Random(random.nextLong());
            Threads.start("client-" + i, () -> {
                while (System.nanoTime() < end && foreign.get() < ENOUGH) {
                    ask(record, clients, own, number.incrementAndGet(), counts, foreign);
                }
                ended.countDown();
            });
        }
        for (long from : trouble ? LAGS_FROM_SECONDS : new long[0]) {
            slowness(record, hosts, 20, begin, from, foreign);
            slowness(record, hosts, 1, begin, from + LAG_SECONDS, foreign);
        }
        ended.await((long) RUN_SECONDS + 10, TimeUnit.SECONDS);
        record.say("%d requests, ended: %s; served with what no host made for them: %d", number.get(), counts, foreign.get());
        boolean worked = counts.containsKey("served") && counts.get("served").get() > number.get() / 2
            && routers.stream().allMatch(RouterProcess::isAlive);
        return foreign.get() > 0 ? 1 : worked ? 0 : 2;
    }

    /** From then on replicas apply the log so many times more slowly; does nothing once enough has been seen. */
    private static void slowness(Record record, List<DbHost> hosts, int factor, long begin, long atSeconds,
                                 AtomicInteger foreign) {
        while (System.nanoTime() < begin + atSeconds * 1_000_000_000L && foreign.get() < ENOUGH) {
            Threads.sleepMillis(20);
        }
        if (foreign.get() < ENOUGH) {
            record.say("replicas apply the log %s", factor == 1 ? "at their usual speed" : factor + " times more slowly");
            hosts.stream().filter(host -> !host.primary).forEach(host -> host.replica.applySlower(factor));
        }
    }

    /** Sends one request and waits for its answer. */
    private static void ask(Record record, Clients clients, Random random, int number, Map<String, AtomicInteger> counts,
                            AtomicInteger foreign) {
        double kind = random.nextDouble();
        String name = kind < 0.39 ? "bay-status" : kind < 0.68 ? "trip-history" : "book-bay";
        int wait = name.equals("bay-status") ? 750 : name.equals("trip-history") ? 1_500 : 5_000;
        String id = String.format("%08x%08x", random.nextInt(), number);
        String key = String.format("%016x", random.nextLong());
        String sql = "/* id=" + id + ",c=" + name + ",t=lot-t1-long,d=" + wait + ",cluster=" + random.nextInt(GROUPS) + " */ "
            + (name.equals("book-bay") ? "INSERT INTO facts (code, data) VALUES ('" + key + "', '\\x9f03') RETURNING data"
                : "SELECT data FROM facts WHERE code = '" + key + "'");
        record.add("client sends %s %s", id, name);
        Clients.Answer answer = clients.exchange(sql, wait);
        boolean wrong = answer.kind().equals("served") && !answer.detail().equals("value of " + id);
        record.add("client got for %s: %s %s%s", id, answer.kind(), answer.detail(), wrong ? "  <-- NOT ITS VALUE" : "");
        counts.computeIfAbsent(answer.kind(), k -> new AtomicInteger()).incrementAndGet();
        if (wrong && foreign.incrementAndGet() <= 5) {
            record.say("request %s (%s) was served with: %s", id, name, answer.detail());
        }
    }
}
