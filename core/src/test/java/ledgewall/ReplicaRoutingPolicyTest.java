package ledgewall;

import static ledgewall.PolicyHarness.ANY;
import static ledgewall.PolicyHarness.BOUNDED;
import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static ledgewall.PolicyHarness.WRITE;
import static ledgewall.PolicyHarness.count;
import static ledgewall.PolicyHarness.line;
import static ledgewall.PolicyHarness.sends;
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

    // The ordinary path

    @Test
    void readsGoToBothReplicasAndNeverToThePrimary() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 40; i++) {
            List<String> sent = sends(bench.ask(i % 2 == 0 ? ANY : BOUNDED));
            assertEquals(1, sent.size());
            bench.outcome(bench.lastRequest(), 0, sent.get(0), Result.OK, Role.REPLICA);
        }
        List<String> all = sends(bench.log);
        assertTrue(all.contains("a") && all.contains("b"));
        assertFalse(all.contains("p"));
    }

    @Test
    void writesGoToTheMemberLastSeenAsPrimary() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        assertEquals(List.of("p"), sends(bench.ask(WRITE)));
        bench.now += SECOND;
        bench.echo("a", Role.PRIMARY, bench.now);
        assertEquals(List.of("a"), sends(bench.ask(WRITE)));
    }

    @Test
    void everyMemberIsProbedThreeTimesAtTheStartAndAgainAfterFiveSeconds() {
        PolicyHarness bench = new PolicyHarness(settings());
        List<Action> first = bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("p"), line("a"))));
        assertEquals(2, count(first, Probe.class));
        assertEquals(1, count(bench.echo("a", Role.REPLICA, bench.now), Probe.class));
        assertEquals(1, count(bench.echo("a", Role.REPLICA, bench.now), Probe.class));
        assertEquals(0, count(bench.echo("a", Role.REPLICA, bench.now), Probe.class));
        bench.now += 5 * SECOND;
        assertTrue(bench.feed(new TimerDue(1)).contains(new Probe("a")));
    }

    @Test
    void aFailedProbeTakesTheMembersReadsUntilOneSucceeds() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), sends(bench.ask(ANY)));
            bench.outcome(bench.lastRequest(), 0, "b", Result.OK, Role.REPLICA);
        }
    }

    @Test
    void aReadThatFailsFallsThroughToTheOtherReplicaAndThenThePrimary() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        String first = sends(bench.ask(ANY)).get(0);
        String second = sends(bench.outcome(1, 0, first, Result.NOT_CONNECTED, Role.UNKNOWN)).get(0);
        assertNotEquals(first, second);
        assertEquals(List.of("p"), sends(bench.outcome(1, 1, second, Result.RESET, Role.UNKNOWN)));
    }

    @Test
    void aBoundedReadSpillsToThePrimaryWhileEveryReplicaLags() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.now += 3 * SECOND;
        bench.echo("p", Role.PRIMARY, bench.now);
        bench.echo("a", Role.REPLICA, bench.now - 2 * SECOND);
        bench.echo("b", Role.REPLICA, bench.now - 2 * SECOND);
        assertEquals(List.of("p"), sends(bench.ask(BOUNDED)));
    }

    @Test
    void aWriteTurnedAwayIsHeldWhileTheGroupIsProbedAndGoesToTheNewPrimary() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.ask(WRITE);
        bench.now += SECOND;
        assertEquals(List.of(), sends(bench.outcome(1, 0, "p", Result.MISSED, Role.REPLICA)));
        assertEquals(List.of("a"), sends(bench.echo("a", Role.PRIMARY, bench.now)));
    }

    // Overload

    @Test
    void noMoreAttemptsAreOutThanTheWindowsOfTheMembersLet() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 200; i++) {
            bench.ask(ANY);
        }
        int sent = sends(bench.log).size();
        assertTrue(sent >= 6 && sent <= 20, "sent " + sent);
        assertTrue(count(bench.pass(450 * MS), Refuse.class) > 100);
    }

    @Test
    void aMemberThatTurnsWorkAwayAsFullIsNotAskedAgainByTheSameRequestAtOnce() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        String first = sends(bench.ask(ANY)).get(0);
        String second = sends(bench.outcome(1, 0, first, Result.REJECTED, Role.UNKNOWN)).get(0);
        assertNotEquals(first, second);
    }

    @Test
    void aSilentPrimaryIsGivenOneTrialWriteAfterAWhile() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(bench.arrival(WRITE, 2 * SECOND));
        bench.pass(1_999 * MS);
        bench.outcome(1, 0, "p", Result.TIMED_OUT, Role.UNKNOWN);
        int before = sends(bench.log).size();
        bench.ask(WRITE);
        bench.ask(WRITE);
        bench.pass(600 * MS);
        assertEquals(before + 1, sends(bench.log).size());
    }

    private static PolicyHarness withReads(Need need, boolean tokensCarried) {
        Settings base = settings();
        RequestClass read = new RequestClass(need, 0, Effect.IDEMPOTENT, RepeatScope.ALL, 0, 300 * MS, 750 * MS, 2, 0,
            false);
        Data data = new Data(Behind.ANSWERS, 0, false, tokensCarried, ListedRole.NEVER, true, true);
        return new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, List.of(read, read, base.classes().get(WRITE)),
            List.of(), 1, base.limits(), data, base.rules())).ready();
    }

    @Test
    void aReadThatMustBeFreshUsesThePrimary() {
        PolicyHarness bench = withReads(Need.FRESH, true);
        bench.now += MS;
        assertEquals(List.of("p"), sends(bench.ask(0)));
    }

    @Test
    void aCarriedTokenKeepsReadsOffReplicasThatLackTheSessionsWrite() {
        PolicyHarness bench = withReads(Need.SESSION, true);
        bench.now += 100 * MS;
        bench.feed(new Arrival(70, 0, 0, 1, 5, 700 * MS, 50 * MS, false));
        assertEquals(List.of("p"), sends(bench.log));
        bench.feed(new Arrival(71, 0, 0, 1, 5, 700 * MS, 150 * MS, false));
        assertNotEquals("p", sends(bench.log).get(1));
    }

    @Test
    void aRememberedWriteKeepsReadsOffReplicasThatLackIt() {
        PolicyHarness bench = withReads(Need.SESSION, false);
        bench.ask(WRITE);
        bench.now += 100 * MS;
        bench.feed(new Outcome(1, 0, "p", Result.OK, 100 * MS, true, Role.PRIMARY, bench.now, null));
        assertEquals(List.of("p"), sends(bench.ask(0)));
        bench.now += 100 * MS;
        bench.echo("a", Role.REPLICA, bench.now);
        assertEquals(List.of("a"), sends(bench.ask(0)));
    }

    @Test
    void aSessionForgottenAmongManyStillReadsItsWrite() {
        PolicyHarness bench = withReads(Need.SESSION, false);
        bench.now += 2 * SECOND;
        for (int session = 1; session <= 20_010; session++) {
            bench.feed(new Arrival(session, WRITE, 0, 1, session, 5 * SECOND, RoutingPolicy.NONE, false));
            bench.feed(new Outcome(session, 0, "p", Result.OK, MS, true, Role.PRIMARY, bench.now, null));
        }
        bench.log.clear();
        bench.feed(new Arrival(30_000, 0, 0, 1, 1, 700 * MS, RoutingPolicy.NONE, false));
        assertEquals(List.of("p"), sends(bench.log));
    }

    // Rule 1: one final answer, in time

    @Test
    void aHeldWriteIsRefusedBeforeItsTimeIsUp() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.echo("a", Role.REPLICA, bench.now);
        bench.feed(bench.arrival(WRITE, SECOND));
        List<Action> actions = bench.pass(999 * MS);
        assertEquals(1, count(actions, Refuse.class));
        assertEquals(0, count(actions, Fail.class));
    }

    @Test
    void aSentWriteThatNeverAnswersFailsBeforeItsTimeIsUp() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.ask(WRITE);
        List<Action> actions = bench.pass(4_999 * MS);
        assertEquals(1, count(actions, Fail.class));
        assertEquals(0, count(actions, Refuse.class));
    }

    @Test
    void nothingIsSaidOfARequestThatLapsed() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))), bench.arrival(WRITE, SECOND));
        bench.feed(new Lapsed(1));
        List<Action> actions = bench.pass(2 * SECOND);
        assertEquals(0, count(actions, Refuse.class) + count(actions, Fail.class) + count(actions, Send.class));
    }

    @Test
    void aRequestOfAnUnknownClassOrGroupGetsItsAnswer() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        assertEquals(1, count(bench.feed(new Arrival(90, 9, 0, 1, 0, SECOND, RoutingPolicy.NONE, false)),
            Refuse.class));
        bench.feed(new Arrival(91, ANY, 0, 77, 0, SECOND, RoutingPolicy.NONE, false));
        assertEquals(1, count(bench.pass(SECOND), Refuse.class));
    }

    // Rule 2: no effect twice

    @Test
    void anUnsafeWriteThatMayHaveRunFailsAndIsNotSentAgain() {
        for (Result result : List.of(Result.ERROR, Result.RESET, Result.TIMED_OUT, Result.CANCELLED)) {
            PolicyHarness bench = new PolicyHarness(settings()).ready();
            bench.ask(WRITE);
            List<Action> actions = bench.outcome(1, 0, "p", result, Role.UNKNOWN);
            assertEquals(1, count(actions, Fail.class), result.name());
            assertEquals(0, count(actions, Send.class), result.name());
        }
    }

    @Test
    void aDeduplicatedWriteIsNotSentAgainOnceItsWindowHasPassed() {
        PolicyHarness bench = new PolicyHarness(settings(Effect.DEDUPLICATED, Behind.REFUSES, false)).ready();
        bench.ask(WRITE);
        bench.now += 1_100 * MS;
        bench.echo("a", Role.PRIMARY, bench.now);
        assertEquals(List.of(), sends(bench.outcome(1, 0, "p", Result.RESET, Role.UNKNOWN)));
        assertEquals(List.of(), sends(bench.pass(SECOND)));
    }

    // Rule 3: drains

    @Test
    void nothingGoesToAMemberThatDrainsOrIsGone() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(new MemberList(ListKind.CHANGES, List.of(line("a", Phase.DRAINING, 0))));
        for (int i = 0; i < 20; i++) {
            assertEquals(List.of("b"), sends(bench.ask(ANY)));
            bench.outcome(bench.lastRequest(), 0, "b", Result.OK, Role.REPLICA);
        }
        bench.feed(new MemberList(ListKind.FULL, List.of(line("p"))));
        assertEquals(List.of("p"), sends(bench.ask(ANY)));
    }

    @Test
    void whereOnlyADrainBindsAnAbsentMemberMayStillBeAsked() {
        Settings base = settings();
        Rules rules = new Rules(20 * MS, 10 * SECOND, 500 * MS, true, 0.2, 10 * SECOND, 3, 2 * SECOND);
        PolicyHarness bench = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1, base.limits(),
            base.data(), rules)).ready();
        bench.feed(new MemberList(ListKind.FULL, List.of(line("p"), line("b", Phase.DRAINING, 0))));
        assertEquals(List.of("a"), sends(bench.ask(ANY)));
    }

    @Test
    void aListThatMustBeAskedForIsAskedForAgainAfterAFailure() {
        PolicyHarness bench = new PolicyHarness(settings(Effect.AT_MOST_ONCE, Behind.REFUSES, true));
        assertEquals(1, count(bench.feed(new MemberList(ListKind.REMEMBERED, List.of())), Subscribe.class));
        bench.feed(new MemberList(ListKind.FAILED, List.of()));
        assertEquals(0, count(bench.pass(900 * MS), Subscribe.class));
        assertEquals(1, count(bench.pass(1_200 * MS), Subscribe.class));
    }

    // Rule 4: cold members

    @Test
    void aColdMemberGetsNoMoreThanItsBudgetInAWindow() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("c", Phase.SERVING, bench.now))));
        bench.echo("c", Role.REPLICA, bench.now);
        for (int i = 0; i < 50; i++) {
            bench.ask(ANY);
        }
        assertTrue(sends(bench.log).size() <= 2);
    }

    @Test
    void manyRoutersTogetherKeepToAColdMembersBudget() {
        int routers = 90;
        Map<Long, Integer> sent = new TreeMap<>();
        List<PolicyHarness> benches = new ArrayList<>();
        for (int rank = 0; rank < routers; rank++) {
            PolicyHarness bench = new PolicyHarness(settings(routers, rank));
            bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("c", Phase.SERVING, bench.now))));
            bench.echo("c", Role.PRIMARY, bench.now);
            benches.add(bench);
        }
        for (int step = 0; step < 200; step++) {
            for (PolicyHarness bench : benches) {
                bench.now += 30 * MS;
                List<Action> actions = new ArrayList<>(bench.ask(WRITE));
                for (Action action : actions) {
                    if (action instanceof Send send) {
                        sent.merge(bench.now / SECOND, 1, Integer::sum);
                        bench.outcome(send.request(), 0, "c", Result.OK, Role.PRIMARY);
                    }
                }
            }
        }
        assertFalse(sent.isEmpty());
        assertTrue(sent.values().stream().allMatch(n -> n <= 8), sent.toString());
    }

    // Rule 5: stale reads

    @Test
    void wherePositionsAreNotEnforcedAnUnknownPositionGetsNoBoundedRead() {
        PolicyHarness bench = new PolicyHarness(settings(Effect.AT_MOST_ONCE, Behind.ANSWERS, false));
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.feed(new ProbeResult("a", Result.OK, MS, null));
        bench.ask(BOUNDED);
        bench.pass(SECOND);
        assertEquals(List.of(), sends(bench.log));
    }

    @Test
    void wherePositionsAreNotEnforcedALaggingReplicaGetsNoBoundedRead() {
        PolicyHarness bench = new PolicyHarness(settings(Effect.AT_MOST_ONCE, Behind.ANSWERS, false));
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.echo("a", Role.REPLICA, bench.now - 2 * SECOND);
        bench.ask(BOUNDED);
        bench.pass(SECOND);
        assertEquals(List.of(), sends(bench.log));
    }

    // Defences

    @Test
    void readsAreTakenBackFromAMemberThatAnswersNothing() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 12; i++) {
            bench.feed(bench.arrival(ANY, 1_500 * MS));
        }
        List<String> sent = sends(bench.log);
        for (int i = 0; i < 12; i++) {
            if (sent.get(i).equals("b")) {
                bench.outcome(i + 1, 0, "b", Result.OK, Role.REPLICA);
            }
        }
        List<Action> actions = bench.pass(760 * MS);
        long silent = sent.indexOf("a") + 1;
        assertTrue(actions.contains(new Cancel(silent, 0)));
        assertEquals(List.of("b"), sends(bench.outcome(silent, 0, "a", Result.CANCELLED, Role.UNKNOWN)));
    }

    @Test
    void aMemberThatReturnsAfterRefusedConnectionsGetsAColdMembersShareUntilListsCatchUp() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.echo("a", Role.REPLICA, bench.now);
        bench.feed(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        bench.now += SECOND;
        bench.echo("a", Role.REPLICA, bench.now);
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            sent += sends(bench.ask(ANY)).size();
            bench.outcome(bench.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
        assertTrue(sent >= 1 && sent <= 2, "sent " + sent);
        bench.now += 6 * SECOND;
        bench.echo("a", Role.REPLICA, bench.now);
        assertEquals(1, sends(bench.ask(ANY)).size());
        bench.outcome(bench.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        assertEquals(1, sends(bench.ask(ANY)).size());
    }

    /** Links that break now and then are no dead members: each one was a cold return, and writes waited for seconds. */
    @Test
    void oneFailureSinceAnAnswerOfJustNowTakesNoMemberOutAndTheNextOneDoes() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int round = 0; round < 10; round++) {
            assertEquals(List.of("p"), sends(bench.ask(WRITE)));
            bench.outcome(bench.lastRequest(), 0, "p", Result.OK, Role.PRIMARY);
            bench.feed(new ProbeResult("p", Result.NOT_CONNECTED, MS, null));
            bench.now += 50 * MS;
        }
        bench.feed(new ProbeResult("p", Result.NOT_CONNECTED, MS, null));
        assertEquals(List.of(), sends(bench.ask(WRITE)));
    }

    @Test
    void whatAnswersAgainWithinASecondWasNotRestartedAndIsWarm() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.echo("a", Role.REPLICA, bench.now);
        bench.feed(new ProbeResult("a", Result.NOT_CONNECTED, MS, null));
        bench.now += 300 * MS;
        bench.echo("a", Role.REPLICA, bench.now);
        for (int i = 0; i < 30; i++) {
            assertEquals(1, sends(bench.ask(ANY)).size(), "read " + i);
            bench.outcome(bench.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
    }

    /** Replaced all day: each is forgotten, said to be, and not probed any more. */
    @Test
    void membersThatAreGoneAreForgotten() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 5_000; i++) {
            bench.feed(new MemberList(ListKind.CHANGES, List.of(line("m" + i))));
            bench.echo("m" + i, Role.REPLICA, bench.now);
            bench.echo("m" + i, Role.REPLICA, bench.now);
            bench.echo("m" + i, Role.REPLICA, bench.now);
            bench.feed(new MemberList(ListKind.CHANGES, List.of(line("m" + i, Phase.GONE, 0))));
            bench.now += 20 * MS;
            bench.feed(new TimerDue(1));
        }
        assertEquals(5_000, count(bench.log, Forget.class));
        bench.echoAll();
        bench.echoAll();
        bench.echoAll();
        bench.now += 6 * SECOND;
        assertEquals(3, count(bench.feed(new TimerDue(1)), Probe.class));
    }

    /** Answers to some writes were lost; what had been sent before kept the silent primary from any trial for seconds. */
    @Test
    void lostAnswersStandInNoTrialsWay() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 1; i <= 4; i++) {
            assertEquals(List.of("p"), sends(bench.ask(WRITE)));
        }
        bench.now += 200 * MS;
        assertEquals(List.of("p"), sends(bench.ask(WRITE)));
        bench.outcome(5, 0, "p", Result.OK, Role.PRIMARY); // it answers what came later
        List<Action> actions = new ArrayList<>(bench.pass(600 * MS)); // the first four are out for over two aims
        for (int i = 0; i < 200; i++) {
            bench.ask(WRITE);
            actions.addAll(bench.pass(10 * MS));
        }
        long sent = sends(bench.log).stream().filter("p"::equals).count();
        assertTrue(sent >= 8, "sent " + sent);
    }

    @Test
    void oneResetConnectionTakesNoPlace() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        String first = sends(bench.ask(ANY)).get(0);
        bench.outcome(1, 0, first, Result.RESET, Role.UNKNOWN);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String member = sends(bench.ask(ANY)).get(0);
            used.add(member);
            bench.outcome(bench.lastRequest(), 0, member, Result.OK, Role.REPLICA);
        }
        assertTrue(used.contains(first));
    }

    @Test
    void whereOnlyAnswersTellRolesHeldWritesAskOneMemberNowAndThen() {
        Settings base = settings();
        Data data = new Data(Behind.REFUSES, 0, true, true, ListedRole.LATE, false, false);
        PolicyHarness bench = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1, base.limits(),
            data, base.rules()));
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"), line("b"))));
        bench.feed(new ProbeResult("a", Result.OK, MS, null), new ProbeResult("b", Result.OK, MS, null));
        for (int i = 0; i < 20; i++) {
            bench.ask(WRITE);
        }
        assertEquals(1, sends(bench.log).size());
        bench.outcome(1, 0, sends(bench.log).get(0), Result.MISSED, Role.REPLICA);
        bench.pass(300 * MS);
        assertEquals(2, sends(bench.log).size());
        assertNotEquals(sends(bench.log).get(0), sends(bench.log).get(1));
    }

    @Test
    void theMoreRoutersThereAreTheSmallerIsEachOnesWindow() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            Settings base = settings();
            PolicyHarness bench = new PolicyHarness(
                new Settings(i == 0 ? 2 : 12, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
                base.limits(), base.data(), base.rules())).ready();
            for (int j = 0; j < 50; j++) {
                bench.ask(ANY);
            }
            sent[i] = sends(bench.log).size();
        }
        assertTrue(sent[1] > 0 && 3 * sent[1] < sent[0], sent[0] + " and " + sent[1]);
    }

    @Test
    void ofManyRoutersEachSpacesItsSendsOnlyToMembersThatStrain() {
        PolicyHarness bench = new PolicyHarness(settings(100, 0)).ready();
        for (int i = 0; i < 10; i++) {
            assertEquals(List.of("p"), sends(bench.ask(WRITE)), "well inside its aims, the " + i + "th");
            bench.now += 10 * MS;
            bench.outcome(bench.lastRequest(), 0, "p", Result.OK, Role.PRIMARY);
            bench.now += 90 * MS;
        }
        int slow = 0;
        for (int i = 0; i < 5; i++) {
            bench.pass(2 * SECOND);
            slow += sends(bench.ask(WRITE)).size();
            bench.now += 10 * MS;
            bench.feed(new Outcome(bench.lastRequest(), 0, "p", Result.OK, 290 * MS, true, Role.PRIMARY,
                RoutingPolicy.NONE, null));
        }
        assertTrue(slow >= 3, "sent to a straining member, each two seconds: " + slow);
        bench.now += 10 * MS;
        assertEquals(List.of(), sends(bench.ask(WRITE)), "right after an answer that took nearly its aim");
    }

    @Test
    void aRetryWhoseClientFirstAskedTooLongAgoIsRefusedAtOnce() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(new Arrival(50, BOUNDED, 0, 1, 5, 400 * MS, RoutingPolicy.NONE, false));
        Arrival fresh = new Arrival(51, BOUNDED, 0, 1, 5, 400 * MS, RoutingPolicy.NONE, true);
        assertEquals(1, count(bench.feed(fresh), Send.class));
        Arrival old = new Arrival(52, BOUNDED, 0, 1, 5, 350 * MS, RoutingPolicy.NONE, true);
        assertEquals(List.of(new Refuse(52, 500 * MS)), bench.feed(old));
    }

    @Test
    void aFewLostAnswersDoNotStarveAMemberThatAnswersTheRestInTime() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("a"))));
        bench.echo("a", Role.REPLICA, bench.now);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            bench.now += 200 * MS;
            bench.echo("a", Role.REPLICA, bench.now);
            if (sends(bench.feed(bench.arrival(ANY, 1_500 * MS))).isEmpty()) {
                continue;
            }
            sent++;
            Result result = i % 5 == 0 ? Result.TIMED_OUT : Result.OK;
            bench.feed(new Outcome(bench.lastRequest(), 0, "a", result, result == Result.OK ? 50 * MS : 1_500 * MS,
                result == Result.OK, Role.UNKNOWN, RoutingPolicy.NONE, null));
        }
        assertTrue(sent > 180, "sent " + sent);
    }

    @Test
    void aSmallLagIsNotProbedAnewBeforeItsTimeWhereMembersRefuseStaleReads() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 3; i++) {
            bench.echoAll();
        }
        bench.log.clear();
        for (int i = 0; i < 40; i++) {
            String member = sends(bench.ask(BOUNDED)).get(0);
            bench.outcome(bench.lastRequest(), 0, member, Result.OK, Role.REPLICA);
            bench.pass(100 * MS);
        }
        assertEquals(0, count(bench.log, Probe.class));
    }

    @Test
    void aLagNearTheBoundIsProbedAtOnceButOnlyForGroupsThatAreAskedFor() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("p"), line("a"), line("b"))));
        for (int i = 0; i < 3; i++) {
            bench.echo("p", Role.PRIMARY, bench.now);
            bench.echo("a", Role.REPLICA, bench.now - 800 * MS);
            bench.echo("b", Role.REPLICA, bench.now);
        }
        bench.log.clear();
        bench.pass(SECOND);
        assertEquals(0, count(bench.log, Probe.class));
        bench.ask(BOUNDED);
        bench.pass(50 * MS);
        assertEquals(List.of("a"), bench.log.stream().filter(Probe.class::isInstance)
            .map(probe -> ((Probe) probe).member()).toList());
    }

    @Test
    void aRefusalSaysToComeBackSoonWhileThatCanBeInTime() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        for (int i = 0; i < 200; i++) {
            bench.ask(BOUNDED);
        }
        List<Long> waits = bench.pass(30 * MS).stream().filter(Refuse.class::isInstance)
            .map(a -> ((Refuse) a).retryAfter()).distinct().toList();
        assertEquals(List.of(15 * MS), waits);
    }

    @Test
    void whatComesAfterTheRoutersOwnPauseIsNoSlownessOfTheMembers() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            PolicyHarness bench = new PolicyHarness(settings()).ready();
            for (int round = 0; round < 8; round++) {
                List<Send> sends = new ArrayList<>();
                for (int j = 0; j < 4; j++) {
                    bench.ask(ANY).stream().filter(Send.class::isInstance).forEach(a -> sends.add((Send) a));
                }
                // Both times an answer takes 450 ms; in one the router itself stood still meanwhile.
                if (i == 0) {
                    bench.now += 450 * MS;
                } else {
                    bench.pass(450 * MS);
                }
                List<Event> answers = new ArrayList<>();
                sends.forEach(a -> answers.add(new Outcome(a.request(), 0, a.member(), Result.OK, 450 * MS, true,
                    Role.REPLICA, RoutingPolicy.NONE, null)));
                bench.feed(answers.toArray(Event[]::new));
                bench.pass(20 * MS);
            }
            bench.log.clear();
            for (int j = 0; j < 40; j++) {
                bench.ask(ANY);
            }
            sent[i] = sends(bench.log).size();
        }
        assertTrue(sent[0] > sent[1], sent[0] + " and " + sent[1]);
    }

    @Test
    void anAttemptThatIsLostHoldsNoPlaceForTheRestOfItsTime() {
        PolicyHarness bench = new PolicyHarness(settings(30, 0)).ready();
        assertEquals(List.of("p"), sends(bench.ask(WRITE)));
        bench.pass(500 * MS);
        assertEquals(List.of(), sends(bench.ask(WRITE)));
        assertEquals(List.of("p"), sends(bench.pass(500 * MS)));
    }

    @Test
    void lostAnswersNarrowNothingWhileOthersAreAnsweredInTime() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            PolicyHarness bench = new PolicyHarness(settings()).ready();
            for (int round = 0; round < 5; round++) {
                bench.ask(WRITE);
                long lost = bench.lastRequest();
                bench.pass(100 * MS);
                if (i == 0) { // another is answered meanwhile
                    bench.ask(WRITE);
                    bench.feed(new Outcome(bench.lastRequest(), 0, "p", Result.OK, 75 * MS, true, Role.PRIMARY,
                        bench.now, null));
                }
                bench.pass(700 * MS);
                bench.feed(new Outcome(lost, 0, "p", Result.TIMED_OUT, 800 * MS, false, Role.UNKNOWN,
                    RoutingPolicy.NONE, null));
            }
            bench.log.clear();
            for (int j = 0; j < 40; j++) {
                bench.ask(WRITE);
            }
            sent[i] = sends(bench.log).size();
        }
        assertTrue(sent[0] >= 2 * sent[1] && sent[1] > 0, sent[0] + " and " + sent[1]);
    }

    @Test
    void aSlowKindOfMachineGetsFewerReadsThanAFastOne() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("p"), line("a"), line("b"),
            new Listing("c", 1, 0, 1, Phase.SERVING, 1, false, 0),
            new Listing("d", 1, 0, 1, Phase.SERVING, 1, false, 0))));
        bench.echoAll();
        bench.echo("c", Role.REPLICA, bench.now);
        bench.echo("d", Role.REPLICA, bench.now);
        Map<String, Integer> reads = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            String member = sends(bench.ask(ANY)).get(0);
            boolean slow = member.equals("c") || member.equals("d");
            bench.pass(50 * MS);
            bench.feed(new Outcome(bench.lastRequest(), 0, member, Result.OK, slow ? 190 * MS : 60 * MS, true,
                Role.REPLICA, RoutingPolicy.NONE, null));
            reads.merge(slow ? "slow" : "fast", 1, Integer::sum);
        }
        assertTrue(reads.get("fast") > 4 * reads.get("slow"), reads.toString());
    }

    // Lists and moments that mislead

    @Test
    void aListThatNamesNobodyEndsServiceOnlyWhereAbsenceBinds() {
        for (boolean drainBindsAlone : new boolean[] {false, true}) {
            Settings base = settings();
            Rules rules = new Rules(20 * MS, 10 * SECOND, 500 * MS, drainBindsAlone, 0.2, 10 * SECOND, 3, 2 * SECOND);
            PolicyHarness bench = new PolicyHarness(new Settings(2, 0, 0, 5 * MS, false, base.classes(), List.of(), 1,
                base.limits(),
                base.data(), rules)).ready();
            bench.feed(new MemberList(ListKind.FULL, List.of()));
            assertEquals(drainBindsAlone ? 1 : 0, sends(bench.ask(ANY)).size());
            bench.feed(new MemberList(ListKind.FULL, List.of(line("p"), line("a"), line("b"))));
            assertEquals(1, sends(bench.ask(ANY)).size());
        }
    }

    @Test
    void anOldListThatComesAgainUndoesNoDrainThatItDoesNotName() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(new MemberList(ListKind.CHANGES, List.of(line("a", Phase.DRAINING, 0))));
        bench.feed(new MemberList(ListKind.CHANGES, List.of(line("ghost"), line("b"))));
        for (int i = 0; i < 20; i++) {
            bench.ask(ANY);
        }
        assertFalse(sends(bench.log).contains("a"));
    }

    @Test
    void aMemberThatDoesNotExistCostsOneAttemptUntilAProbeSucceeds() {
        PolicyHarness bench = new PolicyHarness(settings());
        bench.feed(new MemberList(ListKind.REMEMBERED, List.of(line("ghost"), line("a"))));
        bench.echo("a", Role.REPLICA, bench.now);
        bench.feed(new ProbeResult("ghost", Result.NOT_CONNECTED, 250 * MS, null));
        for (int i = 0; i < 20; i++) {
            bench.ask(ANY);
            bench.outcome(bench.lastRequest(), 0, "a", Result.OK, Role.REPLICA);
        }
        assertEquals(20, sends(bench.log).size());
        assertFalse(sends(bench.log).contains("ghost"));
    }

    @Test
    void timersAnswersAndEndsThatComeAtOnceAfterALongGapAreAllAnswered() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.ask(ANY);
        String member = sends(bench.log).get(0);
        bench.ask(WRITE);
        bench.now += 60 * SECOND;
        List<Action> actions = bench.feed(new TimerDue(0), new TimerDue(0),
            new Outcome(1, 0, member, Result.TIMED_OUT, 700 * MS, false, Role.UNKNOWN, RoutingPolicy.NONE, null),
            new Lapsed(1), new Outcome(2, 0, "p", Result.TIMED_OUT, 5 * SECOND, false, Role.UNKNOWN,
                RoutingPolicy.NONE, null), bench.arrival(ANY, 700 * MS));
        assertEquals(List.of(2L), actions.stream().filter(Fail.class::isInstance)
            .map(a -> ((Fail) a).request()).toList());
        assertEquals(1, sends(actions).size() + count(actions, Refuse.class));
    }

    @Test
    void aGroupThatGrowsFromOneMomentToTheNextSharesItsReads() {
        PolicyHarness bench = new PolicyHarness(settings()).ready();
        bench.feed(new MemberList(ListKind.CHANGES, List.of(line("c"))));
        bench.echo("c", Role.REPLICA, bench.now);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            String member = sends(bench.ask(ANY)).get(0);
            used.add(member);
            bench.outcome(bench.lastRequest(), 0, member, Result.OK, Role.REPLICA);
        }
        assertEquals(Set.of("a", "b", "c"), used);
    }

    @Test
    void oneOfAHundredRoutersAndARouterAloneBothServe() {
        for (int routers : new int[] {1, 100}) {
            PolicyHarness bench = new PolicyHarness(settings(routers, routers - 1)).ready();
            for (int i = 0; i < 10; i++) {
                String member = sends(bench.ask(ANY)).get(0);
                bench.outcome(bench.lastRequest(), 0, member, Result.OK, Role.REPLICA);
                bench.pass(SECOND);
            }
            assertEquals(10, sends(bench.log).size());
        }
    }

    @Test
    void theSameEventsBringTheSameActions() {
        PolicyHarness one = new PolicyHarness(settings()).ready();
        PolicyHarness two = new PolicyHarness(settings()).ready();
        for (PolicyHarness bench : List.of(one, two)) {
            for (int i = 0; i < 50; i++) {
                bench.ask(i % 3);
                bench.pass(5 * MS);
            }
        }
        assertEquals(one.log, two.log);
    }
}
