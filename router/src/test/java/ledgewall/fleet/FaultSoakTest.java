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
 * A router process beside a fleet of hosts, under faults that a seed draws: hosts that hang, reset or are full, members that
 * start anew by the hundred, primaries that change, crowds of idle clients, SIGHUP, and SIGTERM in the middle of it. The
 * system properties ledgewall.seed and ledgewall.seeds choose others.
 */
@Timeout(120)
class FaultSoakTest {
    private static final int SECONDS = 6;
    private static final int WAIT_MS = 800;
    /** From SIGTERM on the process has the longest deadline and 0.7 s more. */
    private static final int UNTIL_KILLED_MS = WAIT_MS + 700;
    private static final int STILL_CONNECTING_MS = 300;

    @TempDir
    private Path folder;

    static LongStream seeds() {
        long first = Long.getLong("ledgewall.seed", 1);
        return LongStream.range(first, first + Long.getLong("ledgewall.seeds", 4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void eachRequestGetsItsAnswerInTime(long seed) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int hosts = FleetConfig.GROUP * (random.nextBoolean() ? 15 : 240 + random.nextInt(560));
        int sockets = 128 + 64 * random.nextInt(7);
        try (StubHosts primaries = new StubHosts(true); StubHosts replicas = new StubHosts(false)) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                entries.add(FleetConfig.entry(i, (FleetConfig.isPrimary(i) ? primaries : replicas).address(), 0));
            }
            try (MemberDirectory directory = new MemberDirectory(entries);
                    RouterProcess router = new RouterProcess(folder, FleetConfig.router(directory, sockets, ""));
                    ClientCrowd clients = new ClientCrowd(router.address(), hosts / FleetConfig.GROUP, seed)) {
                Thread faults = new Thread(() -> faults(random.split(), directory, primaries, replicas, hosts, router));
                faults.start();
                clients.run(20 + random.nextInt(40), SECONDS, WAIT_MS);
                faults.join();
                endWhileClientsAsk(router, clients);
                assertEquals(0, clients.lost().size(), () -> "seed " + seed + ", " + hosts + " hosts, " + sockets + " sockets: "
                    + clients.lost().stream().limit(5).toList());
            }
        }
    }

    private static void endWhileClientsAsk(RouterProcess router, ClientCrowd clients) throws IOException, InterruptedException {
        router.terminate();
        long killed = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(UNTIL_KILLED_MS);
        clients.runUntilClosed(STILL_CONNECTING_MS, UNTIL_KILLED_MS, WAIT_MS);
        assertTrue(router.endsBy(killed), "the router has not ended in its time");
    }

    private static void faults(SplittableRandom random, MemberDirectory directory, StubHosts primaries, StubHosts replicas,
                               int hosts, RouterProcess router) {
        List<Client> idle = new ArrayList<>();
        try {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
            while (System.nanoTime() < end) {
                StubHosts farm = random.nextBoolean() ? primaries : replicas;
                switch (random.nextInt(7)) {
                    case 0 -> farm.behavior(StubHosts.Behavior.UNRESPONSIVE);
                    case 1 -> farm.behavior(StubHosts.Behavior.RESETTING);
                    case 2 -> farm.behavior(StubHosts.Behavior.REFUSING);
                    case 3 -> directory.change(restarts(random, replicas, hosts));
                    case 4 -> directory.change(newPrimaries(random, primaries, replicas, hosts));
                    case 5 -> crowd(router, idle);
                    default -> router.hangUp();
                }
                TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(600));
                if (random.nextBoolean()) {
                    farm.behavior(StubHosts.Behavior.HEALTHY);
                }
            }
            for (Client client : idle) {
                client.close();
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void crowd(RouterProcess router, List<Client> idle) throws IOException {
        for (int i = 0; i < 40; i++) {
            idle.add(new Client(router.address()));
        }
    }

    private static List<String> restarts(SplittableRandom random, StubHosts replicas, int hosts) {
        List<String> changed = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            if (!FleetConfig.isPrimary(host) && random.nextInt(3) == 0) {
                changed.add(FleetConfig.entry(host, replicas.address(), System.currentTimeMillis()));
            }
        }
        return changed;
    }

    private static List<String> newPrimaries(SplittableRandom random, StubHosts primaries, StubHosts replicas, int hosts) {
        List<String> changed = new ArrayList<>();
        for (int group = 0; group < hosts / FleetConfig.GROUP; group++) {
            if (random.nextInt(4) == 0) {
                changed.add(FleetConfig.entry(FleetConfig.primary(group), replicas.address(), 0));
                changed.add(FleetConfig.entry(FleetConfig.successor(group), primaries.address(), 0));
            }
        }
        return changed;
    }
}
