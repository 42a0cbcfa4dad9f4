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

/** Sends requests to a router at a constant rate, each on an idle connection or, for some of them, on a new one. */
final class LoadGenerator implements AutoCloseable {
    /** How long a client waits for the final answer after its request's deadline. */
    private static final long FINAL_ANSWER_GRACE_MS = 550;
    private static final int MAX_IDLE_CONNECTIONS = 16;
    /** Time between requests in {@link #runUntilClosed}, and between checks for requests in flight. */
    private static final int INTERVAL_MS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final InetSocketAddress router;
    private final int groups;
    private final SplittableRandom random;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedDeque<Client> idleConnections = new ConcurrentLinkedDeque<>();
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger answeredWithData = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final List<String> unanswered = new CopyOnWriteArrayList<>();

    LoadGenerator(InetSocketAddress router, int groups, long seed) {
        this.router = router;
        this.groups = groups;
        this.random = new SplittableRandom(seed);
    }

    /** Sends that many requests per second for a number of seconds, then waits until the last one is answered or times out. */
    void run(int requestsPerSecond, int seconds, int deadlineMs) throws InterruptedException {
        long start = System.nanoTime();
        long intervalNs = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        for (int i = 0; i < requestsPerSecond * seconds; i++) {
            LockSupport.parkNanos(start + i * intervalNs - System.nanoTime());
            boolean newConnection = random.nextInt(3) == 0;
            String className = random.nextInt(3) == 0 ? "put" : "look";
            int group = random.nextInt(groups);
            inFlight.incrementAndGet();
            threads.execute(() -> sendWithRetry(newConnection, className, group, deadlineMs));
        }
        awaitInFlight(deadlineMs);
    }

    /**
     * Sends a request every few milliseconds on the connections that are still open and, at first, on new ones too. A
     * connection that is closed without an answer counts as closed while idle; a request that times out counts as unanswered.
     */
    void runUntilClosed(int newConnectionsMs, int durationMs, int deadlineMs) throws InterruptedException {
        long start = System.nanoTime();
        long now = start;
        while (now - start < TimeUnit.MILLISECONDS.toNanos(durationMs)) {
            boolean mayConnect = now - start < TimeUnit.MILLISECONDS.toNanos(newConnectionsMs);
            int group = random.nextInt(groups);
            threads.execute(() -> sendWithoutRetry(mayConnect, group, deadlineMs));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS));
            now = System.nanoTime();
        }
        threads.shutdown();
        awaitInFlight(deadlineMs);
    }

    private void awaitInFlight(int deadlineMs) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs + 2 * FINAL_ANSWER_GRACE_MS);
        while (inFlight.get() > 0 && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS));
        }
    }

    private void sendWithoutRetry(boolean mayConnect, int group, int deadlineMs) {
        inFlight.incrementAndGet();
        String id = "q" + started.incrementAndGet();
        try {
            Client idle = idleConnections.poll();
            if (idle != null || mayConnect) {
                exchange(idle != null ? idle : connect(), deadlineMs, query(id, "look", group, deadlineMs));
            }
        } catch (SocketTimeoutException e) {
            unanswered.add(id + " of group " + group + " during shutdown: " + e);
        } catch (IOException e) {
            // the router accepts no more connections
        } finally {
            inFlight.decrementAndGet();
        }
    }

    private void sendWithRetry(boolean newConnection, String className, int group, int deadlineMs) {
        String id = "q" + started.incrementAndGet();
        long startedAt = System.nanoTime();
        Client idle = newConnection ? null : idleConnections.poll();
        byte[] query = query(id, className, group, deadlineMs);
        try {
            boolean answered = idle != null && exchange(idle, deadlineMs, query);
            if (!answered && !exchange(connect(), deadlineMs, query)) {
                throw new IOException("closed without an answer");
            }
        } catch (IOException e) {
            unanswered.add(id + " of group " + group + " after " + (System.nanoTime() - startedAt) / NANOS_PER_MILLI
                + " ms: " + e);
        } finally {
            inFlight.decrementAndGet();
        }
    }

    private static byte[] query(String id, String className, int group, int deadlineMs) {
        return Wire.query("/* id=" + id + ",c=" + className + ",t=acme,d=" + deadlineMs + ",cluster=" + group
            + " */ SELECT data FROM facts WHERE code = 'k1'");
    }

    private Client connect() throws IOException {
        Client client = new Client(router);
        client.send(Wire.startup("user", "u", "database", "d"));
        return client;
    }

    /**
     * Sends a query and reads its answer. The router may have closed an idle connection.
     *
     * @return false if the connection is closed without an answer, so that the request can be sent again on a new one
     */
    private boolean exchange(Client client, int deadlineMs, byte[] query) throws IOException {
        client.setReadTimeout(deadlineMs + FINAL_ANSWER_GRACE_MS);
        try {
            client.send(query);
            String messageTypes = client.readReplyTypes();
            if (messageTypes.isEmpty()) {
                client.close();
                return false;
            }
            answeredWithData.addAndGet(messageTypes.contains("D") ? 1 : 0);
        } catch (SocketException e) {
            client.close();
            return false;
        }
        if (idleConnections.size() < MAX_IDLE_CONNECTIONS) {
            idleConnections.push(client);
        } else {
            client.close();
        }
        return true;
    }

    /** The number of requests started, including those that found no connection. */
    int started() {
        return started.get();
    }

    /** The number of requests that were answered with a row. */
    int answeredWithData() {
        return answeredWithData.get();
    }

    /** Requests without a final answer in time, with the reason for each. */
    List<String> unanswered() {
        return unanswered;
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        for (Client client : idleConnections) {
            client.close();
        }
    }
}
