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
import ledgewall.discovery.MemberListWatcher.Pace;
import ledgewall.discovery.MemberListWatcher.Purpose;
import ledgewall.discovery.Member.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Every way of missing a change that the architecture page lists, against a discovery in simulated time. */
class MemberListWatcherTest {
    private static final long MS = 1_000_000L;
    private static final long STEP = 10 * MS;
    /** A question and its answer in the model: two steps each way. */
    private static final long TURN = 4 * STEP;
    private static final long BLANK_EVERY = 2_000 * MS;
    private static final long SEED = 28;
    private static final InetSocketAddress HERE = new InetSocketAddress("127.0.0.1", 8500);
    private static final InetSocketAddress THERE = new InetSocketAddress("127.0.0.1", 8501);

    /** The list as discovery has it, with its history. */
    private static final class Discovery {
        private final Map<String, Member> members = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new HashMap<>();
        private long revision = 41;
        private boolean tellsWhole;

        void set(String id, Phase phase) {
            members.put(id, member(id, phase));
            changedAt.put(id, ++revision);
        }

        ListUpdate since(long known) {
            if (tellsWhole || known > revision) {
                return whole();
            }
            return new ListUpdate(revision, false, members.values().stream()
                .filter(m -> changedAt.getOrDefault(m.id(), 0L) > known).toList());
        }

        ListUpdate whole() {
            return new ListUpdate(revision, true, members.values().stream()
                .filter(m -> m.phase() != Phase.GONE).toList());
        }
    }

    private enum Mood { WELL, REFUSES, SILENT, STUCK, HALF }

    /** One call's connection as discovery sees it. */
    private static final class Line {
        private final MemberListWatcher.Call call;
        private final long since;
        private boolean lost;
        private boolean first = true;
        private long sent;
        private long spokeAt;

        private Line(MemberListWatcher.Call call, boolean lost, long now) {
            this.call = call;
            this.lost = lost;
            this.since = call.target().contains("since=") ? Long.parseLong(call.target().split("since=")[1]) : -1;
            this.spokeAt = now;
        }
    }

    private final Map<InetSocketAddress, Discovery> discoveries = new HashMap<>();
    private final Map<InetSocketAddress, Mood> moods = new HashMap<>();
    private final Map<MemberListWatcher.Call, Line> lines = new LinkedHashMap<>();
    private final Map<String, Phase> heard = new HashMap<>();
    private final List<ListUpdate> updates = new ArrayList<>();
    private final Discovery discovery = new Discovery();
    private MemberListWatcher follower;
    private boolean losesConnects;
    private int failures;
    private int mostOpen;
    private long now;

    private static Member member(String id, Phase phase) {
        return new Member(id, "127.0.0.1:9", "south", "small", 2, phase, 1, false, 0);
    }

    private void begin(Pace pace, boolean onlyWhenAsked) {
        discovery.members.put("a", member("a", Phase.READY));
        discovery.members.put("b", member("b", Phase.READY));
        discoveries.put(HERE, discovery);
        discoveries.put(THERE, discovery);
        follower = new MemberListWatcher(HERE, discovery.whole(), onlyWhenAsked, pace, SEED);
        heard.put("a", Phase.READY);
        heard.put("b", Phase.READY);
        carryOut(follower.start(now));
    }

    private void carryOut(List<MemberListWatcher.Step> steps) {
        for (MemberListWatcher.Step step : steps) {
            if (step instanceof MemberListWatcher.Open open) {
                lines.put(open.call(), new Line(open.call(), losesConnects, now));
            } else if (step instanceof MemberListWatcher.Close close) {
                assertTrue(lines.remove(close.call()) != null, "only what is open is closed");
            } else if (step instanceof MemberListWatcher.Learn learn) {
                updates.add(learn.update());
                if (learn.update().complete()) {
                    heard.clear();
                }
                for (Member member : learn.update().members()) {
                    if (member.phase() == Phase.GONE) {
                        heard.remove(member.id());
                    } else {
                        heard.put(member.id(), member.phase());
                    }
                }
            } else {
                failures++;
            }
        }
        mostOpen = Math.max(mostOpen, lines.size());
    }

    private void run(long span) {
        for (long end = now + span; now < end; now += STEP) {
            for (Line line : List.copyOf(lines.values())) {
                if (lines.containsKey(line.call)) {
                    speak(line);
                }
            }
            if (follower.due() <= now) {
                carryOut(follower.tick(now));
            }
        }
    }

