package ledgewall.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import ledgewall.standin.Client;
import ledgewall.standin.StubHosts;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a router process against a fleet of hosts under faults drawn from a seed: hosts that hang, reset connections or reject
 * them as full, restarts of hundreds of members, failovers, many idle clients, SIGHUP, and finally SIGTERM under load. The
 * system properties ledgewall.seed and ledgewall.seeds set the first seed and the number of seeds.
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
                Thread faults = new Thread(() -> injectFaults(random.split(), discovery, primaries, replicas, hosts, router));
                faults.start();
                load.run(20 + random.nextInt(40), LOAD_SECONDS, REQUEST_DEADLINE_MS);
                faults.join();
                assertExitsInTimeUnderLoad(router, load);
                assertEquals(0, load.unanswered().size(), () -> "seed " + seed + ", " + hosts + " hosts, " + sockets
                    + " sockets: " + load.unanswered().stream().limit(5).toList());
            }
        }
    }

    private static void assertExitsInTimeUnderLoad(RouterProcess router, LoadGenerator load)
            throws IOException, InterruptedException {
        router.sendSigterm();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        load.runUntilClosed(NEW_CONNECTIONS_MS, SHUTDOWN_TIMEOUT_MS, REQUEST_DEADLINE_MS);
        assertTrue(router.exitsBy(deadline), "the router has not exited in time");
    }

    private static void injectFaults(SplittableRandom random, DiscoveryServer discovery, StubHosts primaries, StubHosts replicas,
                                     int hosts, RouterProcess router) {
        List<Client> idleClients = new ArrayList<>();
        try {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOAD_SECONDS);
            while (System.nanoTime() < end) {
                StubHosts affectedHosts = random.nextBoolean() ? primaries : replicas;
                switch (random.nextInt(7)) {
                    case 0 -> affectedHosts.behavior(StubHosts.Behavior.UNRESPONSIVE);
                    case 1 -> affectedHosts.behavior(StubHosts.Behavior.RESETTING);
                    case 2 -> affectedHosts.behavior(StubHosts.Behavior.REFUSING);
                    case 3 -> discovery.publish(restartedReplicaEntries(random, replicas, hosts));
                    case 4 -> discovery.publish(failoverEntries(random, primaries, replicas, hosts));
                    case 5 -> openIdleClients(router, idleClients);
                    default -> router.sendSighup();
                }
                TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(600));
                if (random.nextBoolean()) {
                    affectedHosts.behavior(StubHosts.Behavior.HEALTHY);
                }
            }
            for (Client client : idleClients) {
                client.close();
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void openIdleClients(RouterProcess router, List<Client> idleClients) throws IOException {
        for (int i = 0; i < 40; i++) {
            idleClients.add(new Client(router.address()));
        }
    }

    /** New entries, with the present as start time, for about a third of the replicas. */
    private static List<String> restartedReplicaEntries(SplittableRandom random, StubHosts replicas, int hosts) {
        List<String> changedEntries = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            if (!FleetConfig.isPrimary(host) && random.nextInt(3) == 0) {
                changedEntries.add(FleetConfig.entry(host, replicas.address(), System.currentTimeMillis()));
            }
        }
        return changedEntries;
    }

    /** New entries that exchange the primary and its successor in about a quarter of the groups. */
    private static List<String> failoverEntries(SplittableRandom random, StubHosts primaries, StubHosts replicas, int hosts) {
        List<String> changedEntries = new ArrayList<>();
        for (int group = 0; group < hosts / FleetConfig.GROUP_SIZE; group++) {
            if (random.nextInt(4) == 0) {
                changedEntries.add(FleetConfig.entry(FleetConfig.primaryOf(group), replicas.address(), 0));
                changedEntries.add(FleetConfig.entry(FleetConfig.successorOf(group), primaries.address(), 0));
            }
        }
        return changedEntries;
    }
}
