package ledgewall.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.SplittableRandom;
import ledgewall.standin.Client;
import ledgewall.standin.Wire;

/** Clients that ask at an even rate, each on a connection that is free or, now and then, on a new one. */
final class ClientCrowd implements AutoCloseable {
    /** A client waits so long after its request's time for the final answer that it is owed. */
    private static final long PATIENCE_MS = 550;
    private static final int MOST_KEPT = 16;

    private final InetSocketAddress router;
    private final int groups;
    private final SplittableRandom random;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedDeque<Client> free = new ConcurrentLinkedDeque<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final List<String> lost = new CopyOnWriteArrayList<>();

    ClientCrowd(InetSocketAddress router, int groups, long seed) {
        this.router = router;
        this.groups = groups;
        this.random = new SplittableRandom(seed);
    }

    /** Asks so many requests a second for that long, then waits for the last answer. */
    void run(int perSecond, int seconds, int waitMs) throws InterruptedException {
        long start = System.nanoTime();
        long step = TimeUnit.SECONDS.toNanos(1) / perSecond;
        for (int i = 0; i < perSecond * seconds; i++) {
            LockSupport.parkNanos(start + i * step - System.nanoTime());
            boolean fresh = random.nextInt(3) == 0;
            String className = random.nextInt(3) == 0 ? "put" : "look";
            int group = random.nextInt(groups);
            threads.execute(() -> ask(fresh, className, group, waitMs));
        }
        threads.shutdown();
        threads.awaitTermination(waitMs + 2 * PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private void ask(boolean fresh, String className, int group, int waitMs) {
        String id = "q" + asked.incrementAndGet();
        long begun = System.nanoTime();
        try {
            Client kept = fresh ? null : free.poll();
            Client client = kept == null ? new Client(router) : kept;
            client.patience(waitMs + PATIENCE_MS);
            byte[] query = Wire.query("/* id=" + id + ",c=" + className + ",t=acme,d=" + waitMs + ",cluster=" + group
                + " */ SELECT data FROM facts WHERE code = 'k1'");
            client.send(kept == null ? Wire.startup("user", "u", "database", "d") : new byte[0], query);
            if (kept == null) {
                client.untilReady();
            }
            if (client.types().contains("D")) {
                served.incrementAndGet();
            }
            if (free.size() < MOST_KEPT) {
                free.push(client);
            } else {
                client.close();
            }
        } catch (IOException | RuntimeException e) {
            lost.add(id + " of group " + group + " after " + (System.nanoTime() - begun) / 1_000_000 + " ms: " + e);
        }
    }

    int asked() {
        return asked.get();
    }

    int served() {
        return served.get();
    }

    /** Requests that got no final answer in time, and how each ended. */
    List<String> lost() {
        return lost;
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        for (Client client : free) {
            client.close();
        }
    }
}