    private void speak(Line line) {
        Mood mood = moods.getOrDefault(line.call.address(), Mood.WELL);
        if (line.lost) {
            return;
        }
        if (mood == Mood.REFUSES) {
            carryOut(follower.ended(line.call, now));
        } else if (line.first && now >= line.spokeAt + 2 * STEP && mood != Mood.SILENT) {
            line.first = false;
            Discovery answers = discoveries.get(line.call.address());
            tell(line, line.since < 0 ? answers.whole() : answers.since(line.since), mood);
        } else if (!line.first && mood != Mood.SILENT && mood != Mood.STUCK
                && discoveries.get(line.call.address()).revision != line.sent) {
            tell(line, discoveries.get(line.call.address()).since(line.sent), mood);
        } else if (!line.first && mood != Mood.SILENT && now >= line.spokeAt + BLANK_EVERY) {
            line.spokeAt = now;
            carryOut(follower.heard(line.call, true, false, 1, now));
        }
    }

    private void tell(Line line, ListUpdate update, Mood mood) {
        line.spokeAt = now;
        line.sent = update.revision();
        if (mood == Mood.HALF && line.call.purpose() == Purpose.WATCH) {
            line.lost = true; // a line's beginning, and then nothing
            carryOut(follower.heard(line.call, false, true, 1, now));
            return;
        }
        carryOut(follower.heard(line.call, true, false, 1, now));
        if (lines.containsKey(line.call)) {
            carryOut(follower.told(line.call, update, now));
        }
    }

    private void awaitDrain(String id, long within) {
        discovery.set(id, Phase.TERMINATING);
        long told = now;
        while (heard.get(id) != Phase.TERMINATING && now < told + 60_000 * MS) {
            run(STEP);
        }
        assertTrue(now - told <= within + TURN, "learned after " + (now - told) / MS + " ms");
    }

