package ledgewall.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import ledgewall.standin.Client;
import ledgewall.standin.Wire;

/** Clients that ask at an even rate, each on a connection that is free or, now and then, on a new one. */
final class ClientCrowd implements AutoCloseable {
    /** A client waits so long after its request's time for the final answer that it is owed. */
    private static final long PATIENCE_MS = 550;
    private static final int MOST_KEPT = 16;
    private static final int STEP_MS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000L;

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
    private final AtomicInteger inHand = new AtomicInteger();
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
            inHand.incrementAndGet();
            threads.execute(() -> ask(fresh, className, group, waitMs));
        }
        awaitAnswers(waitMs);
    }

    /**
     * Asks every few milliseconds on the connections that stay open, and for a while on new ones too. A connection that ends
     * without an answer was closed at rest; a request that waits too long is lost.
     */
    void runUntilClosed(int connectingMs, int longestMs, int waitMs) throws InterruptedException {
        long start = System.nanoTime();
        long now = start;
        while (now - start < TimeUnit.MILLISECONDS.toNanos(longestMs)) {
            boolean connects = now - start < TimeUnit.MILLISECONDS.toNanos(connectingMs);
            int group = random.nextInt(groups);
            threads.execute(() -> askOnce(connects, group, waitMs));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_MS));
            now = System.nanoTime();
        }
        threads.shutdown();
        awaitAnswers(waitMs);
    }

    private void awaitAnswers(int waitMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs + 2 * PATIENCE_MS);
        while (inHand.get() > 0 && System.nanoTime() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_MS));
        }
    }

    private void askOnce(boolean connects, int group, int waitMs) {
        inHand.incrementAndGet();
        String id = "q" + asked.incrementAndGet();
        try {
            Client kept = free.poll();
            if (kept != null || connects) {
                answered(kept != null ? kept : connect(), waitMs, query(id, "look", group, waitMs));
            }
        } catch (SocketTimeoutException e) {
            lost.add(id + " of group " + group + " while the router ends: " + e);
        } catch (IOException e) {
            // it accepts no more
        } finally {
            inHand.decrementAndGet();
        }
    }

    private void ask(boolean fresh, String className, int group, int waitMs) {
        String id = "q" + asked.incrementAndGet();
        long begun = System.nanoTime();
        Client kept = fresh ? null : free.poll();
        byte[] query = query(id, className, group, waitMs);
        try {
            boolean answered = kept != null && answered(kept, waitMs, query);
            if (!answered && !answered(connect(), waitMs, query)) {
                throw new IOException("closed without an answer");
            }
        } catch (IOException e) {
            lost.add(id + " of group " + group + " after " + (System.nanoTime() - begun) / NANOS_PER_MILLI + " ms: " + e);
        } finally {
            inHand.decrementAndGet();
        }
    }

    private static byte[] query(String id, String className, int group, int waitMs) {
        return Wire.query("/* id=" + id + ",c=" + className + ",t=acme,d=" + waitMs + ",cluster=" + group
            + " */ SELECT data FROM facts WHERE code = 'k1'");
    }

    private Client connect() throws IOException {
        Client client = new Client(router);
        client.send(Wire.startup("user", "u", "database", "d"));
        return client;
    }

    /** Whether the router answers; it may have ended a connection that rested, and a client then asks on a new one. */
    private boolean answered(Client client, int waitMs, byte[] query) throws IOException {
        client.setReadTimeout(waitMs + PATIENCE_MS);
        try {
            client.send(query);
            String types = client.readReplyTypes();
            if (types.isEmpty()) {
                client.close();
                return false;
            }
            served.addAndGet(types.contains("D") ? 1 : 0);
        } catch (SocketException e) {
            client.close();
            return false;
        }
        if (free.size() < MOST_KEPT) {
            free.push(client);
        } else {
            client.close();
        }
        return true;
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
