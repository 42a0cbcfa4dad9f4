package ledgewall;

import static ledgewall.PolicyHarness.ANY;
import static ledgewall.PolicyHarness.BOUNDED;
import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static ledgewall.PolicyHarness.WRITE;
import static ledgewall.PolicyHarness.count;
import static ledgewall.PolicyHarness.listing;
import static ledgewall.PolicyHarness.sendTargets;
import static ledgewall.PolicyHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ledgewall.RoutingPolicy.*;
import org.junit.jupiter.api.Test;

class ReplicaRoutingPolicyTest {

    // Normal path

    @Test
    void readsGoToAllReplicasAndNotToThePrimary() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 40; i++) {
            List<String> sent = sendTargets(harness.sendRequest(i % 2 == 0 ? ANY : BOUNDED));
            assertEquals(1, sent.size());
            harness.endAttempt(harness.lastRequest(), 0, sent.get(0), Result.OK, Role.REPLICA);
        }
        List<String> all = sendTargets(harness.allActions);
        assertTrue(all.contains("a") && all.contains("b"));
        assertFalse(all.contains("p"));
    }

    @Test
    void writesGoToTheMemberLastSeenAsPrimary() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
        harness.now += SECOND;
        harness.answerProbe("a", Role.PRIMARY, harness.now);
        assertEquals(List.of("a"), sendTargets(harness.sendRequest(WRITE)));
    }

    @Test
    void membersAreProbedThreeTimesAtTheStartAndAgainAfterFiveSeconds() {
        PolicyHarness harness = new PolicyHarness(settings());
        List<Action> first = harness.process(new MemberList(ListKind.CACHED, List.of(listing("p"), listing("a"))));
        assertEquals(2, count(first, Probe.class));
        assertEquals(1, count(harness.answerProbe("a", Role.REPLICA, harness.now), Probe.class));
        assertEquals(1, count(harness.answerProbe("a", Role.REPLICA, harness.now), Probe.class));
        assertEquals(0, count(harness.answerProbe("a", Role.REPLICA, harness.now), Probe.class));
        harness.now += 5 * SECOND;
        assertTrue(harness.process(new TimerFired(1)).contains(new Probe("a")));
    }

    @Test
    void readsAvoidAMemberWhoseLastProbeFailed() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), sendTargets(harness.sendRequest(ANY)));
            harness.endAttempt(harness.lastRequest(), 0, "b", Result.OK, Role.REPLICA);
        }
    }

    @Test
    void failedReadIsRetriedAtTheOtherReplicaAndThenAtThePrimary() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        String first = sendTargets(harness.sendRequest(ANY)).get(0);
        String second = sendTargets(harness.endAttempt(1, 0, first, Result.NOT_CONNECTED, Role.UNKNOWN)).get(0);
        assertNotEquals(first, second);
        assertEquals(List.of("p"), sendTargets(harness.endAttempt(1, 1, second, Result.RESET, Role.UNKNOWN)));
    }

    @Test
    void boundedReadGoesToThePrimaryWhileAllReplicasLag() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.now += 3 * SECOND;
        harness.answerProbe("p", Role.PRIMARY, harness.now);
        harness.answerProbe("a", Role.REPLICA, harness.now - 2 * SECOND);
        harness.answerProbe("b", Role.REPLICA, harness.now - 2 * SECOND);
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(BOUNDED)));
    }

    @Test
    void writeRefusedByAReplicaIsQueuedAndGoesToTheNewPrimary() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.sendRequest(WRITE);
        harness.now += SECOND;
        assertEquals(List.of(), sendTargets(harness.endAttempt(1, 0, "p", Result.MISDIRECTED, Role.REPLICA)));
        assertEquals(List.of("a"), sendTargets(harness.answerProbe("a", Role.PRIMARY, harness.now)));
    }

    // Overload

    @Test
    void attemptsInFlightStayWithinTheMembersConcurrencyLimits() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 200; i++) {
            harness.sendRequest(ANY);
        }
        int sent = sendTargets(harness.allActions).size();
        assertTrue(sent >= 6 && sent <= 20, "sent " + sent);
        assertTrue(count(harness.advance(450 * MS), Refuse.class) > 100);
    }

    @Test
    void requestRejectedByAMemberIsRetriedAtAnother() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        String first = sendTargets(harness.sendRequest(ANY)).get(0);
        String second = sendTargets(harness.endAttempt(1, 0, first, Result.REJECTED, Role.UNKNOWN)).get(0);
        assertNotEquals(first, second);
    }

    @Test
    void silentPrimaryIsSentOneTrialWriteAfterTheTrialInterval() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(harness.arrival(WRITE, 2 * SECOND));
        harness.advance(1_999 * MS);
        harness.endAttempt(1, 0, "p", Result.TIMED_OUT, Role.UNKNOWN);
        int before = sendTargets(harness.allActions).size();
        harness.sendRequest(WRITE);
        harness.sendRequest(WRITE);
        harness.advance(600 * MS);
        assertEquals(before + 1, sendTargets(harness.allActions).size());
    }

    @Test
    void freshReadGoesToThePrimary() {
        PolicyHarness harness = PolicyHarness.withReadClasses(Consistency.FRESH, true);
        harness.now += MS;
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(0)));
    }

    // Constraint: one final answer, by the deadline

    @Test
    void queuedWriteIsRefusedBeforeItsDeadline() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now);
        harness.process(harness.arrival(WRITE, SECOND));
        List<Action> actions = harness.advance(999 * MS);
        assertEquals(1, count(actions, Refuse.class));
        assertEquals(0, count(actions, Fail.class));
    }

    @Test
    void unansweredWriteFailsBeforeItsDeadline() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.sendRequest(WRITE);
        List<Action> actions = harness.advance(4_999 * MS);
        assertEquals(1, count(actions, Fail.class));
        assertEquals(0, count(actions, Refuse.class));
    }

    @Test
    void abandonedRequestGetsNoActions() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))), harness.arrival(WRITE, SECOND));
        harness.process(new Abandoned(1));
        List<Action> actions = harness.advance(2 * SECOND);
        assertEquals(0, count(actions, Refuse.class) + count(actions, Fail.class) + count(actions, Send.class));
    }

    @Test
    void requestOfAnUnknownClassOrGroupIsRefused() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        assertEquals(1, count(harness.process(new Arrival(90, 9, 0, 1, 0, SECOND, RoutingPolicy.NONE, false)),
            Refuse.class));
        harness.process(new Arrival(91, ANY, 0, 77, 0, SECOND, RoutingPolicy.NONE, false));
        assertEquals(1, count(harness.advance(SECOND), Refuse.class));
    }

    // Constraint: nothing is executed twice unless that is safe

    @Test
    void atMostOnceWriteThatMayHaveBeenExecutedFailsAndIsNotSentAgain() {
        for (Result result : List.of(Result.ERROR, Result.RESET, Result.TIMED_OUT, Result.CANCELLED)) {
            PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
            harness.sendRequest(WRITE);
            List<Action> actions = harness.endAttempt(1, 0, "p", result, Role.UNKNOWN);
            assertEquals(1, count(actions, Fail.class), result.name());
            assertEquals(0, count(actions, Send.class), result.name());
        }
    }

    @Test
    void deduplicatedWriteIsNotSentAgainAfterItsDeduplicationWindow() {
        PolicyHarness harness = new PolicyHarness(settings(RetrySafety.DEDUPLICATED, StaleReadHandling.REFUSES, false))
            .withProbedGroup();
        harness.sendRequest(WRITE);
        harness.now += 1_100 * MS;
        harness.answerProbe("a", Role.PRIMARY, harness.now);
        assertEquals(List.of(), sendTargets(harness.endAttempt(1, 0, "p", Result.RESET, Role.UNKNOWN)));
        assertEquals(List.of(), sendTargets(harness.advance(SECOND)));
    }

    // Constraint: draining members get no requests

    @Test
    void drainingAndGoneMembersGetNoRequests() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(new MemberList(ListKind.DELTA, List.of(listing("a", Phase.DRAINING, 0))));
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), sendTargets(harness.sendRequest(ANY)));
            harness.endAttempt(harness.lastRequest(), 0, "b", Result.OK, Role.REPLICA);
        }
        harness.process(new MemberList(ListKind.FULL, List.of(listing("p"))));
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(ANY)));
    }

    @Test
    void unlistedMemberIsUsedWhereTheConstraintsKeepIt() {
        Settings base = settings();
        Constraints constraints = new Constraints(20 * MS, 10 * SECOND, 500 * MS, true, 0.2, 10 * SECOND, 3, 2 * SECOND);
        PolicyHarness harness = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
            base.limits(), base.replication(), constraints)).withProbedGroup();
        harness.process(new MemberList(ListKind.FULL, List.of(listing("p"), listing("b", Phase.DRAINING, 0))));
        assertEquals(List.of("a"), sendTargets(harness.sendRequest(ANY)));
    }

    @Test
    void subscriptionIsRetriedAfterAFailure() {
        PolicyHarness harness = new PolicyHarness(settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.REFUSES, true));
        assertEquals(1, count(harness.process(new MemberList(ListKind.CACHED, List.of())), Subscribe.class));
        harness.process(new MemberList(ListKind.FAILED, List.of()));
        assertEquals(0, count(harness.advance(900 * MS), Subscribe.class));
        assertEquals(1, count(harness.advance(1_200 * MS), Subscribe.class));
    }

    // Constraint: cold members are not overloaded

    @Test
    void coldMemberStaysWithinItsBudget() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("c", Phase.SERVING, harness.now))));
        harness.answerProbe("c", Role.REPLICA, harness.now);
        for (int i = 0; i < 50; i++) {
            harness.sendRequest(ANY);
        }
        assertTrue(sendTargets(harness.allActions).size() <= 2);
    }

    @Test
    void manyRoutersTogetherStayWithinAColdMembersBudget() {
        int routers = 90;
        Map<Long, Integer> sent = new TreeMap<>();
        List<PolicyHarness> harnesses = new ArrayList<>();
        for (int rank = 0; rank < routers; rank++) {
            PolicyHarness harness = new PolicyHarness(settings(routers, rank));
            harness.process(new MemberList(ListKind.CACHED, List.of(listing("c", Phase.SERVING, harness.now))));
            harness.answerProbe("c", Role.PRIMARY, harness.now);
            harnesses.add(harness);
        }
        for (int step = 0; step < 200; step++) {
            for (PolicyHarness harness : harnesses) {
                harness.now += 30 * MS;
                List<Action> actions = new ArrayList<>(harness.sendRequest(WRITE));
                for (Action action : actions) {
                    if (action instanceof Send send) {
                        sent.merge(harness.now / SECOND, 1, Integer::sum);
                        harness.endAttempt(send.request(), 0, "c", Result.OK, Role.PRIMARY);
                    }
                }
            }
        }
        assertFalse(sent.isEmpty());
        assertTrue(sent.values().stream().allMatch(n -> n <= 8), sent.toString());
    }

    // Constraint: no read is staler than its bound

    @Test
    void memberOfUnknownPositionGetsNoBoundedReadIfMembersServeStaleReads() {
        PolicyHarness harness = new PolicyHarness(settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.SERVES, false));
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.process(new ProbeResult("a", Result.OK, MS, null));
        harness.sendRequest(BOUNDED);
        harness.advance(SECOND);
        assertEquals(List.of(), sendTargets(harness.allActions));
    }

    @Test
    void laggingReplicaGetsNoBoundedReadIfMembersServeStaleReads() {
        PolicyHarness harness = new PolicyHarness(settings(RetrySafety.AT_MOST_ONCE, StaleReadHandling.SERVES, false));
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now - 2 * SECOND);
        harness.sendRequest(BOUNDED);
        harness.advance(SECOND);
        assertEquals(List.of(), sendTargets(harness.allActions));
    }

    // Failures

    @Test
    void readsAreCancelledAtASilentMemberAndSentElsewhere() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 12; i++) {
            harness.process(harness.arrival(ANY, 1_500 * MS));
        }
        List<String> sent = sendTargets(harness.allActions);
        for (int i = 0; i < 12; i++) {
            if (sent.get(i).equals("b")) {
                harness.endAttempt(i + 1, 0, "b", Result.OK, Role.REPLICA);
            }
        }
        List<Action> actions = harness.advance(760 * MS);
        long silentRequest = sent.indexOf("a") + 1;
        assertTrue(actions.contains(new Cancel(silentRequest, 0)));
        assertEquals(List.of("b"), sendTargets(harness.endAttempt(silentRequest, 0, "a", Result.CANCELLED, Role.UNKNOWN)));
    }

    @Test
    void memberBackAfterRefusedConnectionsCountsAsColdUntilListsAreCurrent() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now);
        harness.process(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        harness.now += SECOND;
        harness.answerProbe("a", Role.REPLICA, harness.now);
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += sendTargets(harness.sendRequest(ANY)).size();
            harness.endAttempt(harness.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
        assertTrue(sent >= 1 && sent <= 2, "sent " + sent);
        harness.now += 6 * SECOND;
        harness.answerProbe("a", Role.REPLICA, harness.now);
        assertEquals(1, sendTargets(harness.sendRequest(ANY)).size());
        harness.endAttempt(harness.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        assertEquals(1, sendTargets(harness.sendRequest(ANY)).size());
    }

    /**
     * Guards against excluding a member for a single connection failure, as unreliable links cause them: each failure made the
     * member count as cold afterwards, and writes waited for seconds.
     */
    @Test
    void onlyTheSecondConnectionFailureAfterAnAnswerExcludesAMember() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int round = 0; round < 10; round++) {
            assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
            harness.endAttempt(harness.lastRequest(), 0, "p", Result.OK, Role.PRIMARY);
            harness.process(new ProbeResult("p", Result.NOT_CONNECTED, MS, null));
            harness.now += 50 * MS;
        }
        harness.process(new ProbeResult("p", Result.NOT_CONNECTED, MS, null));
        assertEquals(List.of(), sendTargets(harness.sendRequest(WRITE)));
    }

    @Test
    void memberReachableAgainWithinASecondCountsAsWarm() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now);
        harness.process(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        harness.now += 300 * MS;
        harness.answerProbe("a", Role.REPLICA, harness.now);
        for (int i = 0; i < 30; i++) {
            assertEquals(1, sendTargets(harness.sendRequest(ANY)).size(), "read " + i);
            harness.endAttempt(harness.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
    }

    /** Members that are replaced all day must not accumulate: the policy forgets each, reports that and stops probing it. */
    @Test
    void goneMembersAreForgottenAndNotProbed() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 5_000; i++) {
            harness.process(new MemberList(ListKind.DELTA, List.of(listing("m" + i))));
            harness.answerProbe("m" + i, Role.REPLICA, harness.now);
            harness.answerProbe("m" + i, Role.REPLICA, harness.now);
            harness.answerProbe("m" + i, Role.REPLICA, harness.now);
            harness.process(new MemberList(ListKind.DELTA, List.of(listing("m" + i, Phase.GONE, 0))));
            harness.now += 20 * MS;
            harness.process(new TimerFired(1));
        }
        assertEquals(5_000, count(harness.allActions, Forget.class));
        harness.answerProbes();
        harness.answerProbes();
        harness.answerProbes();
        harness.now += 6 * SECOND;
        assertEquals(3, count(harness.process(new TimerFired(1)), Probe.class));
    }

    /**
     * Guards against attempts whose answers were lost: they were still in flight when the primary was suspected of silence and
     * kept it from being sent a trial request for seconds.
     */
    @Test
    void lostAnswersDoNotDelayTrialsOfASuspectedMember() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 1; i <= 4; i++) {
            assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
        }
        harness.now += 200 * MS;
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
        harness.endAttempt(5, 0, "p", Result.OK, Role.PRIMARY); // a later write is answered
        // Afterwards, the first four writes are in flight for over two latency targets.
        List<Action> actions = new ArrayList<>(harness.advance(600 * MS));
        for (int i = 0; i < 200; i++) {
            harness.sendRequest(WRITE);
            actions.addAll(harness.advance(10 * MS));
        }
        long sent = sendTargets(harness.allActions).stream().filter("p"::equals).count();
        assertTrue(sent >= 8, "sent " + sent);
    }

    @Test
    void resetConnectionDoesNotExcludeAMember() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        String first = sendTargets(harness.sendRequest(ANY)).get(0);
        harness.endAttempt(1, 0, first, Result.RESET, Role.UNKNOWN);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String member = sendTargets(harness.sendRequest(ANY)).get(0);
            used.add(member);
            harness.endAttempt(harness.lastRequest(), 0, member, Result.OK, Role.REPLICA);
        }
        assertTrue(used.contains(first));
    }

    @Test
    void queuedWritesTryOneMemberAtATimeWhereOnlyAnswersReportRoles() {
        Settings base = settings();
        ReplicationSettings replication = new ReplicationSettings(StaleReadHandling.REFUSES, 0, true, true,
            ListedRoleTiming.DELAYED, false, false);
        PolicyHarness harness = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
            base.limits(), replication, base.constraints()));
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"), listing("b"))));
        harness.process(new ProbeResult("a", Result.OK, MS, null), new ProbeResult("b", Result.OK, MS, null));
        for (int i = 0; i < 20; i++) {
            harness.sendRequest(WRITE);
        }
        assertEquals(1, sendTargets(harness.allActions).size());
        harness.endAttempt(1, 0, sendTargets(harness.allActions).get(0), Result.MISDIRECTED, Role.REPLICA);
        harness.advance(300 * MS);
        assertEquals(2, sendTargets(harness.allActions).size());
        assertNotEquals(sendTargets(harness.allActions).get(0), sendTargets(harness.allActions).get(1));
    }

    @Test
    void concurrencyLimitOfEachRouterShrinksWithTheNumberOfRouters() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            Settings base = settings();
            PolicyHarness harness = new PolicyHarness(
                new Settings(i == 0 ? 2 : 12, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
                base.limits(), base.replication(), base.constraints())).withProbedGroup();
            for (int j = 0; j < 50; j++) {
                harness.sendRequest(ANY);
            }
            sent[i] = sendTargets(harness.allActions).size();
        }
        assertTrue(sent[1] > 0 && 3 * sent[1] < sent[0], sent[0] + " and " + sent[1]);
    }

    @Test
    void oneOfManyRoutersSpacesItsSendsOnlyToSlowMembers() {
        PolicyHarness harness = new PolicyHarness(settings(100, 0)).withProbedGroup();
        for (int i = 0; i < 10; i++) {
            assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)),
                "write " + i + " while answers are well within their latency target");
            harness.now += 10 * MS;
            harness.endAttempt(harness.lastRequest(), 0, "p", Result.OK, Role.PRIMARY);
            harness.now += 90 * MS;
        }
        int sentWhileSlow = 0;
        for (int i = 0; i < 5; i++) {
            harness.advance(2 * SECOND);
            sentWhileSlow += sendTargets(harness.sendRequest(WRITE)).size();
            harness.now += 10 * MS;
            harness.process(new Outcome(harness.lastRequest(), 0, "p", Result.OK, 290 * MS, true, Role.PRIMARY,
                RoutingPolicy.NONE, null));
        }
        assertTrue(sentWhileSlow >= 3, "sent to a slow member, one try every two seconds: " + sentWhileSlow);
        harness.now += 10 * MS;
        assertEquals(List.of(), sendTargets(harness.sendRequest(WRITE)),
            "right after an answer that took nearly its latency target");
    }

    @Test
    void retryPastItsLatencyTargetIsRefusedAtOnce() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(new Arrival(50, BOUNDED, 0, 1, 5, 400 * MS, RoutingPolicy.NONE, false));
        Arrival recentRetry = new Arrival(51, BOUNDED, 0, 1, 5, 400 * MS, RoutingPolicy.NONE, true);
        assertEquals(1, count(harness.process(recentRetry), Send.class));
        Arrival lateRetry = new Arrival(52, BOUNDED, 0, 1, 5, 350 * MS, RoutingPolicy.NONE, true);
        assertEquals(List.of(new Refuse(52, 500 * MS)), harness.process(lateRetry));
    }

    @Test
    void fewLostAnswersDoNotReduceRequestsToAFastMember() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            harness.now += 200 * MS;
            harness.answerProbe("a", Role.REPLICA, harness.now);
            if (sendTargets(harness.process(harness.arrival(ANY, 1_500 * MS))).isEmpty()) {
                continue;
            }
            sent++;
            Result result = i % 5 == 0 ? Result.TIMED_OUT : Result.OK;
            harness.process(new Outcome(harness.lastRequest(), 0, "a", result, result == Result.OK ? 50 * MS : 1_500 * MS,
                result == Result.OK, Role.UNKNOWN, RoutingPolicy.NONE, null));
        }
        assertTrue(sent > 180, "sent " + sent);
    }

    @Test
    void smallLagTriggersNoProbesWhereMembersRefuseStaleReads() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 3; i++) {
            harness.answerProbes();
        }
        harness.allActions.clear();
        for (int i = 0; i < 40; i++) {
            String member = sendTargets(harness.sendRequest(BOUNDED)).get(0);
            harness.endAttempt(harness.lastRequest(), 0, member, Result.OK, Role.REPLICA);
            harness.advance(100 * MS);
        }
        assertEquals(0, count(harness.allActions, Probe.class));
    }

    @Test
    void lagNearTheStalenessBoundIsProbedOnlyOnARequest() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("p"), listing("a"), listing("b"))));
        for (int i = 0; i < 3; i++) {
            harness.answerProbe("p", Role.PRIMARY, harness.now);
            harness.answerProbe("a", Role.REPLICA, harness.now - 800 * MS);
            harness.answerProbe("b", Role.REPLICA, harness.now);
        }
        harness.allActions.clear();
        harness.advance(SECOND);
        assertEquals(0, count(harness.allActions, Probe.class));
        harness.sendRequest(BOUNDED);
        harness.advance(50 * MS);
        assertEquals(List.of("a"), harness.allActions.stream().filter(Probe.class::isInstance)
            .map(probe -> ((Probe) probe).member()).toList());
    }

    @Test
    void refusalSuggestsAnEarlyRetryWhileThatCanMeetTheLatencyTarget() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        for (int i = 0; i < 200; i++) {
            harness.sendRequest(BOUNDED);
        }
        List<Long> retryDelays = harness.advance(30 * MS).stream().filter(Refuse.class::isInstance)
            .map(a -> ((Refuse) a).retryAfter()).distinct().toList();
        assertEquals(List.of(15 * MS), retryDelays);
    }

    @Test
    void stallOfTheRouterDoesNotCountAsLatencyOfTheMembers() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
            for (int round = 0; round < 8; round++) {
                List<Send> sends = new ArrayList<>();
                for (int j = 0; j < 4; j++) {
                    harness.sendRequest(ANY).stream().filter(Send.class::isInstance).forEach(a -> sends.add((Send) a));
                }
                // In both runs answers take 450 ms; in the first the router itself stalls meanwhile.
                if (i == 0) {
                    harness.now += 450 * MS;
                } else {
                    harness.advance(450 * MS);
                }
                List<Event> answers = new ArrayList<>();
                sends.forEach(a -> answers.add(new Outcome(a.request(), 0, a.member(), Result.OK, 450 * MS, true,
                    Role.REPLICA, RoutingPolicy.NONE, null)));
                harness.process(answers.toArray(Event[]::new));
                harness.advance(20 * MS);
            }
            harness.allActions.clear();
            for (int j = 0; j < 40; j++) {
                harness.sendRequest(ANY);
            }
            sent[i] = sendTargets(harness.allActions).size();
        }
        assertTrue(sent[0] > sent[1], sent[0] + " and " + sent[1]);
    }

    @Test
    void lostAttemptUsesNoConcurrency() {
        PolicyHarness harness = new PolicyHarness(settings(30, 0)).withProbedGroup();
        assertEquals(List.of("p"), sendTargets(harness.sendRequest(WRITE)));
        harness.advance(500 * MS);
        assertEquals(List.of(), sendTargets(harness.sendRequest(WRITE)));
        assertEquals(List.of("p"), sendTargets(harness.advance(500 * MS)));
    }

    @Test
    void lostAnswersDoNotLowerTheConcurrencyLimitWhileOthersAreAnsweredInTime() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
            for (int round = 0; round < 5; round++) {
                harness.sendRequest(WRITE);
                long lost = harness.lastRequest();
                harness.advance(100 * MS);
                if (i == 0) { // another write is answered in time
                    harness.sendRequest(WRITE);
                    harness.process(new Outcome(harness.lastRequest(), 0, "p", Result.OK, 75 * MS, true, Role.PRIMARY,
                        harness.now, null));
                }
                harness.advance(700 * MS);
                harness.process(new Outcome(lost, 0, "p", Result.TIMED_OUT, 800 * MS, false, Role.UNKNOWN,
                    RoutingPolicy.NONE, null));
            }
            harness.allActions.clear();
            for (int j = 0; j < 40; j++) {
                harness.sendRequest(WRITE);
            }
            sent[i] = sendTargets(harness.allActions).size();
        }
        assertTrue(sent[0] >= 2 * sent[1] && sent[1] > 0, sent[0] + " and " + sent[1]);
    }

    @Test
    void slowKindOfMachineGetsFewerReadsThanAFastOne() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("p"), listing("a"), listing("b"),
            new Listing("c", 1, 0, 1, Phase.SERVING, 1, false, 0),
            new Listing("d", 1, 0, 1, Phase.SERVING, 1, false, 0))));
        harness.answerProbes();
        harness.answerProbe("c", Role.REPLICA, harness.now);
        harness.answerProbe("d", Role.REPLICA, harness.now);
        Map<String, Integer> reads = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            String member = sendTargets(harness.sendRequest(ANY)).get(0);
            boolean slow = member.equals("c") || member.equals("d");
            harness.advance(50 * MS);
            harness.process(new Outcome(harness.lastRequest(), 0, member, Result.OK, slow ? 190 * MS : 60 * MS, true,
                Role.REPLICA, RoutingPolicy.NONE, null));
            reads.merge(slow ? "slow" : "fast", 1, Integer::sum);
        }
        assertTrue(reads.get("fast") > 4 * reads.get("slow"), reads.toString());
    }

    // Misleading lists and batches of events

    @Test
    void emptyListStopsRequestsUnlessTheConstraintsKeepUnlistedMembers() {
        for (boolean keepUnlistedMembers : new boolean[] {false, true}) {
            Settings base = settings();
            Constraints constraints = new Constraints(20 * MS, 10 * SECOND, 500 * MS, keepUnlistedMembers, 0.2, 10 * SECOND, 3,
                2 * SECOND);
            PolicyHarness harness = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
                base.limits(),
                base.replication(), constraints)).withProbedGroup();
            harness.process(new MemberList(ListKind.FULL, List.of()));
            assertEquals(keepUnlistedMembers ? 1 : 0, sendTargets(harness.sendRequest(ANY)).size());
            harness.process(new MemberList(ListKind.FULL, List.of(listing("p"), listing("a"), listing("b"))));
            assertEquals(1, sendTargets(harness.sendRequest(ANY)).size());
        }
    }

    @Test
    void listWithoutADrainingMemberDoesNotEndItsDraining() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(new MemberList(ListKind.DELTA, List.of(listing("a", Phase.DRAINING, 0))));
        harness.process(new MemberList(ListKind.DELTA, List.of(listing("nonexistent"), listing("b"))));
        for (int i = 0; i < 20; i++) {
            harness.sendRequest(ANY);
        }
        assertFalse(sendTargets(harness.allActions).contains("a"));
    }

    @Test
    void memberThatDoesNotExistGetsNoReadsAfterAFailedProbe() {
        PolicyHarness harness = new PolicyHarness(settings());
        harness.process(new MemberList(ListKind.CACHED, List.of(listing("nonexistent"), listing("a"))));
        harness.answerProbe("a", Role.REPLICA, harness.now);
        harness.process(new ProbeResult("nonexistent", Result.NOT_CONNECTED, 250 * MS, null));
        for (int i = 0; i < 20; i++) {
            harness.sendRequest(ANY);
            harness.endAttempt(harness.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
        assertEquals(20, sendTargets(harness.allActions).size());
        assertFalse(sendTargets(harness.allActions).contains("nonexistent"));
    }

    @Test
    void eventsOfOneBatchAfterALongGapAreAllProcessed() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.sendRequest(ANY);
        String member = sendTargets(harness.allActions).get(0);
        harness.sendRequest(WRITE);
        harness.now += 60 * SECOND;
        List<Action> actions = harness.process(new TimerFired(0), new TimerFired(0),
            new Outcome(1, 0, member, Result.TIMED_OUT, 700 * MS, false, Role.UNKNOWN, RoutingPolicy.NONE, null),
            new Abandoned(1), new Outcome(2, 0, "p", Result.TIMED_OUT, 5 * SECOND, false, Role.UNKNOWN,
                RoutingPolicy.NONE, null), harness.arrival(ANY, 700 * MS));
        assertEquals(List.of(2L), actions.stream().filter(Fail.class::isInstance)
            .map(a -> ((Fail) a).request()).toList());
        assertEquals(1, sendTargets(actions).size() + count(actions, Refuse.class));
    }

    @Test
    void readsAreSharedWithANewMember() {
        PolicyHarness harness = new PolicyHarness(settings()).withProbedGroup();
        harness.process(new MemberList(ListKind.DELTA, List.of(listing("c"))));
        harness.answerProbe("c", Role.REPLICA, harness.now);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String member = sendTargets(harness.sendRequest(ANY)).get(0);
            used.add(member);
            harness.endAttempt(harness.lastRequest(), 0, member, Result.OK, Role.REPLICA);
        }
        assertEquals(Set.of("a", "b", "c"), used);
    }

    @Test
    void singleRouterAndOneOfAHundredRoutersBothServe() {
        for (int routers : new int[] {1, 100}) {
            PolicyHarness harness = new PolicyHarness(settings(routers, routers - 1)).withProbedGroup();
            for (int i = 0; i < 10; i++) {
                String member = sendTargets(harness.sendRequest(ANY)).get(0);
                harness.endAttempt(harness.lastRequest(), 0, member, Result.OK, Role.REPLICA);
                harness.advance(SECOND);
            }
            assertEquals(10, sendTargets(harness.allActions).size());
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        PolicyHarness one = new PolicyHarness(settings()).withProbedGroup();
        PolicyHarness two = new PolicyHarness(settings()).withProbedGroup();
        for (PolicyHarness harness : List.of(one, two)) {
            for (int i = 0; i < 50; i++) {
                harness.sendRequest(i % 3);
                harness.advance(5 * MS);
            }
        }
        assertEquals(one.allActions, two.allActions);
    }
}
