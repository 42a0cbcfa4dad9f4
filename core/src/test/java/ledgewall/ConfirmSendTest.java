package ledgewall;

import static ledgewall.PolicyHarness.ANY;
import static ledgewall.PolicyHarness.BOUNDED;
import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static ledgewall.PolicyHarness.WRITE;
import static ledgewall.PolicyHarness.listing;
import static ledgewall.PolicyHarness.sendTargets;
import static ledgewall.PolicyHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import ledgewall.RoutingPolicy.*;
import org.junit.jupiter.api.Test;

/** What the policy says of a send whose connection is ready some time after the decision. */
class ConfirmSendTest {
    private static final long CONNECT_TIME = 200 * MS;

    private static PolicyHarness harness(RetrySafety writeSafety, StaleReadHandling staleReads) {
        return new PolicyHarness(settings(writeSafety, staleReads, false)).withProbedGroup();
    }

    private static boolean isConfirmed(PolicyHarness harness, int attempt) {
        return harness.policy.confirmSend(harness.now, harness.lastRequest(), attempt) >= harness.now;
    }

    @Test
    void sendThatStillKeepsEveryRuleIsConfirmed() {
        PolicyHarness harness = harness(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES);
        harness.sendRequest(WRITE);
        harness.now += CONNECT_TIME;
        assertTrue(isConfirmed(harness, 0));
    }

    /** Guards against a repeat that reaches its hosts after their deduplication window. */
    @Test
    void repeatIsPermittedUntilTheEndOfItsWindowOnly() {
        PolicyHarness harness = harness(RetrySafety.DEDUPLICATED, StaleReadHandling.REFUSES);
        harness.sendRequest(WRITE);
        long firstSentAt = harness.now;
        harness.now += SECOND - CONNECT_TIME;
        assertEquals(List.of("p"), sendTargets(harness.endAttempt(harness.lastRequest(), 0, "p", Result.RESET, Role.UNKNOWN)));
        long latestWrite = harness.policy.confirmSend(harness.now, harness.lastRequest(), 1);
        assertTrue(latestWrite > harness.now && latestWrite <= firstSentAt + SECOND, "until " + (latestWrite - firstSentAt));
        harness.now += CONNECT_TIME;
        assertFalse(isConfirmed(harness, 1));
        List<Action> actions = harness.endAttempt(harness.lastRequest(), 1, "p", Result.WITHDRAWN, Role.UNKNOWN);
        assertEquals(List.of(new Fail(harness.lastRequest())), actions.stream().filter(Fail.class::isInstance).toList());
    }

    /** Guards against a request that is written to a member which has begun to drain while the connection came up. */
    @Test
    void sendToAMemberThatDrainsMeanwhileIsWithdrawnAndGoesElsewhere() {
        PolicyHarness harness = harness(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES);
        String member = sendTargets(harness.sendRequest(ANY)).get(0);
        harness.process(new MemberList(ListKind.DELTA, List.of(listing(member, Phase.DRAINING, 0))));
        assertFalse(isConfirmed(harness, 0));
        List<String> next = sendTargets(harness.endAttempt(harness.lastRequest(), 0, member, Result.WITHDRAWN, Role.UNKNOWN));
        assertEquals(List.of(member.equals("a") ? "b" : "a"), next);
    }

    /** Guards against a bounded read that is answered from data over its bound, as its connection came up late. */
    @Test
    void boundedReadIsPermittedWhileTheKnownPositionIsWithinTheBoundOnly() {
        PolicyHarness harness = harness(RetrySafety.AT_MOST_ONCE, StaleReadHandling.SERVES);
        harness.now += SECOND - CONNECT_TIME;
        String member = sendTargets(harness.sendRequest(BOUNDED)).get(0);
        assertFalse(member.equals("p"));
        assertTrue(isConfirmed(harness, 0));
        harness.now += CONNECT_TIME + MS;
        assertFalse(isConfirmed(harness, 0));
        harness.answerProbe(member, Role.REPLICA, harness.now);
        assertTrue(isConfirmed(harness, 0), "the member has reported a newer position meanwhile");
    }

    /** Guards against sends that were decided on while a member was warm, and reach it after its restart. */
    @Test
    void sendsToAMemberThatHasRestartedMeanwhileStayWithinItsBudget() {
        PolicyHarness harness = new PolicyHarness(settings(1, 0)).withProbedGroup();
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += sendTargets(harness.sendRequest(WRITE)).size();
        }
        assertTrue(sent > 8, sent + " sends");
        harness.process(new MemberList(ListKind.DELTA, List.of(listing("p", Phase.SERVING, harness.now))));
        int confirmed = 0;
        for (long request = 1; request <= sent; request++) {
            confirmed += harness.policy.confirmSend(harness.now, request, 0) >= harness.now ? 1 : 0;
        }
        assertTrue(confirmed >= 1 && confirmed <= 7, confirmed + " of " + sent);
    }

    @Test
    void attemptOfAnAbandonedRequestIsNotConfirmed() {
        PolicyHarness harness = harness(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES);
        harness.sendRequest(WRITE);
        harness.process(new Abandoned(harness.lastRequest()));
        assertFalse(isConfirmed(harness, 0));
    }
}
