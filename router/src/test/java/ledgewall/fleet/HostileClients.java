package ledgewall.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.standin.ArrivalLog;
import ledgewall.standin.Client;
import ledgewall.standin.StubHosts;
import ledgewall.standin.Wire;

/** Clients that take as much of a router as it lets them: floods, pipelines whose client leaves, crowds, halves of messages. */
final class HostileClients implements AutoCloseable {
    private static final long LATE_ANSWER_MS = 500;
    private static final AtomicInteger LAST_ID = new AtomicInteger();

    private final InetSocketAddress router;
    private final List<Client> clients = new ArrayList<>();
    private volatile boolean closed;

    HostileClients(InetSocketAddress router) {
        this.router = router;
    }

    /** A new id for each request of this process. */
    static String newId() {
        return StubHosts.RECORDED_PREFIX + LAST_ID.incrementAndGet();
    }

    /** A request of the class with a deadline, for group 0. */
    static byte[] request(String id, String className, long deadlineMillis) {
        return Wire.query("/* id=" + id + ",c=" + className + ",t=acme,d=" + deadlineMillis
            + ",cluster=0 */ INSERT INTO facts (code, data) VALUES ('k1', 'v') RETURNING data");
    }

    /** Has connections send the same commands again and again at full speed, and read what they are sent, until closed. */
    HostileClients flood(int connections, byte[] commands) throws IOException {
        for (int i = 0; i < connections; i++) {
            Client client = open();
            run(() -> {
                while (true) {
                    client.send(commands);
                }
            });
            run(() -> {
                while (client.readByte() >= 0) {
                    continue;
                }
            });
        }
        return this;
    }

    /** Opens a connection, has it send the bytes behind its startup message, and keeps it open until closed. */
    Client sendAndStay(byte[] bytes) throws IOException {
        Client client = open();
        client.send(bytes);
        return client;
    }

    /** Has a number of threads connect at full speed, each keeping its last connections open, and say nothing, until closed. */
    HostileClients connectSilently(int threads, int keptOpen) {
        for (int i = 0; i < threads; i++) {
            run(() -> {
                Queue<Client> open = new ArrayDeque<>();
                while (!closed) {
                    open.add(new Client(router));
                    if (open.size() > keptOpen) {
                        open.poll().close();
                    }
                }
                for (Client client : open) {
                    client.close();
                }
            });
        }
        return this;
    }

    private Client open() throws IOException {
        Client client = new Client(router);
        clients.add(client);
        client.send(Wire.startup("user", "u", "database", "d"));
        return client;
    }

    /** What happened to one of a crowd's requests. */
    record CrowdResult(String id, String replyTypes, long elapsedMillis) {
        boolean isAnswered() {
            return !replyTypes.isEmpty();
        }

        /** Whether the answer came within the deadline and half a second more, after which a request counts as lost. */
        boolean isAnsweredInTime(long deadlineMillis) {
            return isAnswered() && elapsedMillis <= deadlineMillis + LATE_ANSWER_MS;
        }
    }

    /** Connects clients, evenly spread over the time, that each send one write with the startup message, all in one piece. */
    static List<CrowdResult> crowd(InetSocketAddress router, int count, long spreadMillis, long deadlineMillis)
            throws InterruptedException {
        List<CrowdResult> results = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            run(() -> {
                CrowdResult result = askOnce(router, deadlineMillis);
                synchronized (results) {
                    results.add(result);
                }
                done.countDown();
            });
            TimeUnit.MICROSECONDS.sleep(spreadMillis * 1_000 / count);
        }
        done.await(30, TimeUnit.SECONDS);
        synchronized (results) {
            return List.copyOf(results);
        }
    }

    private static CrowdResult askOnce(InetSocketAddress router, long deadlineMillis) {
        String id = newId();
        String types = "";
        long sentAt = System.nanoTime();
        try (Client client = new Client(router)) {
            sentAt = System.nanoTime();
            client.send(Wire.startup("user", "u", "database", "d"), request(id, "put", deadlineMillis));
            types = client.readReplyTypes();
        } catch (IOException e) {
            // closed or reset without an answer
        }
        return new CrowdResult(id, types, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
    }

    /** A pipeline of requests whose client has left. */
    record LeftPipeline(List<String> ids, long leftAt) {
        /** The delays after the leave, in milliseconds, of the attempts that began more than the given time after it. */
        List<Long> attemptsBegunLaterThan(long millis, ArrivalLog... hosts) {
            return ids.stream().flatMap(id -> Arrays.stream(hosts).flatMap(host -> host.arrivalsOf(id).stream()))
                .map(at -> TimeUnit.NANOSECONDS.toMillis(at - leftAt)).filter(delay -> delay > millis).sorted().toList();
        }
    }

    /** Sends requests in one piece and the given bytes behind them, and leaves without having read an answer. */
    static LeftPipeline sendAndLeave(InetSocketAddress router, int requests, String className, byte[] last, long leaveAfterMillis)
            throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        byte[][] pipeline = new byte[requests + 1][];
        for (int i = 0; i < requests; i++) {
            ids.add(newId());
            pipeline[i] = request(ids.get(i), className, 5_000);
        }
        pipeline[requests] = last;
        Client client = Client.connect(router);
        client.send(pipeline);
        TimeUnit.MILLISECONDS.sleep(leaveAfterMillis);
        long leftAt = System.nanoTime();
        client.close();
        return new LeftPipeline(ids, leftAt);
    }

    /** A task that may end with an error of its connection. */
    interface ConnectionTask {
        void run() throws IOException;
    }

    private static void run(ConnectionTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the router or the test has closed the connection
            }
        }, "hostile-client");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Client client : clients) {
            client.close();
        }
    }
}
