package ledgewall.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import ledgewall.standin.StubHosts;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a router process against a fleet of hosts under faults drawn from a seed, often several at once: hosts that hang, reset
 * connections or reject them as full, restarts of hundreds of members, failovers, many idle clients, floods, clients that leave,
 * crowds, messages that do not end, SIGHUP in series, and finally SIGTERM in series under load. The system properties
 * ledgewall.seed and ledgewall.seeds set the first seed and the number of seeds.
 */
@Timeout(120)
class FaultSoakTest {
    private static final int LOAD_SECONDS = 6;
    private static final int REQUEST_DEADLINE_MS = 800;
    /** The time that the process has to exit after SIGTERM: the longest deadline and 0.7 s. */
    private static final int SHUTDOWN_TIMEOUT_MS = REQUEST_DEADLINE_MS + 700;
    /** How long after SIGTERM the clients go on opening connections. */
    private static final int NEW_CONNECTIONS_MS = 300;

    @TempDir
    private Path folder;

    static LongStream seeds() {
        long first = Long.getLong("ledgewall.seed", 1);
        return LongStream.range(first, first + Long.getLong("ledgewall.seeds", 4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestIsAnsweredInTime(long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int hosts = FleetConfig.GROUP_SIZE * (random.nextBoolean() ? 15 : 240 + random.nextInt(560));
        int sockets = 128 + 64 * random.nextInt(7);
        try (StubHosts primaries = new StubHosts(true); StubHosts replicas = new StubHosts(false)) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                entries.add(FleetConfig.entry(i, (FleetConfig.isPrimary(i) ? primaries : replicas).address(), 0));
            }
            try (DiscoveryServer discovery = new DiscoveryServer(entries);
                    RouterProcess router = new RouterProcess(folder, FleetConfig.routerConfig(discovery, sockets, ""));
                    LoadGenerator load = new LoadGenerator(router.address(), hosts / FleetConfig.GROUP_SIZE, seed)) {
                try (FaultInjector faults = new FaultInjector(random.split(), discovery, primaries, replicas, hosts, router)) {
                    Thread thread = new Thread(() -> faults.run(LOAD_SECONDS));
                    thread.start();
                    load.run(20 + random.nextInt(40), LOAD_SECONDS, REQUEST_DEADLINE_MS);
                    thread.join();
                    assertExitsInTimeUnderLoad(router, load);
                    List<String> failures = new ArrayList<>(load.unanswered());
                    failures.addAll(faults.failures());
                    assertEquals(0, failures.size(), () -> "seed " + seed + ", " + hosts + " hosts, " + sockets
                        + " sockets, faults " + faults.injected() + ": " + failures.stream().limit(5).toList());
                }
                assertFalse(router.log().contains("a task of the loop failed"), router.log());
            }
        }
    }

    private static void assertExitsInTimeUnderLoad(RouterProcess router, LoadGenerator load)
            throws IOException, InterruptedException {
        router.sendSigterm();
        router.sendSighup();
        router.sendSigterm();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        load.runUntilClosed(NEW_CONNECTIONS_MS, SHUTDOWN_TIMEOUT_MS, REQUEST_DEADLINE_MS);
        assertTrue(router.exitsBy(deadline), "the router has not exited in time");
    }
}
