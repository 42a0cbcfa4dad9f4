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

/** What decisions cost a router of a hundred with the usual number of members and with sixteen times as many. */
class PolicyFleetCostTest {
    private static final int ROUTERS = 100;
    private static final int RANK = 7;
    private static final int GROUPS = 17;
    private static final int TIMES = 16;
    private static final double RATE = 1_200;
    private static final long DAY = 20 * SECOND;

    /** Of one router, in the mean; {@code refused} is a part of the requests. */
    private record Cost(double requests, double probes, double findings, double refused, double allocatedBytes) { }

    private static Cost cost(int groups, boolean shared) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        PolicyFleet fleet = new PolicyFleet(ROUTERS, groups, shared);
        fleet.pass(SECOND, RATE);
        long before = threads.getCurrentThreadAllocatedBytes();
        fleet.pass(DAY, RATE);
        double allocated = threads.getCurrentThreadAllocatedBytes() - before;
        double probes = fleet.probesBy.values().stream().mapToInt(n -> n).sum();
        return new Cost(fleet.asked / (double) ROUTERS, probes / ROUTERS, fleet.heard / (double) ROUTERS,
            fleet.refused / (double) fleet.asked, allocated / ROUTERS);
    }

    /** Allocated bytes stand for work: they are the same in each run. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theWorkOfDecisionsGoesByTrafficAndNotByTheNumberOfMembers(boolean shared) {
        Cost usual = cost(GROUPS, shared);
        Cost many = cost(TIMES * GROUPS, shared);
        assertTrue(many.allocatedBytes() <= 1.4 * usual.allocatedBytes(), usual + " " + many);
        assertTrue(1 - many.refused() >= 0.85 * (1 - usual.refused()), usual + " " + many);
        assertTrue(many.probes() <= many.requests(), usual + " " + many);
        assertTrue(many.findings() <= 5 * many.requests(), usual + " " + many);
    }

    @Test
    void membersThatFailTheirProbesAreNotProbedWithoutARequest() {
        PolicyFleet fleet = new PolicyFleet(1, TIMES * GROUPS, false);
        fleet.hosts.values().forEach(host -> host.gone = true);
        fleet.pass(DAY, 0);
        double rounds = 40;
        assertTrue(fleet.probesBy.get(0) <= rounds * (DAY / SECOND + 1), "probes " + fleet.probesBy);
    }

    @Test
    void aReadThatNeedsAProvenPositionAsksOneReplicaForItAndGoesThere() {
        Settings few = PolicyHarness.settings(Effect.AT_MOST_ONCE, Behind.ANSWERS, false);
        PolicyHarness bench = new PolicyHarness(new Settings(ROUTERS, RANK, 0, few.tick(), false, few.classes(), few.tenants(), 1,
            few.limits(), few.data(), few.rules())).ready();
        int reads = 10;
        long apart = SECOND + SECOND / 10; // longer than the bound of such a read
        List<String> sent = new ArrayList<>();
        int probes = 0;
        for (int read = 0; read < reads; read++) {
            bench.now += apart;
            List<Action> actions = bench.ask(PolicyHarness.BOUNDED);
            for (Action action : actions) {
                if (action instanceof Probe probe) {
                    probes++;
                    Role role = probe.member().equals("p") ? Role.PRIMARY : Role.REPLICA;
                    sent.addAll(PolicyHarness.sends(bench.echo(probe.member(), role, bench.now)));
                }
            }
            sent.addAll(PolicyHarness.sends(actions));
            bench.outcome(bench.lastRequest(), 0, sent.get(sent.size() - 1), Result.OK, Role.REPLICA);
        }
        assertEquals(reads, sent.size());
        assertTrue(!sent.contains("p"), sent.toString());
        long rounds = 3 * (reads * apart / (5 * SECOND) + 1);
        assertTrue(probes <= reads + rounds, "probes " + probes);
    }
}
