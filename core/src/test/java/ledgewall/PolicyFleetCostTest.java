package ledgewall;

import static ledgewall.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that decisions of one router in a fleet of a hundred cost about the same with sixteen times as many members. */
class PolicyFleetCostTest {
    private static final int ROUTERS = 100;
    private static final int RANK = 7;
    private static final int GROUPS = 17;
    private static final int MEMBER_FACTOR = 16;
    private static final double REQUESTS_PER_SECOND = 1_200;
    private static final long DURATION = 20 * SECOND;

    /** Means per router; {@code refused} is a part of the requests. */
    private record Cost(double requests, double probes, double datagrams, double refused, double allocatedBytes) { }

    private static Cost cost(int groups, boolean peerMessages) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        PolicyFleet fleet = new PolicyFleet(ROUTERS, groups, peerMessages);
        fleet.advance(SECOND, REQUESTS_PER_SECOND);
        long before = threads.getCurrentThreadAllocatedBytes();
        fleet.advance(DURATION, REQUESTS_PER_SECOND);
        double allocated = threads.getCurrentThreadAllocatedBytes() - before;
        double probes = fleet.probesByRouter.values().stream().mapToInt(n -> n).sum();
        return new Cost(fleet.requestCount / (double) ROUTERS, probes / ROUTERS, fleet.receivedDatagrams / (double) ROUTERS,
            fleet.refusedRequests / (double) fleet.requestCount, allocated / ROUTERS);
    }

    /** Allocated bytes measure the work, because they are the same in each run. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void costOfDecisionsDependsOnTrafficAndNotOnTheNumberOfMembers(boolean peerMessages) {
        Cost baseline = cost(GROUPS, peerMessages);
        Cost scaled = cost(MEMBER_FACTOR * GROUPS, peerMessages);
        assertTrue(scaled.allocatedBytes() <= 1.4 * baseline.allocatedBytes(), baseline + " " + scaled);
        assertTrue(1 - scaled.refused() >= 0.85 * (1 - baseline.refused()), baseline + " " + scaled);
        assertTrue(scaled.probes() <= scaled.requests(), baseline + " " + scaled);
        assertTrue(scaled.datagrams() <= 5 * scaled.requests(), baseline + " " + scaled);
    }

    @Test
    void unreachableMembersWithoutRequestsAreProbedAtTheBackgroundRateOnly() {
        PolicyFleet fleet = new PolicyFleet(1, MEMBER_FACTOR * GROUPS, false);
        fleet.members.values().forEach(member -> member.unreachable = true);
        fleet.advance(DURATION, 0);
        double roundsPerSecond = 40;
        assertTrue(fleet.probesByRouter.get(0) <= roundsPerSecond * (DURATION / SECOND + 1), "probes " + fleet.probesByRouter);
    }

    @Test
    void readThatRequiresAPositionProbesOneReplicaAndGoesThere() {
        Settings base = PolicyHarness.settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.SERVES, false);
        PolicyHarness harness = new PolicyHarness(new Settings(ROUTERS, RANK, 0, base.tickInterval(), false, base.classes(),
            base.tenants(), 1, base.limits(), base.replication(), base.constraints())).withProbedGroup();
        int reads = 10;
        long interval = SECOND + SECOND / 10; // longer than the staleness bound of such a read
        List<String> sent = new ArrayList<>();
        int probes = 0;
        for (int read = 0; read < reads; read++) {
            harness.now += interval;
            List<Action> actions = harness.sendRequest(PolicyHarness.BOUNDED);
            for (Action action : actions) {
                if (action instanceof Probe probe) {
                    probes++;
                    Role role = probe.member().equals("p") ? Role.PRIMARY : Role.REPLICA;
                    sent.addAll(PolicyHarness.sendTargets(harness.answerProbe(probe.member(), role, harness.now)));
                }
            }
            sent.addAll(PolicyHarness.sendTargets(actions));
            harness.endAttempt(harness.lastRequest(), 0, sent.get(sent.size() - 1), Result.OK, Role.REPLICA);
        }
        assertEquals(reads, sent.size());
        assertTrue(!sent.contains("p"), sent.toString());
        long roundProbes = 3 * (reads * interval / (5 * SECOND) + 1);
        assertTrue(probes <= reads + roundProbes, "probes " + probes);
    }
}
