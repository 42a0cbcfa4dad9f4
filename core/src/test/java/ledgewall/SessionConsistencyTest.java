package ledgewall;

import static ledgewall.PolicyHarness.BOUNDED;
import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static ledgewall.PolicyHarness.WRITE;
import static ledgewall.PolicyHarness.listing;
import static ledgewall.PolicyHarness.sendTargets;
import static ledgewall.PolicyHarness.settings;
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

    /** Sends a write of session 5 to the primary "p". */
    private static long startWrite(PolicyHarness harness) {
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
        return harness.lastRequest();
    }

    private static List<Action> endWrite(PolicyHarness harness, long request, Result result, long position) {
        return harness.process(new Outcome(request, 0, "p", result, MS, true, Role.PRIMARY, position, null));
    }

    /** Guards against a session that reads a stale replica after a write whose answer told no position. */
    @Test
    void writeOfUnknownPositionCountsUntilAReplicaIsPastTheTimeOfItsAnswer() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        long write = startWrite(harness);
        harness.now += 100 * MS;
        endWrite(harness, write, Result.OK, RoutingPolicy.NONE);
        long answeredAt = harness.now;
        harness.now += 100 * MS;
        harness.answerProbe("a", Role.REPLICA, answeredAt);
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
        harness.answerProbe("a", Role.REPLICA, answeredAt + MS);
        assertEquals(List.of("a"), sendTargets(harness.sendRequest(0)));
    }

    /** Guards against a read that is routed between the answer to its session's write and the end of the write's attempt. */
    @Test
    void answeredWriteCountsBeforeItsPositionIsKnownAndNoLongerThanItsPositionThen() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        long write = startWrite(harness);
        long commit = harness.now + 10 * MS;
        harness.now += 100 * MS;
        harness.process(new WriteAnswered(write, 0));
        harness.now += 300 * MS;
        harness.answerProbe("a", Role.REPLICA, commit);
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
        endWrite(harness, write, Result.OK, commit);
        assertEquals(List.of("a"), sendTargets(harness.sendRequest(0)));
    }

    /** An attempt that is lost after its answer has arrived leaves the time of the answer as the bound, not that of its end. */
    @Test
    void answeredWriteWhoseAttemptEndsWithoutAPositionCountsFromItsAnswer() {
        for (Result result : List.of(Result.OK, Result.RESET, Result.TIMED_OUT)) {
            PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
            long write = startWrite(harness);
            harness.now += 100 * MS;
            long answeredAt = harness.now;
            harness.process(new WriteAnswered(write, 0));
            harness.now += 300 * MS;
            endWrite(harness, write, result, RoutingPolicy.NONE);
            harness.answerProbe("a", Role.REPLICA, answeredAt);
            assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)), result.name());
            harness.answerProbe("a", Role.REPLICA, answeredAt + MS);
            assertEquals(List.of("a"), sendTargets(harness.sendRequest(0)), result.name());
        }
    }

    /** Guards against a read whose second attempt goes to a replica by what was known when it arrived. */
    @Test
    void attemptOfAReadSeesAWriteThatWasAnsweredAfterTheReadArrived() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        long write = startWrite(harness);
        String first = sendTargets(harness.sendRequest(0)).get(0);
        assertNotEquals("p", first);
        harness.now += 10 * MS;
        harness.process(new WriteAnswered(write, 0));
        harness.now += 10 * MS;
        assertEquals(List.of("p"), sendTargets(harness.endAttempt(harness.lastRequest(), 0, first, Result.ERROR, Role.REPLICA)));
    }

    /** Guards against a token that is older than a write which this router has served in the read's session. */
    @Test
    void rememberedWriteCountsBesideAnEarlierToken() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, true);
        long write = startWrite(harness);
        harness.now += 100 * MS;
        endWrite(harness, write, Result.OK, RoutingPolicy.NONE);
        harness.process(new Arrival(70, 0, 0, 1, 5, 700 * MS, SECOND, false));
        assertEquals("p", sendTargets(harness.allActions).get(1));
    }

    /** Guards against a position in a wrong unit, or out of a spoilt answer, that makes a write older than it can be. */
    @Test
    void positionFromBeforeTheWriteOrFarAheadIsNotUsedAndIsLoggedOnce() {
        for (long difference : List.of(-101 * MS, 101 * MS)) {
            PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
            harness.now += SECOND;
            for (int i = 0; i < 2; i++) {
                long write = startWrite(harness);
                List<Action> actions = endWrite(harness, write, Result.OK, harness.now + difference);
                assertEquals(i == 0 ? 1 : 0, PolicyHarness.count(actions, LogMessage.class));
            }
            harness.answerProbe("a", Role.REPLICA, harness.now);
            assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
            harness.answerProbe("a", Role.REPLICA, harness.now + MS);
            assertEquals(List.of("a"), sendTargets(harness.sendRequest(0)));
        }
    }

    /** A repeat that was discarded is answered with the commit of the first copy, which an earlier request may have sent. */
    @Test
    void commitOfAnEarlierCopyWithinTheDeduplicationWindowIsUsed() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false, RetrySafety.DEDUPLICATED);
        long probedAt = harness.now;
        harness.now += SECOND;
        long write = startWrite(harness);
        endWrite(harness, write, Result.OK, probedAt);
        assertNotEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
    }

    /** Guards against an evicted write of unknown position that counts as none. */
    @Test
    void evictedWriteOfUnknownPositionStillCounts() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        for (int session = 1; session <= 20_010; session++) {
            harness.process(new Arrival(session, WRITE, 0, 1, session, 5 * SECOND, RoutingPolicy.NONE, false));
            endWrite(harness, session, Result.OK, RoutingPolicy.NONE);
        }
        harness.allActions.clear();
        harness.process(new Arrival(30_000, 0, 0, 1, 1, 700 * MS, RoutingPolicy.NONE, false));
        assertEquals(List.of("p"), sendTargets(harness.allActions));
    }

    /** Guards against a missing position that is taken for the time -1, shortly after the clock's zero. */
    @Test
    void memberOfUnknownPositionIsNotTakenForOneOfTheClocksZero() {
        PolicyHarness harness = new PolicyHarness(settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.SERVES, false), 100 * MS);
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("p"), listing("a"))));
        harness.answerProbe("p", Role.PRIMARY, harness.now);
        harness.answerProbe("a", Role.REPLICA, RoutingPolicy.NONE);
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(BOUNDED)));
    }

    /** Guards against evicting the newest write: the reads of all unknown sessions would then go to the primary. */
    @Test
    void sessionThatWritesAgainIsNotEvictedAsTheOldest() {
        PolicyHarness harness = withReadClasses(Consistency.SESSION, false);
        for (int session = 1; session <= 20_000; session++) {
            writeInSession(harness, session, session);
        }
        harness.now += 100 * MS;
        harness.answerProbe("a", Role.REPLICA, harness.now);
        harness.now += 100 * MS;
        writeInSession(harness, 20_001, 1);
        writeInSession(harness, 20_002, 20_001);
        harness.allActions.clear();
        harness.process(new Arrival(30_000, 0, 0, 1, 30_000, 700 * MS, RoutingPolicy.NONE, false));
        harness.process(new Arrival(30_001, 0, 0, 1, 1, 700 * MS, RoutingPolicy.NONE, false));
        assertEquals(List.of("a", "p"), sendTargets(harness.allActions));
    }

    private static void writeInSession(PolicyHarness harness, long request, long session) {
        harness.process(new Arrival(request, WRITE, 0, 1, session, 5 * SECOND, RoutingPolicy.NONE, false));
        harness.process(new Outcome(request, 0, "p", Result.OK, MS, true, Role.PRIMARY, harness.now, null));
    }
}
