package ledgewall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.RoutingPolicy;
import ledgewall.discovery.MemberListWatcher.Checks;
import ledgewall.discovery.MemberListWatcher.Purpose;
import ledgewall.discovery.Member.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the ways of missing a change that docs/architecture.md lists, against a model of discovery in simulated time. Each
 * call has a connection to a discovery server whose behavior a test can change.
 */
class MemberListWatcherTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Resolution of the simulated time. */
    private static final long STEP_NS = 10 * NANOS_PER_MILLI;
    /** The time from a request to its response in the model: two steps in each direction. */
    private static final long ROUND_TRIP_NS = 4 * STEP_NS;
    private static final long HEARTBEAT_INTERVAL_NS = 2_000 * NANOS_PER_MILLI;
    private static final long SEED = 28;
    private static final RoutingPolicy.Settings POLICY_SETTINGS = new RoutingPolicy.Settings(1, 0, 0, 5 * NANOS_PER_MILLI, true,
        List.of(), List.of(), 1, new RoutingPolicy.Limits(4, true, true, true, false, true, 0, 0, 1_000),
        new RoutingPolicy.ReplicationSettings(RoutingPolicy.StaleReadHandling.WAITS, 0, false, false,
            RoutingPolicy.ListedRoleTiming.NEVER, true, true),
        new RoutingPolicy.Constraints(0, 10_000 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, false, 0.2, 0, 3, 0));
    private static final InetSocketAddress FIRST_ADDRESS = new InetSocketAddress("127.0.0.1", 8500);
    private static final InetSocketAddress SECOND_ADDRESS = new InetSocketAddress("127.0.0.1", 8501);

    /** The list as discovery holds it, with the revision at which each entry last changed. */
    private static final class Discovery {
        private final Map<String, Member> members = new LinkedHashMap<>();
        private final Map<String, Long> changeRevisions = new HashMap<>();
        private long revision = 41;
        private boolean alwaysSendsFullList;

        void set(String id, Phase phase) {
            members.put(id, member(id, phase));
            changeRevisions.put(id, ++revision);
        }

        ListUpdate changesSince(long knownRevision) {
            if (alwaysSendsFullList || knownRevision > revision) {
                return fullList();
            }
            return new ListUpdate(revision, false, members.values().stream()
                .filter(m -> changeRevisions.getOrDefault(m.id(), 0L) > knownRevision).toList());
        }

        ListUpdate fullList() {
            return new ListUpdate(revision, true, members.values().stream()
                .filter(m -> m.phase() != Phase.GONE).toList());
        }
    }

    /** What a discovery server does with its connections. */
    private enum Behavior {
        NORMAL,
        REFUSES,
        /** Sends nothing, neither answers nor heartbeats. */
        SILENT,
        /** Answers and sends heartbeats, but no changes after its first answer. */
        NO_CHANGES,
        /** Sends heartbeats only, as long as there is no change to tell. */
        NO_FIRST_OBJECT,
        /** Sends only the beginning of a line on a watch, and then nothing. */
        PARTIAL_LINE
    }

    /** The connection of one call at the discovery server. */
    private static final class Connection {
        private final MemberListWatcher.Call call;
        /** The revision that the call asks from; -1 if it asks for the full list. */
        private final long sinceRevision;
        /** Whether nothing arrives any more, without the connection being closed. */
        private boolean lost;
        private boolean unanswered = true;
        private long sentRevision;
        private long lastSentAt;

        private Connection(MemberListWatcher.Call call, boolean lost, long now) {
            this.call = call;
            this.lost = lost;
            this.sinceRevision = call.target().contains("since=") ? Long.parseLong(call.target().split("since=")[1]) : -1;
            this.lastSentAt = now;
        }
    }

    private final Map<InetSocketAddress, Discovery> discoveries = new HashMap<>();
    private final Map<InetSocketAddress, Behavior> behaviors = new HashMap<>();
    private final Map<MemberListWatcher.Call, Connection> connections = new LinkedHashMap<>();
    /** Phases by member id, as the router knows them after the updates applied so far. */
    private final Map<String, Phase> knownPhases = new HashMap<>();
    private final List<ListUpdate> appliedUpdates = new ArrayList<>();
    private final Discovery discovery = new Discovery();
    private MemberListWatcher watcher;
    /** Null where lists are pushed. */
    private ReplicaRoutingPolicy policy;
    private final List<RoutingPolicy.Event> policyEvents = new ArrayList<>();
    /** Whether nothing ever arrives on connections that are opened from now on. */
    private boolean newConnectionsAreLost;
    private int failedFetches;
    private int openedCalls;
    /** How long discovery takes to answer a call. */
    private long answerDelayNs = 2 * STEP_NS;
    private int maxOpenConnections;
    private long now;

    private static Member member(String id, Phase phase) {
        return new Member(id, "127.0.0.1:9", "south", "small", 2, phase, 1, false, 0);
    }

    private void startWatcher(Checks checks, boolean onDemand) {
        discovery.members.put("a", member("a", Phase.READY));
        discovery.members.put("b", member("b", Phase.READY));
        discoveries.put(FIRST_ADDRESS, discovery);
        discoveries.put(SECOND_ADDRESS, discovery);
        watcher = new MemberListWatcher(FIRST_ADDRESS, discovery.fullList(), onDemand, checks, SEED);
        knownPhases.put("a", Phase.READY);
        knownPhases.put("b", Phase.READY);
        carryOut(watcher.start(now));
    }

    /** Starts a watcher that asks for the list for a policy, which hears of failures and asks again. */
    private void startOnDemand() {
        startWatcher(Checks.DEFAULT, true);
        policy = new ReplicaRoutingPolicy(POLICY_SETTINGS, SEED);
    }

    private void runPolicy() {
        List<RoutingPolicy.Event> events = List.copyOf(policyEvents);
        policyEvents.clear();
        for (RoutingPolicy.Action action : policy.decide(now, events)) {
            if (action instanceof RoutingPolicy.Subscribe) {
                carryOut(watcher.subscribe(now));
            }
        }
    }

    private void carryOut(List<MemberListWatcher.Step> steps) {
        for (MemberListWatcher.Step step : steps) {
            if (step instanceof MemberListWatcher.Open open) {
                openedCalls++;
                connections.put(open.call(), new Connection(open.call(), newConnectionsAreLost, now));
            } else if (step instanceof MemberListWatcher.Close close) {
                assertTrue(connections.remove(close.call()) != null, "a closed call was open");
            } else if (step instanceof MemberListWatcher.Apply apply) {
                appliedUpdates.add(apply.update());
                policyEvents.add(new RoutingPolicy.MemberList(RoutingPolicy.ListKind.DELTA, List.of()));
                if (apply.update().complete()) {
                    knownPhases.clear();
                }
                for (Member member : apply.update().members()) {
                    if (member.phase() == Phase.GONE) {
                        knownPhases.remove(member.id());
                    } else {
                        knownPhases.put(member.id(), member.phase());
                    }
                }
            } else {
                failedFetches++;
                policyEvents.add(new RoutingPolicy.MemberList(RoutingPolicy.ListKind.FAILED, List.of()));
            }
        }
        maxOpenConnections = Math.max(maxOpenConnections, connections.size());
    }

    /** Advances the simulated time. */
    private void run(long durationNs) {
        for (long end = now + durationNs; now < end; now += STEP_NS) {
            for (Connection connection : List.copyOf(connections.values())) {
                if (connections.containsKey(connection.call)) {
                    serve(connection);
                }
            }
            if (watcher.nextTickAt() <= now) {
                carryOut(watcher.tick(now));
            }
            if (policy != null) {
                runPolicy();
            }
        }
    }

    private void serve(Connection connection) {
        Behavior behavior = behaviors.getOrDefault(connection.call.address(), Behavior.NORMAL);
        if (connection.lost) {
            return;
        }
        if (behavior == Behavior.REFUSES) {
            carryOut(watcher.onClosed(connection.call, now));
        } else if (connection.unanswered && now >= connection.lastSentAt + answerDelayNs && behavior != Behavior.SILENT) {
            connection.unanswered = false;
            Discovery server = discoveries.get(connection.call.address());
            if (behavior == Behavior.NO_FIRST_OBJECT && connection.sinceRevision == server.revision) {
                connection.lastSentAt = now;
                connection.sentRevision = server.revision;
                carryOut(watcher.onBytes(connection.call, false, false, 1, now));
                return;
            }
            send(connection, connection.sinceRevision < 0 ? server.fullList() : server.changesSince(connection.sinceRevision),
                behavior);
        } else if (!connection.unanswered && behavior != Behavior.SILENT && behavior != Behavior.NO_CHANGES
                && discoveries.get(connection.call.address()).revision != connection.sentRevision) {
            send(connection, discoveries.get(connection.call.address()).changesSince(connection.sentRevision), behavior);
        } else if (!connection.unanswered && behavior != Behavior.SILENT
                && now >= connection.lastSentAt + HEARTBEAT_INTERVAL_NS) {
            connection.lastSentAt = now;
            carryOut(watcher.onBytes(connection.call, true, false, 1, now));
        }
    }

    private void send(Connection connection, ListUpdate update, Behavior behavior) {
        connection.lastSentAt = now;
        connection.sentRevision = update.revision();
        if (behavior == Behavior.PARTIAL_LINE && connection.call.purpose() == Purpose.WATCH) {
            connection.lost = true;
            carryOut(watcher.onBytes(connection.call, false, true, 1, now));
            return;
        }
        carryOut(watcher.onBytes(connection.call, true, false, 1, now));
        if (connections.containsKey(connection.call)) {
            carryOut(watcher.onUpdate(connection.call, update, now));
        }
    }

    /** Drains a member, and requires that the router knows within the limit and one round trip. */
    private void assertDrainAppliedWithin(String id, long limitNs) {
        discovery.set(id, Phase.TERMINATING);
        long changedAt = now;
        while (knownPhases.get(id) != Phase.TERMINATING && now < changedAt + 60_000 * NANOS_PER_MILLI) {
            run(STEP_NS);
        }
        assertTrue(now - changedAt <= limitNs + ROUND_TRIP_NS, "applied after " + (now - changedAt) / NANOS_PER_MILLI + " ms");
    }

    private long openWatches() {
        return connections.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH).count();
    }

    @Test
    void workingWatchDeliversAtOnceAndChecksRepeatNothing() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        assertDrainAppliedWithin("a", 0);
        run(20_000 * NANOS_PER_MILLI);
        assertEquals(1, appliedUpdates.size());
        assertEquals(1, openWatches());
    }

    @Test
    void checksAnsweredWithTheFullListRepeatNothing() {
        discovery.alwaysSendsFullList = true;
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        assertDrainAppliedWithin("a", 0);
        int before = appliedUpdates.size();
        run(20_000 * NANOS_PER_MILLI);
        assertEquals(before, appliedUpdates.size());
    }

    @Test
    void lostConnectIsRetriedAfterOneSecond() {
        newConnectionsAreLost = true;
        startWatcher(Checks.DISABLED, false);
        run(500 * NANOS_PER_MILLI);
        newConnectionsAreLost = false;
        assertDrainAppliedWithin("a", 700 * NANOS_PER_MILLI);
    }

    @Test
    void refusedConnectIsRetriedWithBackoffUpToHalfASecond() {
        behaviors.put(FIRST_ADDRESS, Behavior.REFUSES);
        startWatcher(Checks.DEFAULT, false);
        run(30_000 * NANOS_PER_MILLI);
        behaviors.put(FIRST_ADDRESS, Behavior.NORMAL);
        assertDrainAppliedWithin("a", 500 * NANOS_PER_MILLI);
    }

    @Test
    void changeMissedBySilentlyLostWatchIsFoundByTheNextCheck() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        connections.values().forEach(connection -> connection.lost = true);
        assertDrainAppliedWithin("a", 1_000 * NANOS_PER_MILLI);
        run(4_000 * NANOS_PER_MILLI);
        assertDrainAppliedWithin("b", 0);
    }

    @Test
    void withoutChecksSilentWatchIsReplacedAfterThreeSeconds() {
        startWatcher(Checks.DISABLED, false);
        run(1_500 * NANOS_PER_MILLI);
        connections.values().forEach(connection -> connection.lost = true);
        assertDrainAppliedWithin("a", 3_200 * NANOS_PER_MILLI);
    }

    @Test
    void watchWithHeartbeatsButNoChangesIsReplacedAfterTheNextCheck() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        MemberListWatcher.Call watch = connections.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH).findFirst()
            .orElseThrow();
        behaviors.put(FIRST_ADDRESS, Behavior.NO_CHANGES);
        assertDrainAppliedWithin("a", 1_000 * NANOS_PER_MILLI);
        run(1_100 * NANOS_PER_MILLI);
        assertFalse(connections.containsKey(watch));
        assertEquals(1, openWatches());
    }

    @Test
    void withoutChecksAWatchWithHeartbeatsButNoChangesHidesTheChangeForever() {
        startWatcher(Checks.DISABLED, false);
        run(1_500 * NANOS_PER_MILLI);
        behaviors.put(FIRST_ADDRESS, Behavior.NO_CHANGES);
        discovery.set("a", Phase.TERMINATING);
        run(60_000 * NANOS_PER_MILLI);
        assertEquals(Phase.READY, knownPhases.get("a"));
    }

    @Test
    void partialLineDelaysAChangeNoLongerThanOneCheck() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        behaviors.put(FIRST_ADDRESS, Behavior.PARTIAL_LINE);
        assertDrainAppliedWithin("a", 1_000 * NANOS_PER_MILLI);
        behaviors.put(FIRST_ADDRESS, Behavior.NORMAL);
        run(2_000 * NANOS_PER_MILLI);
        assertDrainAppliedWithin("b", 0);
    }

    @Test
    void lineThatTricklesWithoutEndIsCancelledAfterFourSeconds() {
        startWatcher(Checks.DISABLED, false);
        run(1_500 * NANOS_PER_MILLI);
        Connection watch = connections.values().iterator().next();
        watch.lost = true;
        long end = now + 4_000 * NANOS_PER_MILLI;
        while (now <= end) {
            carryOut(watcher.onBytes(watch.call, false, true, 1, now));
            run(100 * NANOS_PER_MILLI);
        }
        run(200 * NANOS_PER_MILLI);
        assertFalse(connections.containsKey(watch.call));
        assertEquals(1, openWatches());
    }

    @Test
    void addressChangeKeepsThePreviousWatchUntilTheNewOneDelivers() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        behaviors.put(SECOND_ADDRESS, Behavior.SILENT);
        carryOut(watcher.changeAddress(SECOND_ADDRESS, now));
        assertDrainAppliedWithin("a", 0);
        assertEquals(2, openWatches());
        behaviors.put(SECOND_ADDRESS, Behavior.NORMAL);
        run(1_200 * NANOS_PER_MILLI);
        assertEquals(List.of(SECOND_ADDRESS), connections.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH)
            .map(MemberListWatcher.Call::address).toList());
        behaviors.put(FIRST_ADDRESS, Behavior.REFUSES);
        assertDrainAppliedWithin("b", 0);
    }

    @Test
    void addressChangeToASilentServerClosesThePreviousWatchAfterFiveSeconds() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        behaviors.put(SECOND_ADDRESS, Behavior.SILENT);
        carryOut(watcher.changeAddress(SECOND_ADDRESS, now));
        run(5_100 * NANOS_PER_MILLI);
        assertTrue(connections.keySet().stream().allMatch(c -> c.address().equals(SECOND_ADDRESS)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void fullListIsRequestedAfterDiscoveryRestarts(boolean alwaysSendsFullList) {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        discovery.set("c", Phase.READY);
        run(500 * NANOS_PER_MILLI);
        discovery.alwaysSendsFullList = alwaysSendsFullList;
        discovery.members.remove("b");
        discovery.revision = 3;
        discovery.set("a", Phase.TERMINATING);
        run(200 * NANOS_PER_MILLI);
        assertEquals(Map.of("a", Phase.TERMINATING, "c", Phase.READY), knownPhases);
        assertEquals(4, watcher.revision());
        assertDrainAppliedWithin("c", 0);
        assertTrue(appliedUpdates.stream().anyMatch(ListUpdate::complete));
    }

    @Test
    void requestsAreLimitedWhileTheRevisionGoesBackRepeatedly() {
        startWatcher(Checks.DEFAULT, false);
        run(100 * NANOS_PER_MILLI);
        int opened = 0;
        long end = now + 10_000 * NANOS_PER_MILLI;
        while (now < end) {
            discovery.revision = Math.max(1, discovery.revision - 1);
            Map<MemberListWatcher.Call, Connection> before = new HashMap<>(connections);
            run(STEP_NS);
            opened += connections.keySet().stream().filter(c -> !before.containsKey(c)).count();
        }
        assertTrue(opened <= 70, opened + " calls in 10 s");
    }

    @Test
    void differentListWithTheSameRevisionIsFoundByTheFullList() {
        startWatcher(Checks.DEFAULT, false);
        run(1_500 * NANOS_PER_MILLI);
        discovery.members.put("a", member("a", Phase.TERMINATING));
        discovery.members.remove("b");
        run(5_000 * NANOS_PER_MILLI + ROUND_TRIP_NS);
        assertEquals(Map.of("a", Phase.TERMINATING), knownPhases);
    }

    @Test
    void onDemandListIsRequestedOnlyForThePolicy() {
        startWatcher(Checks.DEFAULT, true);
        run(10_000 * NANOS_PER_MILLI);
        assertEquals(0, maxOpenConnections);
        behaviors.put(FIRST_ADDRESS, Behavior.REFUSES);
        carryOut(watcher.subscribe(now));
        run(5_000 * NANOS_PER_MILLI);
        assertEquals(1, failedFetches);
        behaviors.put(FIRST_ADDRESS, Behavior.NORMAL);
        carryOut(watcher.subscribe(now));
        carryOut(watcher.fetch(now));
        assertDrainAppliedWithin("a", 0);
        run(10_000 * NANOS_PER_MILLI);
        assertEquals(1, connections.size());
        assertEquals(1, failedFetches);
    }

    /** Five seconds after the end of any mixture of faults, the router knows the same list as discovery. */
    @Test
    void listIsKnownAgainFiveSecondsAfterAnyFaults() {
        for (int seed = 1; seed <= 300; seed++) {
            MemberListWatcherTest simulation = new MemberListWatcherTest();
            simulation.startWatcher(Checks.DEFAULT, false);
            SplittableRandom random = new SplittableRandom(seed);
            for (int fault = 0; fault < 40; fault++) {
                simulation.injectFault(random);
                simulation.run((random.nextInt(150) + 1) * STEP_NS);
            }
            simulation.endFaults();
            simulation.run(5_200 * NANOS_PER_MILLI + ROUND_TRIP_NS);
            Map<String, Phase> listed = new HashMap<>();
            simulation.discovery.fullList().members().forEach(m -> listed.put(m.id(), m.phase()));
            assertEquals(listed, simulation.knownPhases, "seed " + seed);
            assertEquals(simulation.discovery.revision, simulation.watcher.revision(), "seed " + seed);
            assertTrue(simulation.maxOpenConnections <= 5,
                "seed " + seed + ": " + simulation.maxOpenConnections + " calls at once");
            assertNotEquals(0, simulation.appliedUpdates.size());
        }
    }

    private void injectFault(SplittableRandom random) {
        Phase[] phases = Phase.values();
        InetSocketAddress address = random.nextBoolean() ? FIRST_ADDRESS : SECOND_ADDRESS;
        switch (random.nextInt(7)) {
            case 0, 1 -> discovery.set("m" + random.nextInt(5), phases[random.nextInt(phases.length)]);
            case 2 -> behaviors.put(address, Behavior.values()[random.nextInt(Behavior.values().length)]);
            case 3 -> newConnectionsAreLost = random.nextBoolean();
            case 4 -> connections.values().forEach(connection -> connection.lost |= random.nextInt(3) == 0);
            case 5 -> carryOut(watcher.changeAddress(address, now));
            default -> {
                if (random.nextInt(4) == 0) {
                    discovery.revision = random.nextInt((int) discovery.revision) + 1;
                    discovery.changeRevisions.replaceAll((id, changed) -> Math.min(changed, discovery.revision));
                    connections.values().forEach(connection -> connection.sentRevision = Long.MAX_VALUE);
                }
            }
        }
    }

    private void endFaults() {
        behaviors.clear();
        newConnectionsAreLost = false;
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.lost) {
                carryOut(watcher.onClosed(connection.call, now));
            }
        }
    }

    /** The time within which a change has to be known once discovery can be asked for it. */
    private static final long KNOWN_WITHIN_NS = 6_000 * NANOS_PER_MILLI;

    /** How discovery may be away: it takes calls and says nothing, refuses them, or they get lost. */
    private enum Outage { SILENT, REFUSED, LOST }

    private void beginOutage(Outage outage) {
        behaviors.put(FIRST_ADDRESS, outage == Outage.SILENT ? Behavior.SILENT
            : outage == Outage.REFUSED ? Behavior.REFUSES : Behavior.NORMAL);
        newConnectionsAreLost = outage == Outage.LOST;
        connections.values().forEach(connection -> connection.lost |= outage == Outage.LOST);
    }

    private void endOutage() {
        behaviors.put(FIRST_ADDRESS, Behavior.NORMAL);
        newConnectionsAreLost = false;
        connections.values().forEach(connection -> connection.lost = true); // no call from before the return is answered
    }

    /** Guards against a drain that stays unknown because the router waits too long before it asks discovery again. */
    @ParameterizedTest
    @EnumSource(Outage.class)
    void changeIsKnownInTimeAfterAnOutageOfAnyLengthWhereListsAreAskedFor(Outage outage) {
        for (int tenths = 1; tenths <= 400; tenths += 3) {
            MemberListWatcherTest simulation = new MemberListWatcherTest();
            simulation.startOnDemand();
            simulation.run(10_000 * NANOS_PER_MILLI);
            simulation.beginOutage(outage);
            simulation.run(tenths * 100 * NANOS_PER_MILLI);
            simulation.endOutage();
            simulation.assertDrainAppliedWithin("a", KNOWN_WITHIN_NS - ROUND_TRIP_NS);
        }
    }

    /** Guards against watches that break one after the other at quiet times, of which each adds to the wait after the next. */
    @Test
    void watchesThatBreakAgainAndAgainDoNotDelayAChange() {
        startOnDemand();
        for (int i = 0; i < 8; i++) {
            run(20_000 * NANOS_PER_MILLI);
            connections.values().forEach(connection -> connection.lost = true);
        }
        assertDrainAppliedWithin("a", KNOWN_WITHIN_NS - ROUND_TRIP_NS);
    }

    /** Guards against a router that never learns of anything, since it gives up each call before discovery answers it. */
    @ParameterizedTest
    @CsvSource({"1200, true", "1200, false", "2500, true", "2500, false", "5000, true", "5000, false"})
    void slowAnswersAreAwaited(long answerDelayMillis, boolean onDemand) {
        answerDelayNs = answerDelayMillis * NANOS_PER_MILLI;
        if (onDemand) {
            startOnDemand();
        } else {
            startWatcher(Checks.DEFAULT, false);
        }
        discovery.set("a", Phase.TERMINATING);
        run(KNOWN_WITHIN_NS);
        assertEquals(Phase.TERMINATING, knownPhases.get("a"));
        run(20_000 * NANOS_PER_MILLI);
        assertEquals(1, openWatches());
        assertTrue(maxOpenConnections <= 5, maxOpenConnections + " calls at once");
    }

    /** Guards against descriptors that run out, as checks of a list that does not change are never answered and never end. */
    @Test
    void checksEndWhereDiscoveryHasNothingToTell() {
        behaviors.put(FIRST_ADDRESS, Behavior.NO_FIRST_OBJECT);
        startWatcher(Checks.DEFAULT, false);
        run(60_000 * NANOS_PER_MILLI);
        assertTrue(maxOpenConnections <= 3, maxOpenConnections + " calls at once");
        assertDrainAppliedWithin("a", 0);
    }

    /** A longer outage must not cost the fleet more calls than the time within which changes have to be known requires. */
    @Test
    void callsDuringAnOutageAreFewWhereListsAreAskedFor() {
        startOnDemand();
        run(5_000 * NANOS_PER_MILLI);
        beginOutage(Outage.SILENT);
        openedCalls = 0;
        run(60_000 * NANOS_PER_MILLI);
        assertTrue(openedCalls <= 25, openedCalls + " calls in a minute");
    }

    /** Guards against a drain that is not heard of because a move of discovery finds the router between two calls. */
    @Test
    void moveOfDiscoveryEndsTheWaitForTheNextCallWhereListsAreAskedFor() {
        startOnDemand();
        run(5_000 * NANOS_PER_MILLI);
        beginOutage(Outage.REFUSED);
        run(30_000 * NANOS_PER_MILLI);
        carryOut(watcher.changeAddress(SECOND_ADDRESS, now));
        assertDrainAppliedWithin("a", 0);
    }

    private static MemberListWatcher watcherWithMembers(int members, long seed) {
        List<Member> list = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            list.add(member("m" + i, Phase.READY));
        }
        MemberListWatcher watcher = new MemberListWatcher(FIRST_ADDRESS, new ListUpdate(41, true, list), false,
            Checks.DEFAULT, seed);
        watcher.start(0);
        return watcher;
    }

    /** The number of requests for the full list in a period without changes, in which every call is left to time out. */
    private static long fullListRequests(int members, long durationNs) {
        MemberListWatcher watcher = watcherWithMembers(members, SEED);
        long requests = 0;
        for (long now = 0; now < durationNs; now += STEP_NS) {
            requests += watcher.tick(now).stream()
                .filter(s -> s instanceof MemberListWatcher.Open open && open.call().purpose() == Purpose.FULL_LIST).count();
        }
        return requests;
    }

    @Test
    void bytesOfFullListsHardlyGrowWithTheNumberOfMembers() {
        long durationNs = 600_000 * NANOS_PER_MILLI;
        long entryBytes = 192;
        long bytesWith60 = fullListRequests(60, durationNs) * 60 * entryBytes;
        long bytesWith3200 = fullListRequests(3_200, durationNs) * 3_200 * entryBytes;
        assertTrue(bytesWith60 > 0 && bytesWith3200 > 0);
        assertTrue(bytesWith3200 <= 2 * bytesWith60 + 64_000 + 500_000 * 3.2,
            bytesWith3200 + " bytes, " + bytesWith60 + " with 60 members");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 64 * 1024})
    void slowLargeListIsAwaitedButATrickleIsCancelled(int bytesPerHalfSecond) {
        MemberListWatcher watcher = new MemberListWatcher(FIRST_ADDRESS, new ListUpdate(41, true, List.of()), false,
            Checks.DISABLED, SEED);
        MemberListWatcher.Call watch = ((MemberListWatcher.Open) watcher.start(0).get(0)).call();
        boolean closed = false;
        for (long now = 0; now < 10_000 * NANOS_PER_MILLI; now += 500 * NANOS_PER_MILLI) {
            watcher.onBytes(watch, false, true, bytesPerHalfSecond, now);
            closed |= watcher.tick(now).stream()
                .anyMatch(s -> s instanceof MemberListWatcher.Close close && close.call() == watch);
        }
        assertEquals(bytesPerHalfSecond < 1_000, closed);
    }

    private static boolean requestsFullList(MemberListWatcher watcher, long now) {
        return watcher.tick(now).stream()
            .anyMatch(s -> s instanceof MemberListWatcher.Open open && open.call().purpose() == Purpose.FULL_LIST);
    }

    @Test
    void fullListRequestsOfAHundredRoutersStartedTogetherAreSpread() {
        int routers = 100;
        Map<Long, Integer> requests = new HashMap<>();
        for (int router = 0; router < routers; router++) {
            MemberListWatcher watcher = watcherWithMembers(3_200, router);
            long now = 0;
            while (!requestsFullList(watcher, now)) {
                now += STEP_NS;
            }
            requests.merge(now / (1_000 * NANOS_PER_MILLI), 1, Integer::sum);
        }
        assertTrue(requests.values().stream().allMatch(perSecond -> perSecond <= routers / 10), requests.toString());
    }
}
