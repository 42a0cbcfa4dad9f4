package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Sessions that write and read for some seconds, while a seed draws how the answers to their writes break off, pause or tell
 * their positions, and when replicas stop applying commits. No read may lack a write of its session that was served. The
 * system properties ledgewall.seed, ledgewall.seeds and ledgewall.seconds set the first seed, the number of seeds and the time.
 */
@Timeout(900)
class SessionSoakTest {
    private static final int SESSIONS = 12;
    private static final long WINDOW_MS = 5_000;
    private static final long TIMEOUT_MS = 2_000;
    /** The longest time that a replica applies nothing, and that a host waits within an answer. */
    private static final int MAX_STANDSTILL_MS = 1_500;
    private static final int MAX_PAUSE_MS = 300;
    /** The position of the primary, which has all commits. */
    private static final long ALL = Long.MAX_VALUE;

    private final RouterHarness harness = new RouterHarness();
    /** The commit of each write, by its id: hosts discard repeats. */
    private final Map<String, Long> commits = new ConcurrentHashMap<>();
    private final AtomicInteger brokenAnswers = new AtomicInteger();
    private final AtomicInteger readsAtReplicas = new AtomicInteger();
    private final List<String> staleReads = new CopyOnWriteArrayList<>();
    private final AtomicLong draws = new AtomicLong();
    private volatile long seed;

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    static LongStream seeds() {
        long first = Long.getLong("ledgewall.seed", 1);
        return LongStream.range(first, first + Long.getLong("ledgewall.seeds", 2));
    }

    /** A random source of its own for each draw: threads come to them in an order that no seed decides. */
    private SplittableRandom newRandom() {
        return new SplittableRandom(seed * 1_000_003 + draws.incrementAndGet());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noReadLacksAServedWriteOfItsSession(long drawnSeed) throws IOException, InterruptedException {
        seed = drawnSeed;
        long end = System.nanoTime() + Long.getLong("ledgewall.seconds", 12) * 1_000 * RouterHarness.MS;
        harness.deduplicationWindowMs(WINDOW_MS).host("p", StubServer.host(this::answerAtPrimary)).host("a", replica())
            .host("b", replica()).startWith(ReplicaRoutingPolicy::new);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            String session = "s" + i;
            Client client = harness.client();
            Thread thread = new Thread(() -> writeAndRead(client, session, end), session);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(0, staleReads.size(), () -> "seed " + seed + ": " + staleReads.stream().limit(5).toList());
        assertTrue(brokenAnswers.get() > 10 && readsAtReplicas.get() > 10,
            brokenAnswers + " answers broke off, replicas served " + readsAtReplicas + " reads");
    }

    /** A replica that applies commits 10 ms late, and stands still now and then. */
    private StubServer replica() throws IOException {
        SplittableRandom random = newRandom();
        AtomicLong standsUntil = new AtomicLong();
        AtomicLong standsAt = new AtomicLong();
        return StubServer.host((connection, sql) -> {
            long position;
            synchronized (standsUntil) {
                long now = System.currentTimeMillis();
                if (now >= standsUntil.get()) {
                    standsAt.set(now - 10);
                    standsUntil.set(random.nextBoolean() ? now + random.nextInt(MAX_STANDSTILL_MS) : now);
                }
                position = standsAt.get();
            }
            connection.write(sql.startsWith("SHOW") ? Wire.report(position, false) : answer(position, "read-only", new byte[0]));
        });
    }

    private static byte[] answer(long value, String mode, byte[] position) {
        return Wire.join(Wire.row(Long.toString(value)), Wire.param("mode", mode), position,
            Wire.ready());
    }

    private void answerAtPrimary(StubServer.Connection connection, String sql) throws IOException {
        if (sql.startsWith("SHOW")) {
            connection.write(Wire.report(System.currentTimeMillis(), true));
        } else if (sql.contains("INSERT")) {
            long commit = commits.computeIfAbsent(sql.substring(sql.indexOf("id="), sql.indexOf(',')),
                id -> System.currentTimeMillis());
            answerWrite(connection, commit, newRandom());
        } else {
            connection.write(answer(ALL, "read-write", new byte[0]));
        }
    }

    private void answerWrite(StubServer.Connection connection, long commit, SplittableRandom random) throws IOException {
        boolean breaksOff = random.nextInt(3) == 0;
        byte[] earlier = breaksOff && random.nextBoolean() ? Wire.param("wal_time", "" + (commit - 1_000)) : new byte[0];
        byte[] answer = answer(commit, "read-write", Wire.join(earlier, position(commit, random)));
        int length = breaksOff ? random.nextInt(answer.length) : answer.length;
        int first = random.nextBoolean() ? random.nextInt(length + 1) : length;
        connection.write(Arrays.copyOf(answer, first));
        if (first < length) {
            pause(random.nextInt(MAX_PAUSE_MS));
            connection.write(Arrays.copyOfRange(answer, first, length));
        }
        if (breaksOff) {
            brokenAnswers.incrementAndGet();
            pause(2); // so that a reset does not overtake the bytes before it
            connection.reset();
        }
    }

    /** What an answer tells of its commit: mostly its time, else nothing, or what is no time of it. */
    private static byte[] position(long commit, SplittableRandom random) {
        return switch (random.nextInt(10)) {
            case 0 -> new byte[0];
            case 1 -> Wire.param("wal_time", "?");
            case 2 -> Wire.param("wal_time", Long.toString(commit / 1_000));
            case 3 -> Wire.param("wal_time", Long.toString(commit + 3_600_000));
            default -> Wire.param("wal_time", Long.toString(commit));
        };
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(millis * RouterHarness.MS);
    }

    private void writeAndRead(Client client, String session, long end) {
        SplittableRandom random = new SplittableRandom(seed + session.hashCode());
        try {
            for (int i = 0; System.nanoTime() < end; i++) {
                Long commit = ask(client, session + "w" + i, "keyed", "INSERT INTO facts (code, data) VALUES ('" + session
                    + "', '\\x01') RETURNING data");
                for (int reads = random.nextInt(4); commit != null && reads > 0; reads--) {
                    Long position = ask(client, session + "r" + i + "." + reads, "own", "SELECT data FROM facts WHERE code = '"
                        + session + "'");
                    readsAtReplicas.addAndGet(position != null && position != ALL ? 1 : 0);
                    if (position != null && position < commit) {
                        staleReads.add(session + " read " + position + " after its write of " + commit);
                    }
                    pause(random.nextInt(200));
                }
            }
        } catch (IOException e) {
            staleReads.add(session + " ended: " + e);
        }
    }

    /** Sends a request; returns the value that it is served with, or null where it is refused or fails. */
    private static Long ask(Client client, String id, String className, String sql) throws IOException {
        client.send(Wire.query("/* id=" + id + ",c=" + className + ",t=acme,d=" + TIMEOUT_MS + ",cluster=2 */ " + sql));
        List<Message> answer = client.readUntilReady();
        if (answer.get(0).type() != 'T') {
            return null;
        }
        byte[] row = answer.get(1).body();
        return Long.parseLong(new String(row, 6, row.length - 6, StandardCharsets.US_ASCII));
    }
}
