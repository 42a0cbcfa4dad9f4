package ledgewall;

import static ledgewall.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ledgewall.RoutingPolicy.Constraints;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests limits that all routers of a fleet have to keep together. */
class PolicyFleetTest {
    private static final int PROBES_PER_ROUND = 3;

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 100})
    void probesOfAMemberDoNotIncreaseWithTheNumberOfRouters(int routers) {
        PolicyFleet fleet = new PolicyFleet(routers, 4);
        fleet.advance(10 * SECOND, 60);
        long since = fleet.now;
        fleet.advance(30 * SECOND, 60);
        int rounds = 6;
        for (String member : fleet.members.keySet()) {
            int probes = fleet.probesSince(member, since);
            assertTrue(probes <= 3 * rounds * PROBES_PER_ROUND, member + " " + probes);
            assertTrue(probes >= (rounds / 2) * PROBES_PER_ROUND, member + " " + probes);
        }
        assertTrue(fleet.refusedRequests <= fleet.requestCount / 100,
            "refused " + fleet.refusedRequests + " of " + fleet.requestCount);
    }

    @Test
    void restartedRouterSendsFewProbesInItsFirstSecond() {
        PolicyFleet fleet = new PolicyFleet(100, 4);
        fleet.advance(10 * SECOND, 60);
        fleet.probesByRouter.clear();
        fleet.restartRouter(0);
        fleet.advance(SECOND, 60);
        int probes = fleet.probesByRouter.getOrDefault(0, 0);
        assertTrue(probes < 2 * fleet.members.size(), "probes within a second of a restart: " + probes);
    }

    /**
     * The overload constraint for all routers together: in any window, a member that has restarted is sent at most the overload
     * factor times its present capacity, here a share of the warm rate, however many routers have requests for it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 100})
    void coldMemberStaysWithinItsBudgetWhateverTheNumberOfRouters(int routers) {
        PolicyFleet fleet = new PolicyFleet(routers, 4);
        int seconds = 20;
        fleet.advance(seconds * SECOND, 300);
        double warmRate = fleet.members.get("a0").sendTimes.size() / (double) seconds;
        fleet.members.get("a0").unreachable = true;
        fleet.advance(4 * SECOND, 300);
        fleet.members.get("a0").unreachable = false;
        long restartedAt = fleet.now;
        fleet.announceRestart("a0");
        fleet.advance(6 * SECOND, 300);
        Constraints constraints = PolicyHarness.constraints();
        for (long from = restartedAt; from < restartedAt + 4 * SECOND; from += SECOND / 10) {
            long start = from;
            long end = start + constraints.overloadWindow();
            long sent = fleet.members.get("a0").sendTimes.stream().filter(at -> at >= start && at < end).count();
            double capacityShare = constraints.coldCapacityShare() + (1 - constraints.coldCapacityShare()) * (end - restartedAt)
                / constraints.warmUpTime();
            double most = constraints.overloadFactor() * capacityShare * warmRate * constraints.overloadWindow() / SECOND;
            assertTrue(sent <= most,
                sent + " sent in a window, " + most + " at most, " + (start - restartedAt) / PolicyHarness.MS
                    + " ms after the restart");
        }
        assertTrue(fleet.members.get("a0").sendTimes.stream().anyMatch(at -> at >= restartedAt),
            "no request was sent after the restart");
    }

    @Test
    void routersWithoutDatagramsFromOthersStillProbeEveryMember() {
        PolicyFleet fleet = new PolicyFleet(10, 2);
        fleet.dropsDatagrams = true;
        fleet.advance(12 * SECOND, 20);
        for (String member : fleet.members.keySet()) {
            assertTrue(fleet.probesSince(member, 0) >= 10 * PROBES_PER_ROUND, member + " " + fleet.probesSince(member, 0));
        }
    }
}
