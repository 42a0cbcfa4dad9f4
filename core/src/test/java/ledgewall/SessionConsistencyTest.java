package ledgewall;

import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static ledgewall.PolicyHarness.WRITE;
import static ledgewall.PolicyHarness.sendTargets;
import static ledgewall.PolicyHarness.withReadClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import ledgewall.RoutingPolicy.*;
import org.junit.jupiter.api.Test;

/** Which members the reads of a session go to after its writes. */
class SessionConsistencyTest {

    @Test
    void sessionTokenExcludesReplicasWithoutTheSessionsWrite() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, true);
        harness.now += 100 * MS;
        harness.process(new Arrival(70, 0, 0, 1, 5, 700 * MS, 50 * MS, false));
        assertEquals(List.of("p"), sendTargets(harness.allActions));
        harness.process(new Arrival(71, 0, 0, 1, 5, 700 * MS, 150 * MS, false));
        assertNotEquals("p", sendTargets(harness.allActions).get(1));
    }

    @Test
    void rememberedWriteExcludesReplicasWithoutIt() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        harness.sendRequest(WRITE);
        harness.now += 100 * MS;
        harness.process(new Outcome(1, 0, "p", Result.OK, 100 * MS, true, Role.PRIMARY, harness.now, null));
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
        harness.now += 100 * MS;
        harness.answerProbe("a", Role.REPLICA, harness.now);
        assertEquals(List.of("a"), sendTargets(harness.sendRequest(0)));
    }

    @Test
    void sessionEvictedFromMemoryStillReadsItsWrite() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        harness.now += 2 * SECOND;
        for (int session = 1; session <= 20_010; session++) {
            harness.process(new Arrival(session, WRITE, 0, 1, session, 5 * SECOND, RoutingPolicy.NONE, false));
            harness.process(new Outcome(session, 0, "p", Result.OK, MS, true, Role.PRIMARY, harness.now, null));
        }
        harness.allActions.clear();
        harness.process(new Arrival(30_000, 0, 0, 1, 1, 700 * MS, RoutingPolicy.NONE, false));
        assertEquals(List.of("p"), sendTargets(harness.allActions));
    }
}
