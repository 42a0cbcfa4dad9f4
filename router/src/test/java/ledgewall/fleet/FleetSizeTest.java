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
 * One router process of a hundred beside database hosts of the usual and of sixteen times the usual number and more, the
 * traffic being the same. Bounds are those of the standing test for larger fleets.
 */
@Timeout(180)
class FleetSizeTest {
    private static final int GROUP = FleetConfig.GROUP;
    private static final int USUAL_HOSTS = 60;
    private static final int MANY_HOSTS = 16 * USUAL_HOSTS;
    private static final int SOCKETS = 512;
    private static final int PER_SECOND = 12;
    private static final int SECONDS = 20;
    private static final long SEED = 28;

    @TempDir
    private static Path folder;
    private static Outcome usual;
    private static Outcome many;

    /** What a router needed, and what became of its clients. */
    private record Outcome(int asked, int served, List<String> lost, double processorSeconds, long descriptors,
                           int connections, long listBytes) { }

    /** A fleet of so many hosts and what happens there. */
    private record Scene(int hosts, int sockets, int perSecond, int seconds, boolean fellows, StubHosts.Behavior mood) { }

    @BeforeAll
    static void playBothSizes() throws IOException, InterruptedException {
        usual = play(new Scene(USUAL_HOSTS, SOCKETS, PER_SECOND, SECONDS, true, StubHosts.Behavior.HEALTHY));
        many = play(new Scene(MANY_HOSTS, SOCKETS, PER_SECOND, SECONDS, true, StubHosts.Behavior.HEALTHY));
    }

    private static Outcome play(Scene scene) throws IOException, InterruptedException {
        try (StubHosts primaries = new StubHosts(true); StubHosts replicas = new StubHosts(false);
                FellowRouters fellows = new FellowRouters(FleetConfig.ROUTERS, FleetConfig.RANK)) {
            primaries.behavior(scene.mood());
            replicas.behavior(scene.mood());
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < scene.hosts(); i++) {
                entries.add(FleetConfig.entry(i, (FleetConfig.isPrimary(i) ? primaries : replicas).address(), 0));
            }
            try (MemberDirectory directory = new MemberDirectory(entries);
                    RouterProcess router = new RouterProcess(folder,
                        FleetConfig.router(directory, scene.sockets(), scene.fellows() ? fellows.config() : ""));
                    ClientCrowd clients = new ClientCrowd(router.address(), scene.hosts() / GROUP, SEED)) {
                double before = router.processorSeconds();
                fellows.tellPrimaries(IntStream.range(0, scene.hosts() / GROUP)
                    .mapToObj(group -> "s-" + FleetConfig.primary(group)).toList());
                Thread changes = new Thread(() -> change(directory, primaries, replicas, scene), "changes");
                changes.start();
                clients.run(scene.perSecond(), scene.seconds(), 800);
                Outcome outcome = new Outcome(clients.asked(), clients.served(), clients.lost(),
                    router.processorSeconds() - before, router.descriptors(),
                    primaries.acceptedConnections() + replicas.acceptedConnections(), directory.bytes());
                changes.join();
                System.out.println(scene + " " + outcome);
                return outcome;
            }
        }
    }

    /** A replica starts anew each two seconds; in the middle eleven groups, or all there are, have a new primary at once. */
    private static void change(MemberDirectory directory, StubHosts primaries, StubHosts replicas, Scene scene) {
        try {
            for (int second = 2; second < scene.seconds(); second += 2) {
                Thread.sleep(2_000);
                int member = FleetConfig.successor(second % (scene.hosts() / GROUP));
                directory.change(List.of(FleetConfig.entry(member, replicas.address(), System.currentTimeMillis())));
                if (second == scene.seconds() / 2) {
                    List<String> changed = new ArrayList<>();
                    for (int group = 0; group < Math.min(11, scene.hosts() / GROUP); group++) {
                        changed.add(FleetConfig.entry(FleetConfig.primary(group), replicas.address(), 0));
                        changed.add(FleetConfig.entry(FleetConfig.successor(group), primaries.address(), 0));
                    }
                    directory.change(changed);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void assertNothingLost(Outcome outcome) {
        assertEquals(0, outcome.lost().size(), () -> outcome.lost().stream().limit(5).toList().toString());
    }

    @Test
    void noRequestIsLeftUnansweredWhereConnectionsToThousandsOfHostsCouldFillTheDescriptors()
            throws IOException, InterruptedException {
        Outcome outcome = play(new Scene(3_200, 192, 30, 12, false, StubHosts.Behavior.HEALTHY));
        assertNothingLost(outcome);
        assertTrue(outcome.served() > outcome.asked() / 2, outcome.toString());
    }

    @Test
    void noRequestIsLeftUnansweredWhereThousandsOfHostsHang() throws IOException, InterruptedException {
        Outcome outcome = play(new Scene(3_200, 192, 30, 6, false, StubHosts.Behavior.UNRESPONSIVE));
        assertNothingLost(outcome);
    }

    @Test
    void requestsAreServedAsWellWithSixteenTimesTheHosts() {
        assertNothingLost(usual);
        assertNothingLost(many);
        assertTrue(many.served() / (double) many.asked() >= 0.85 * usual.served() / usual.asked(), usual + " " + many);
    }

    @Test
    void processorTimeDescriptorsAndListsHardlyGrowWithSixteenTimesTheHosts() {
        double thousands = MANY_HOSTS / 1e3;
        assertTrue(many.processorSeconds() <= 1.4 * usual.processorSeconds() + 0.02 + 0.12 * thousands, usual + " " + many);
        assertTrue(many.descriptors() <= 2 * usual.descriptors() + 40, usual + " " + many);
        assertTrue(many.listBytes() <= 2 * usual.listBytes() + 64_000 + 500_000 * thousands, usual + " " + many);
    }

    @Test
    void connectionsToHostsHardlyGrowWithSixteenTimesTheHosts() {
        assertTrue(many.connections() <= 2.5 * usual.connections() + 40, usual + " " + many);
    }
}
