package ledgewall.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import ledgewall.standin.StubHosts;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs one router process of a fleet of a hundred against the usual number of database hosts and, with the same load, against
 * sixteen times as many; further tests use 3,200 hosts. The bounds are those of the regular test for larger fleets.
 */
@Timeout(180)
class FleetSizeTest {
    private static final int GROUP_SIZE = FleetConfig.GROUP_SIZE;
    private static final int USUAL_HOSTS = 60;
    private static final int MANY_HOSTS = 16 * USUAL_HOSTS;
    private static final int MAX_SOCKETS = 512;
    private static final int REQUESTS_PER_SECOND = 12;
    private static final int LOAD_SECONDS = 20;
    private static final long SEED = 28;

    @TempDir
    private static Path folder;
    private static Measurement usual;
    private static Measurement many;

    /** The resources that a router used, and how the requests ended. */
    private record Measurement(int requests, int answeredWithData, List<String> unanswered, double cpuSeconds, long descriptors,
                               int connections, long listBytes) { }

    /** The size of a fleet, the limit for the sockets of its router, the load, and the behavior of its hosts. */
    private record Scenario(int hosts, int sockets, int requestsPerSecond, int seconds, boolean hasPeers,
                            StubHosts.Behavior behavior) { }

    @BeforeAll
    static void measureBothSizes() throws IOException, InterruptedException {
        usual = measure(new Scenario(USUAL_HOSTS, MAX_SOCKETS, REQUESTS_PER_SECOND, LOAD_SECONDS, true,
            StubHosts.Behavior.HEALTHY));
        many = measure(new Scenario(MANY_HOSTS, MAX_SOCKETS, REQUESTS_PER_SECOND, LOAD_SECONDS, true,
            StubHosts.Behavior.HEALTHY));
    }

    private static Measurement measure(Scenario scenario) throws IOException, InterruptedException {
        try (StubHosts primaries = new StubHosts(true); StubHosts replicas = new StubHosts(false);
                PeerRouters peers = new PeerRouters(FleetConfig.ROUTERS, FleetConfig.RANK)) {
            primaries.behavior(scenario.behavior());
            replicas.behavior(scenario.behavior());
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < scenario.hosts(); i++) {
                entries.add(FleetConfig.entry(i, (FleetConfig.isPrimary(i) ? primaries : replicas).address(), 0));
            }
            try (DiscoveryServer discovery = new DiscoveryServer(entries);
                    RouterProcess router = new RouterProcess(folder,
                        FleetConfig.routerConfig(discovery, scenario.sockets(),
                            scenario.hasPeers() ? peers.configFragment() : ""));
                    LoadGenerator load = new LoadGenerator(router.address(), scenario.hosts() / GROUP_SIZE, SEED)) {
                double cpuSecondsBefore = router.cpuSeconds();
                peers.announcePrimaries(IntStream.range(0, scenario.hosts() / GROUP_SIZE)
                    .mapToObj(group -> "s-" + FleetConfig.primaryOf(group)).toList());
                Thread changes = new Thread(() -> changeMembers(discovery, primaries, replicas, scenario), "changes");
                changes.start();
                load.run(scenario.requestsPerSecond(), scenario.seconds(), 800);
                Measurement measurement = new Measurement(load.started(), load.answeredWithData(), load.unanswered(),
                    router.cpuSeconds() - cpuSecondsBefore, router.openDescriptors(),
                    primaries.acceptedConnections() + replicas.acceptedConnections(), discovery.bodyBytes());
                changes.join();
                System.out.println(scenario + " " + measurement);
                return measurement;
            }
        }
    }

    /** Restarts a replica every two seconds; halfway through, eleven groups, or all if there are fewer, fail over at once. */
    private static void changeMembers(DiscoveryServer discovery, StubHosts primaries, StubHosts replicas, Scenario scenario) {
        try {
            for (int second = 2; second < scenario.seconds(); second += 2) {
                Thread.sleep(2_000);
                int member = FleetConfig.successorOf(second % (scenario.hosts() / GROUP_SIZE));
                discovery.publish(List.of(FleetConfig.entry(member, replicas.address(), System.currentTimeMillis())));
                if (second == scenario.seconds() / 2) {
                    List<String> changedEntries = new ArrayList<>();
                    for (int group = 0; group < Math.min(11, scenario.hosts() / GROUP_SIZE); group++) {
                        changedEntries.add(FleetConfig.entry(FleetConfig.primaryOf(group), replicas.address(), 0));
                        changedEntries.add(FleetConfig.entry(FleetConfig.successorOf(group), primaries.address(), 0));
                    }
                    discovery.publish(changedEntries);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void assertAllAnswered(Measurement measurement) {
        assertEquals(0, measurement.unanswered().size(), () -> measurement.unanswered().stream().limit(5).toList().toString());
    }

    @Test
    void everyRequestIsAnsweredWithMoreHostsThanSockets()
            throws IOException, InterruptedException {
        Measurement measurement = measure(new Scenario(3_200, 192, 30, 12, false, StubHosts.Behavior.HEALTHY));
        assertAllAnswered(measurement);
        assertTrue(measurement.answeredWithData() > measurement.requests() / 2, measurement.toString());
    }

    @Test
    void everyRequestIsAnsweredWhileThousandsOfHostsHang() throws IOException, InterruptedException {
        Measurement measurement = measure(new Scenario(3_200, 192, 30, 6, false, StubHosts.Behavior.UNRESPONSIVE));
        assertAllAnswered(measurement);
    }

    @Test
    void requestsAreServedAsWellWithSixteenTimesTheHosts() {
        assertAllAnswered(usual);
        assertAllAnswered(many);
        assertTrue(many.answeredWithData() / (double) many.requests()
            >= 0.85 * usual.answeredWithData() / usual.requests(), usual + " " + many);
    }

    @Test
    void cpuTimeDescriptorsAndListBytesHardlyGrowWithSixteenTimesTheHosts() {
        double thousandsOfHosts = MANY_HOSTS / 1e3;
        assertTrue(many.cpuSeconds() <= 1.4 * usual.cpuSeconds() + 0.02 + 0.12 * thousandsOfHosts, usual + " " + many);
        assertTrue(many.descriptors() <= 2 * usual.descriptors() + 40, usual + " " + many);
        assertTrue(many.listBytes() <= 2 * usual.listBytes() + 64_000 + 500_000 * thousandsOfHosts, usual + " " + many);
    }

    @Test
    void connectionsToHostsHardlyGrowWithSixteenTimesTheHosts() {
        assertTrue(many.connections() <= 2.5 * usual.connections() + 40, usual + " " + many);
    }
}