    private long watches() {
        return lines.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH).count();
    }

    @Test
    void aWatchThatIsWellTellsAtOnceAndChecksTellNothingAgain() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        awaitDrain("a", 0);
        run(20_000 * MS);
        assertEquals(1, updates.size());
        assertEquals(1, watches());
    }

    @Test
    void aDiscoveryThatAnswersEachCheckWholeTellsNothingTwice() {
        discovery.tellsWhole = true;
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        awaitDrain("a", 0);
        int before = updates.size();
        run(20_000 * MS);
        assertEquals(before, updates.size());
    }

    @Test
    void aLostConnectIsTriedAgainAfterASecond() {
        losesConnects = true;
        begin(Pace.UNCHECKED, false);
        run(500 * MS);
        losesConnects = false;
        awaitDrain("a", 700 * MS);
    }

    @Test
    void aRefusedConnectIsTriedAgainSoonAndEachHalfSecondInTheEnd() {
        moods.put(HERE, Mood.REFUSES);
        begin(Pace.USUAL, false);
        run(30_000 * MS);
        moods.put(HERE, Mood.WELL);
        awaitDrain("a", 500 * MS);
    }

    @Test
    void aWatchCutOffSilentlyCostsAtMostTheTimeToTheNextCheck() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        lines.values().forEach(line -> line.lost = true);
        awaitDrain("a", 1_000 * MS);
        run(4_000 * MS);
        awaitDrain("b", 0);
    }

    @Test
    void withoutChecksASilentWatchIsReplacedAfterThreeSeconds() {
        begin(Pace.UNCHECKED, false);
        run(1_500 * MS);
        lines.values().forEach(line -> line.lost = true);
        awaitDrain("a", 3_200 * MS);
    }

    @Test
    void aWatchThatLivesAndTellsNothingIsCaughtByTheNextCheckAndReplaced() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        MemberListWatcher.Call stuck = lines.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH).findFirst()
            .orElseThrow();
        moods.put(HERE, Mood.STUCK);
        awaitDrain("a", 1_000 * MS);
        run(1_100 * MS);
        assertFalse(lines.containsKey(stuck));
        assertEquals(1, watches());
    }

    @Test
    void withoutChecksSuchAWatchWouldHideTheChangeForGood() {
        begin(Pace.UNCHECKED, false);
        run(1_500 * MS);
        moods.put(HERE, Mood.STUCK);
        discovery.set("a", Phase.TERMINATING);
        run(60_000 * MS);
        assertEquals(Phase.READY, heard.get("a"));
    }

    @Test
    void halfALineIsNoLongerWaitedForThanACheck() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        moods.put(HERE, Mood.HALF);
        awaitDrain("a", 1_000 * MS);
        moods.put(HERE, Mood.WELL);
        run(2_000 * MS);
        awaitDrain("b", 0);
    }

    @Test
    void aLineThatDripsWithoutEndIsGivenUpAfterFourSeconds() {
        begin(Pace.UNCHECKED, false);
        run(1_500 * MS);
        Line watch = lines.values().iterator().next();
        watch.lost = true;
        long end = now + 4_000 * MS;
        while (now <= end) {
            carryOut(follower.heard(watch.call, false, true, 1, now));
            run(100 * MS);
        }
        run(200 * MS);
        assertFalse(lines.containsKey(watch.call));
        assertEquals(1, watches());
    }

    @Test
    void aMoveKeepsTheOldWatchUntilTheNewOneSpeaks() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        moods.put(THERE, Mood.SILENT);
        carryOut(follower.move(THERE, now));
        awaitDrain("a", 0);
        assertEquals(2, watches());
        moods.put(THERE, Mood.WELL);
        run(1_200 * MS);
        assertEquals(List.of(THERE), lines.keySet().stream().filter(c -> c.purpose() == Purpose.WATCH)
            .map(MemberListWatcher.Call::address).toList());
        moods.put(HERE, Mood.REFUSES);
        awaitDrain("b", 0);
    }

    @Test
    void aMoveToAnAddressThatStaysSilentLetsTheOldWatchGoAfterFiveSeconds() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        moods.put(THERE, Mood.SILENT);
        carryOut(follower.move(THERE, now));
        run(5_100 * MS);
        assertTrue(lines.keySet().stream().allMatch(c -> c.address().equals(THERE)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDiscoveryBegunAnewIsAskedForAllItHas(boolean tellsWhole) {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        discovery.set("c", Phase.READY);
        run(500 * MS);
        discovery.tellsWhole = tellsWhole;
        discovery.members.remove("b");
        discovery.revision = 3;
        discovery.set("a", Phase.TERMINATING);
        run(200 * MS);
        assertEquals(Map.of("a", Phase.TERMINATING, "c", Phase.READY), heard);
        assertEquals(4, follower.revision());
        awaitDrain("c", 0);
        assertTrue(updates.stream().anyMatch(ListUpdate::complete));
    }

    @Test
    void aDiscoveryThatGoesBackAgainAndAgainIsNotAskedWithoutPause() {
        begin(Pace.USUAL, false);
        run(100 * MS);
        int opened = 0;
        long end = now + 10_000 * MS;
        while (now < end) {
            discovery.revision = Math.max(1, discovery.revision - 1);
            Map<MemberListWatcher.Call, Line> before = new HashMap<>(lines);
            run(STEP);
            opened += lines.keySet().stream().filter(c -> !before.containsKey(c)).count();
        }
        assertTrue(opened <= 70, opened + " calls in 10 s");
    }

    @Test
    void anotherListUnderTheSameRevisionIsFoundByTheWholeList() {
        begin(Pace.USUAL, false);
        run(1_500 * MS);
        discovery.members.put("a", member("a", Phase.TERMINATING));
        discovery.members.remove("b");
        run(5_000 * MS + TURN);
        assertEquals(Map.of("a", Phase.TERMINATING), heard);
    }

    @Test
    void whereListsComeOnlyWhenAskedNothingIsAskedUnasked() {
        begin(Pace.USUAL, true);
        run(10_000 * MS);
        assertEquals(0, mostOpen);
        moods.put(HERE, Mood.REFUSES);
        carryOut(follower.subscribe(now));
        run(5_000 * MS);
        assertEquals(1, failures);
        moods.put(HERE, Mood.WELL);
        carryOut(follower.subscribe(now));
        carryOut(follower.fetch(now));
        awaitDrain("a", 0);
        run(10_000 * MS);
        assertEquals(1, lines.size());
        assertEquals(1, failures);
    }

    /** Whatever mixture of troubles came before: five seconds after them a router knows what discovery knows. */
    @Test
    void afterAnyTroublesTheListIsKnownAgain() {
        for (int seed = 1; seed <= 300; seed++) {
            MemberListWatcherTest world = new MemberListWatcherTest();
            world.begin(Pace.USUAL, false);
            SplittableRandom random = new SplittableRandom(seed);
            for (int turn = 0; turn < 40; turn++) {
                world.trouble(random);
                world.run((random.nextInt(150) + 1) * STEP);
            }
            world.heal();
            world.run(5_200 * MS + TURN);
            Map<String, Phase> listed = new HashMap<>();
            world.discovery.whole().members().forEach(m -> listed.put(m.id(), m.phase()));
            assertEquals(listed, world.heard, "seed " + seed);
            assertEquals(world.discovery.revision, world.follower.revision(), "seed " + seed);
            assertTrue(world.mostOpen <= 5, "seed " + seed + ": " + world.mostOpen + " calls at once");
            assertNotEquals(0, world.updates.size());
        }
    }

    private void trouble(SplittableRandom random) {
        Phase[] phases = Phase.values();
        InetSocketAddress where = random.nextBoolean() ? HERE : THERE;
        switch (random.nextInt(7)) {
            case 0, 1 -> discovery.set("m" + random.nextInt(5), phases[random.nextInt(phases.length)]);
            case 2 -> moods.put(where, Mood.values()[random.nextInt(Mood.values().length)]);
            case 3 -> losesConnects = random.nextBoolean();
            case 4 -> lines.values().forEach(line -> line.lost |= random.nextInt(3) == 0);
            case 5 -> carryOut(follower.move(where, now));
            default -> {
                if (random.nextInt(4) == 0) {
                    discovery.revision = random.nextInt((int) discovery.revision) + 1;
                    discovery.changedAt.replaceAll((id, at) -> Math.min(at, discovery.revision));
                    lines.values().forEach(line -> line.sent = Long.MAX_VALUE);
                }
            }
        }
    }

    private void heal() {
        moods.clear();
        losesConnects = false;
        for (Line line : List.copyOf(lines.values())) {
            if (line.lost) {
                carryOut(follower.ended(line.call, now));
            }
        }
    }

    private static MemberListWatcher ofMembers(int members, long seed) {
        List<Member> list = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            list.add(member("m" + i, Phase.READY));
        }
        MemberListWatcher follower = new MemberListWatcher(HERE, new ListUpdate(41, true, list), false, Pace.USUAL, seed);
        follower.start(0);
        return follower;
    }

    /** Whole lists that are asked for in that time while nothing changes and each call is closed in time. */
    private static long wholeLists(int members, long span) {
        MemberListWatcher follower = ofMembers(members, SEED);
        long asked = 0;
        for (long now = 0; now < span; now += STEP) {
            asked += follower.tick(now).stream()
                .filter(s -> s instanceof MemberListWatcher.Open open && open.call().purpose() == Purpose.WHOLE).count();
        }
        return asked;
    }

    @Test
    void bytesOfWholeListsHardlyGrowWithTheNumberOfMembers() {
        long span = 600_000 * MS;
        long entry = 192;
        long usual = wholeLists(60, span) * 60 * entry;
        long many = wholeLists(3_200, span) * 3_200 * entry;
        assertTrue(usual > 0 && many > 0);
        assertTrue(many <= 2 * usual + 64_000 + 500_000 * 3.2, many + " bytes, " + usual + " of sixty members");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 64 * 1024})
    void aLargeListThatComesSlowlyIsAwaitedAndADripIsNot(int bytesPerHalfSecond) {
        MemberListWatcher slow = new MemberListWatcher(HERE, new ListUpdate(41, true, List.of()), false, Pace.UNCHECKED,
            SEED);
        MemberListWatcher.Call watch = ((MemberListWatcher.Open) slow.start(0).get(0)).call();
        boolean closed = false;
        for (long now = 0; now < 10_000 * MS; now += 500 * MS) {
            slow.heard(watch, false, true, bytesPerHalfSecond, now);
            closed |= slow.tick(now).stream().anyMatch(s -> s instanceof MemberListWatcher.Close close && close.call() == watch);
        }
        assertEquals(bytesPerHalfSecond < 1_000, closed);
    }

    private static boolean asksForWhole(MemberListWatcher follower, long now) {
        return follower.tick(now).stream()
            .anyMatch(s -> s instanceof MemberListWatcher.Open open && open.call().purpose() == Purpose.WHOLE);
    }

    @Test
    void aHundredRoutersThatStartTogetherDoNotAskForTheWholeListTogether() {
        int routers = 100;
        Map<Long, Integer> asked = new HashMap<>();
        for (int router = 0; router < routers; router++) {
            MemberListWatcher follower = ofMembers(3_200, router);
            long now = 0;
            while (!asksForWhole(follower, now)) {
                now += STEP;
            }
            asked.merge(now / (1_000 * MS), 1, Integer::sum);
        }
        assertTrue(asked.values().stream().allMatch(inASecond -> inASecond <= routers / 10), asked.toString());
    }
}
