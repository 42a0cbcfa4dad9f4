package ledgewall;

import static ledgewall.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ledgewall.RoutingPolicy.Rules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What all routers of a fleet come to together. */
class PolicyFleetTest {
    private static final int PINGS = 3;

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 100})
    void probesOfAMemberDoNotGrowWithTheNumberOfRouters(int routers) {
        PolicyFleet fleet = new PolicyFleet(routers, 4);
        fleet.pass(10 * SECOND, 60);
        long since = fleet.now;
        fleet.pass(30 * SECOND, 60);
        int rounds = 6;
        for (String member : fleet.hosts.keySet()) {
            int probes = fleet.probes(member, since);
            assertTrue(probes <= 3 * rounds * PINGS, member + " " + probes);
            assertTrue(probes >= (rounds / 2) * PINGS, member + " " + probes);
        }
        assertTrue(fleet.refused <= fleet.asked / 100, "refused " + fleet.refused + " of " + fleet.asked);
    }

    @Test
    void aRestartedRouterProbesNotMoreThanWhatItIsAskedFor() {
        PolicyFleet fleet = new PolicyFleet(100, 4);
        fleet.pass(10 * SECOND, 60);
        fleet.probesBy.clear();
        fleet.restart(0);
        fleet.pass(SECOND, 60);
        int own = fleet.probesBy.getOrDefault(0, 0);
        assertTrue(own < 2 * fleet.hosts.size(), "probes within a second of a restart: " + own);
    }

    /**
     * Rule 4, over all routers: in any window a member that is back cold gets no more than the factor times what it can
     * do then, here a share of what each member did before, however many routers wait for it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 100})
    void whatAllRoutersSendToAMemberThatIsBackColdDoesNotGrowWithTheirNumber(int routers) {
        PolicyFleet fleet = new PolicyFleet(routers, 4);
        int seconds = 20;
        fleet.pass(seconds * SECOND, 300);
        double warm = fleet.hosts.get("a0").sends.size() / (double) seconds;
        fleet.hosts.get("a0").gone = true;
        fleet.pass(4 * SECOND, 300);
        fleet.hosts.get("a0").gone = false;
        long back = fleet.now;
        fleet.restarted("a0");
        fleet.pass(6 * SECOND, 300);
        Rules rules = PolicyHarness.rules();
        for (long from = back; from < back + 4 * SECOND; from += SECOND / 10) {
            long start = from;
            long end = start + rules.overloadWindow();
            long sent = fleet.hosts.get("a0").sends.stream().filter(at -> at >= start && at < end).count();
            double present = rules.coldShare() + (1 - rules.coldShare()) * (end - back)
                / rules.warmAfter();
            double most = rules.overloadFactor() * present * warm * rules.overloadWindow() / SECOND;
            assertTrue(sent <= most,
                sent + " sent in a window, " + most + " at most, " + (start - back) / PolicyHarness.MS + " ms on");
        }
        assertTrue(fleet.hosts.get("a0").sends.stream().anyMatch(at -> at >= back), "it is asked again");
    }

    @Test
    void routersThatHearNothingOfOneAnotherStillProbeEveryMember() {
        PolicyFleet fleet = new PolicyFleet(10, 2);
        fleet.cutOff = true;
        fleet.pass(12 * SECOND, 20);
        for (String member : fleet.hosts.keySet()) {
            assertTrue(fleet.probes(member, 0) >= 10 * PINGS, member + " " + fleet.probes(member, 0));
        }
    }
}
