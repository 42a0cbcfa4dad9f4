package ledgewall;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * All decisions of a router. The interface, its events and its actions stand in RoutingPolicy.java.
 *
 * <p>The ordinary path is the design's: members are probed every five seconds for role, position and ping; a
 * read goes to a random eligible replica among the near-fastest, then the next, then the primary; a write to
 * the member last seen as primary. All else is an exception that says what it guards against.
 */
public final class ReplicaRoutingPolicy implements RoutingPolicy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** Ping differences below this part of a read's usual time are not felt by its client. */
    private static final double PING_MARGIN = 0.125;
    /** A member whose expected delay is over this multiple of the best's is crowded or slow, not unlucky. */
    private static final double CROWDED = 1.5;
    /** A member that was in contact so lately has an idle connection left, as far as hosts keep them. */
    private static final long CONNECTION_KEPT = 20 * SECOND;
    /** Silence worth this many expected answers is a fault: work has long tails. */
    private static final double SILENCE = 20;
    /** A timer later than this tells of a pause of the router itself: many ticks, far less than an aim. */
    private static final long STANDSTILL = 50 * MS;
    /** An attempt out for this many aims, where others are answered in time, is lost: no place, no load. */
    private static final long LOST = 2;
    /** No process is gone and back sooner: what answers again by then was only unreachable, and is warm. */
    private static final long RESTART = SECOND;
    /** A member under suspicion is offered one request in this time. */
    private static final long TRIAL_GAP = 500 * MS;
    /** A member's answers should take this part of their aims: the rest is for the long tail of work. */
    private static final double STRAIN_AIM = 0.42;
    private static final double FIRST_STRAIN = 0.25;
    /** Power of strain in the spacing of sends: at half of the strain wanted a sixteenth is left. */
    private static final double SPACING = 4;
    /** Windows of attempts at a member, of all routers together: at first, when cold, at least, a step up. */
    private static final double FIRST_WINDOW = 12;
    private static final double COLD_WINDOW = 4;
    private static final double LEAST_WINDOW = 1;
    private static final double STEP_UP = 2;
    private static final double STEP_DOWN = 0.85;
    private static final long STEP_GAP = 100 * MS;
    /** Reads get this part of the primary's window: its writes can go nowhere else. */
    private static final double PRIMARY_FOR_READS = 0.5;
    /** Weight of a sample in means of a member and of many, and its time: few answers come from a member. */
    private static final double MEMBER_WEIGHT = 0.3;
    private static final double CLASS_WEIGHT = 0.02;
    private static final double FADE = 20 * SECOND;
    /** Part of the time left that a fresh router may hold a request while its first probes are out. */
    private static final double FRESH_HOLD = 0.1;
    /** Part of its aim that a read may be held: long enough for a burst to pass. */
    private static final double HOLD_PART = 0.05;
    /** Sessions whose last write is remembered: some megabytes at most. */
    private static final int MOST_SESSIONS = 20_000;
    /** First wait before asking for the list again after a failure; the rule gives the longest. */
    private static final long ASK_AGAIN = SECOND;
    /** Outcomes that only a member that answers can bring. */
    private static final List<Result> SAID = List.of(Result.OK, Result.MISSED, Result.REJECTED, Result.ERROR);

    private final Settings settings;
    private final SplittableRandom random;
    private final long tick;
    private final double[] classMean;
    private double sumOfMeans;
    private final long[] patience;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<Long, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final DueQueue<Request> deadlines = new DueQueue<>();
    private final Map<Integer, MachineKind> kinds = new HashMap<>();
    /** Members with attempts out; members that are gone, until nothing of theirs is out. */
    private final Set<Member> busy = new LinkedHashSet<>();
    private final Set<Member> leaving = new LinkedHashSet<>();
    /** Groups that hold requests, and those of them of which something was heard in this turn. */
    private final Set<Group> holding = new LinkedHashSet<>();
    private final Set<Group> touched = new LinkedHashSet<>();
    private final Freshness freshness;
    private final SlowStart slowStart;
    private ProbeScheduler probes;
    private final Map<Long, Long> lastWrites = new LinkedHashMap<>();
    private final List<Request> pending = new ArrayList<>();
    private final boolean shared;
    private final List<GossipMessage.Finding> news = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    private boolean clockStalled;
    private boolean remembersWrites;
    private long clockStalledAt = Long.MIN_VALUE;
    private long now;
    private long startedAt = Long.MIN_VALUE;
    private long nextTick = Long.MIN_VALUE;
    private long askAt = Long.MAX_VALUE;
    private long askWait = ASK_AGAIN;
    private long forgotten = Long.MIN_VALUE;

    public ReplicaRoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.shared = ProbeScheduler.isShared(settings);
        this.freshness = new Freshness(settings, shared);
        this.slowStart = new SlowStart(settings);
        this.tick = Math.max(2 * settings.tick(), 10 * MS);
        this.remembersWrites = settings.classes().stream().anyMatch(c -> c.need() == Need.SESSION);
        this.patience = settings.classes().stream().mapToLong(RequestClass::deadline).toArray();
        this.classMean = settings.classes().stream().mapToDouble(c -> c.aim() / 4.0).toArray();
        this.sumOfMeans = Arrays.stream(classMean).sum();
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        if (startedAt == Long.MIN_VALUE) {
            start();
        }
        // The router's own pause, told by its late timer, is no slowness of members. Harm: one batch unread.
        clockStalled = now > nextTick + STANDSTILL;
        clockStalledAt = clockStalled ? now : clockStalledAt;
        events.forEach(this::onEvent);
        if (now >= nextTick) {
            touched.addAll(holding);
            onTick();
            nextTick = now + tick;
            actions.add(new SetTimer(nextTick, 0));
        }
        touched.stream().filter(holding::remove).forEach(this::resume);
        touched.clear();
        List.copyOf(pending).forEach(this::route);
        pending.clear();
        return actions;
    }

    private void start() {
        startedAt = nextTick = now;
        askAt = settings.askForList() ? now : Long.MAX_VALUE;
        probes = new ProbeScheduler(settings, random, freshness, action -> actions.add(action), now);
    }

    private void onEvent(Event event) {
        if (event instanceof MemberList list) {
            onMemberList(list);
        } else if (event instanceof Arrival arrival) {
            onArrival(arrival);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof ProbeResult echo && members.containsKey(echo.member())) {
            onProbeResult(echo);
        } else if (event instanceof PeerMessage message && shared) {
            onGossip(GossipMessage.decode(message.content()));
        } else if (event instanceof AnswerBegun begun && requests.containsKey(begun.request())) {
            requests.get(begun.request()).begun = true;
        } else if (event instanceof Lapsed lapsed && requests.containsKey(lapsed.request())) {
            close(requests.get(lapsed.request()));
        }
    }

    private void onArrival(Arrival arrival) {
        if (arrival.requestClass() < 0 || arrival.requestClass() >= settings.classes().size()) {
            actions.add(new Refuse(arrival.request(), 0)); // of no class that the settings name: nothing ran
            return;
        }
        Request request = request(arrival);
        request.group.onRequest(now);
        requests.put(request.id(), request);
        deadlines.put(request, request.lastSend);
        pending.add(request);
        probes.onRequest(request, members.size(), now);
    }

    private Request request(Arrival arrival) {
        int index = arrival.requestClass();
        RequestClass kind = settings.classes().get(index);
        long end = Math.max(now, now + arrival.timeLeft() - 2 * tick);
        // A retry with another time left than first tries has the rest of the whole deadline: that tells
        // when its client first asked. Past its aim worthless work is not begun; what runs may answer.
        patience[index] = arrival.retry() ? patience[index] : arrival.timeLeft();
        boolean told = arrival.retry() && Math.abs(arrival.timeLeft() - patience[index]) > tick;
        long at = now - (told ? Math.max(0, kind.deadline() - arrival.timeLeft()) : 0);
        long lastSend = kind.lateWorth() > 0 ? end : Math.min(end, at + kind.aim() - tick);
        long needed = kind.need() == Need.FRESH ? now : arrival.sinceWrite() != NONE
            ? now - arrival.sinceWrite() : lastWrites.getOrDefault(arrival.session(), forgotten);
        return new Request(arrival, kind, group(arrival.group()), at, end, lastSend, needed);
    }

    private Group group(long id) {
        return groups.computeIfAbsent(id, number -> new Group());
    }

    /** Follows the list: a drain binds at once, and so does absence unless only a drain is to bind. */
    private void onMemberList(MemberList list) {
        if (list.kind() == ListKind.FAILED) {
            askAt = now + askWait + random.nextLong(askWait);
            askWait = Math.min(2 * askWait, settings.rules().askWithin() / 2);
            return;
        }
        askWait = ASK_AGAIN;
        askAt = list.kind() == ListKind.REMEMBERED ? askAt : Long.MAX_VALUE;
        boolean lenient = settings.rules().drainBindsAlone();
        if (list.kind() != ListKind.CHANGES) {
            Set<String> listed = list.listings().stream().map(Listing::member).collect(Collectors.toSet());
            members.values().stream().filter(m -> !listed.contains(m.id) && !lenient).forEach(m -> {
                m.phase = Phase.GONE;
                onMemberListed(m);
            });
        }
        for (Listing line : list.listings()) {
            Member member = members.computeIfAbsent(line.member(),
                id -> new Member(id, group(line.group()), FIRST_STRAIN, FIRST_WINDOW / settings.routers()));
            slowStart.discount(member, now);
            member.zone = line.zone();
            member.kind = kinds.computeIfAbsent(line.kind(), id -> new MachineKind(FIRST_STRAIN));
            if (line.born() > member.born) {
                member.born = line.born();
                member.down = false;
                member.suspectSince = NONE;
                member.window = COLD_WINDOW / settings.routers();
            }
            member.phase = line.phase() == Phase.GONE && lenient ? member.phase : line.phase();
            onMemberListed(member);
            if (line.primary()) {
                boolean late = settings.data().listedRole() == ListedRole.LATE;
                updateRole(member, Role.PRIMARY, late ? now - SlowStart.LIST_AGE : Long.MIN_VALUE + 1);
            }
        }
    }

    /** What follows a line of the list, or a line that is missing there. */
    private void onMemberListed(Member member) {
        touched.add(member.group);
        slowStart.recount(member, now);
        if (member.phase == Phase.SERVING) {
            probes.onServing(member, members.size(), now);
        } else if (member.phase == Phase.GONE) {
            leaving.add(member);
        }
    }

    /** Newest evidence wins: reports and lists speak of the past, answers of the present. */
    private void updateRole(Member member, Role role, long at) {
        if (role == Role.UNKNOWN || at < member.roleAt) {
            return;
        }
        member.role = role;
        member.roleAt = at;
        Group group = member.group;
        touched.add(group);
        if (at >= group.primaryAt && (role == Role.PRIMARY || group.primary == member)) {
            group.primary = role == Role.PRIMARY ? member : null;
            group.searches = 0;
            group.primaryAt = at;
        }
    }

    private void updatePosition(Member member, long position, long at) {
        member.position = Math.max(member.position, position);
        member.positionAt = position == NONE ? member.positionAt : Math.max(member.positionAt, at);
    }

    private void onProbeResult(ProbeResult echo) {
        Member member = members.get(echo.member());
        member.probing = false;
        if (echo.result() != Result.OK) {
            if (echo.result() != Result.REJECTED) {
                probes.onFailed(member, now);
                markUnreachable(member, echo.result() == Result.NOT_CONNECTED);
            }
            return;
        }
        if (member.refused && now >= member.downAt + RESTART) {
            member.window = COLD_WINDOW / settings.routers();
            member.returnedAt = now;
        }
        boolean returned = member.down;
        member.down = member.refused = false;
        if (returned) {
            slowStart.recount(member, now);
        }
        touched.add(member.group);
        member.ping += (echo.elapsed() - member.ping) / (member.ping == 0 ? 1 : ProbeScheduler.PINGS);
        probes.onAnswered(member, now);
        if (echo.report() != null) {
            long position = echo.report().position();
            updatePosition(member, position, now);
            Role role = echo.report().role();
            boolean knownPrimary = member.group.primary == member;
            updateRole(member, role, position == NONE ? now - echo.elapsed() : position);
            boolean changed = knownPrimary != (member.group.primary == member);
            if (probes.handsOn(member, changed, now)) {
                news.add(new GossipMessage.Finding(member.id, role, now, position, (long) member.ping));
            }
        }
    }

    /**
     * Guards against the sum of all routers' probes: what one finds it hands on, and the others put off their
     * own. Only good news counts, and lifts no exclusion: a router that is cut off finds everyone gone.
     * Harm: what a router alone cannot reach it learns by its requests, or up to a period later.
     */
    private void onGossip(GossipMessage told) {
        for (GossipMessage.Finding found : told.findings()) {
            Member member = members.get(found.member());
            if (member == null || found.at() > now || found.position() > found.at()) {
                continue;
            }
            updateRole(member, found.role(), found.position() == NONE ? found.at() : found.position());
            updatePosition(member, found.position(), found.at());
            member.ping = told.zone() == settings.zone() && found.ping() > 0 ? found.ping() : member.ping;
            probes.onNews(member, members.size(), now);
        }
    }

    private void onOutcome(Outcome outcome) {
        Request request = requests.get(outcome.request());
        Attempt attempt = request == null || outcome.attempt() >= request.attempts.size() ? null
            : request.attempts.set(outcome.attempt(), null);
        if (attempt == null) {
            return;
        }
        request.out = null;
        Member member = attempt.member();
        member.open.remove(attempt);
        if (member.open.isEmpty()) {
            busy.remove(member);
        }
        touched.add(member.group);
        updateHealth(member, attempt, outcome);
        updateRole(member, outcome.role(), now);
        updatePosition(member, outcome.position(), now);
        if (outcome.result() == Result.OK && request.kind.need() == Need.WRITE && remembersWrites) {
            lastWrites.merge(request.arrival.session(), outcome.position(), Math::max);
            // What is forgotten counts as everybody's: reads get fresher data than they need, never older.
            if (lastWrites.size() > MOST_SESSIONS) {
                forgotten = Math.max(forgotten, lastWrites.remove(lastWrites.keySet().iterator().next()));
            }
        }
        if (request.over || outcome.complete()) {
            close(request);
        } else {
            follow(request, attempt, outcome);
        }
    }

    /** Health from answers: how much of its aim an answer took. */
    private void updateHealth(Member member, Attempt attempt, Outcome outcome) {
        int index = attempt.request().classIndex();
        // One lost answer is no queue: no sample counts for more than a missed aim.
        double strain = Math.min(1, outcome.elapsed() / (double) attempt.request().kind.aim());
        boolean answered = SAID.contains(outcome.result());
        member.answeredAt = answered ? now : member.answeredAt;
        member.suspectSince = answered ? NONE : member.suspectSince;
        if (clockStalled && outcome.result() != Result.NOT_CONNECTED) {
            return;
        }
        switch (outcome.result()) {
            case OK -> {
                double step = CLASS_WEIGHT * (outcome.elapsed() - classMean[index]);
                classMean[index] += step;
                sumOfMeans += step;
                sample(member, strain);
                slowStart.onServed(member, work(attempt.request()) * SECOND / MachineKind.RATE_TIME, now);
                if (strain(member) > STRAIN_AIM) {
                    decreaseConcurrencyLimit(member);
                } else if (member.open.size() + 1 >= member.window / 2) {
                    member.window += STEP_UP / settings.routers() / Math.max(1, member.window);
                }
            }
            case REJECTED -> decreaseConcurrencyLimit(member);
            case TIMED_OUT, CANCELLED -> {
                // Where others were answered meanwhile, in time, a long wait is a lost answer and no load.
                if (!late(attempt) || answeredAt(member) <= attempt.sentAt() || strain(member) >= STRAIN_AIM) {
                    sample(member, Math.max(strain, strain(member)));
                    decreaseConcurrencyLimit(member);
                }
            }
            case NOT_CONNECTED -> markUnreachable(member, true);
            case RESET -> probes.urgent(member, now); // one broken connection is no dead member: a probe tells
            default -> { }
        }
    }

    /** When the member last answered, as far as this router was able to hear it. */
    private long answeredAt(Member member) {
        return Math.max(member.answeredAt, clockStalledAt);
    }

    /** Guards against broken links: one failure beside answers only asks a probe. Harm: a try at the dead. */
    private void markUnreachable(Member member, boolean refused) {
        boolean once = member.failedAt < answeredAt(member) && now < answeredAt(member) + RESTART;
        member.failedAt = now;
        member.downAt = member.down ? member.downAt : now;
        member.refused |= refused && !once;
        member.down |= !once;
        slowStart.recount(member, now);
        probes.urgent(member, now);
    }

    private void sample(Member member, double strain) {
        member.strain = strain(member) + MEMBER_WEIGHT * (strain - strain(member));
        member.kind.strain += CLASS_WEIGHT * (strain - member.kind.strain);
        member.sampledAt = now;
    }

    /** How much of their aims a member's answers take; without samples this fades to what its kind's do. */
    private double strain(Member member) {
        double usual = member.kind.strain;
        return usual + (member.strain - usual) * Math.exp((member.sampledAt - now) / FADE);
    }

    private void decreaseConcurrencyLimit(Member member) {
        if (now >= member.stepDue) {
            member.stepDue = now + STEP_GAP;
            member.window = Math.max(LEAST_WINDOW / settings.routers(), member.window * STEP_DOWN);
        }
    }

    private void route(Request request) {
        if (request.over || request.out != null) {
            return;
        }
        Member member = request.kind.need() == Need.WRITE ? pickForWrite(request) : pickForRead(request);
        boolean sent = member != null && send(request, member);
        if (!sent && worthHolding(request)) {
            request.group.held.add(request);
            holding.add(request.group);
        } else if (!sent) {
            end(request);
        }
    }

    private List<Member> candidates(Request request, Predicate<Member> test) {
        return new ArrayList<>(request.group.members.stream()
            .filter(m -> !request.tried.contains(m) && test.test(m) && permitted(request, m)).toList());
    }

    private Member pickForWrite(Request request) {
        Group group = request.group;
        Member known = group.primary;
        if (known != null) {
            return healthy(known) && room(request, known, 1) && permitted(request, known) ? known : null;
        }
        // Only an answer can tell who is primary: now and then a held write asks, to be turned away if wrong.
        if (settings.data().probesTellRole() && settings.limits().probes() || now < group.askDue
                || request.attempts.size() + 1 >= settings.limits().maxAttempts()) {
            return null;
        }
        group.askDue = now + ProbeScheduler.URGENT_GAP;
        return candidates(request, m -> healthy(m) && room(request, m, 1)).stream()
            .min(Comparator.comparingLong(m -> m.sentAt)).orElse(null);
    }

    private Member pickForRead(Request request) {
        Group group = request.group;
        if (now - startedAt < FRESH_HOLD * (request.lastSend - request.at)
                && group.members.stream().allMatch(m -> m.ping == 0)) {
            return null; // a fresh router waits for its first probes
        }
        List<Member> replicas = candidates(request,
            m -> m != group.primary && healthy(m) && room(request, m, 1) && freshness.isEligible(request, m, now));
        if (!replicas.isEmpty()) {
            return drawNearFastest(request, replicas);
        }
        if (freshness.isProvenByProbe(request) && awaitsPosition(request)) {
            return null;
        }
        // Then the primary; where nobody looks well, doubt the judgement rather than the members.
        boolean doubt = group.members.stream().noneMatch(this::healthy);
        return candidates(request, doubt ? m -> freshness.isEligible(request, m, now) && now >= m.trialAt + TRIAL_GAP
            : m -> m == group.primary && healthy(m) && room(request, m, PRIMARY_FOR_READS))
            .stream().findFirst().orElse(null);
    }

    /**
     * Whether a replica has been asked for its position, on behalf of this read or another, and may still tell it in time:
     * many routers cannot know all positions all the time, and without them all reads would crowd the primaries.
     */
    private boolean awaitsPosition(Request request) {
        if (!worthHolding(request)) {
            return false;
        }
        if (request.asked == null) {
            List<Member> replicas = new ArrayList<>(request.group.members.stream()
                .filter(m -> m != request.group.primary && !request.tried.contains(m) && healthy(m) && room(request, m, 1))
                .toList());
            if (replicas.isEmpty()) {
                return false;
            }
            request.asked = replicas.stream().filter(m -> m.probing).findFirst()
                .orElseGet(() -> drawNearFastest(request, replicas));
            probes.askPosition(request.asked, now);
        }
        return request.asked.probing;
    }

    /** The design's draw, without members that are clearly more crowded than the best. */
    private Member drawNearFastest(Request request, List<Member> replicas) {
        double margin = PING_MARGIN * classMean[request.classIndex()];
        double fastest = replicas.stream().mapToDouble(m -> m.ping).filter(p -> p > 0).min().orElse(0);
        replicas.removeIf(m -> m.ping > fastest + margin);
        double least = replicas.stream().mapToDouble(this::delay).min().orElse(0);
        replicas.removeIf(m -> delay(m) > CROWDED * least);
        if (request.group.isAskedLessOftenThan(ProbeScheduler.PERIOD)) {
            // Reads this far apart crowd nobody, and each new connection costs its member work and the read time.
            List<Member> connected = replicas.stream().filter(m -> m.contactedAt() > now - CONNECTION_KEPT).toList();
            replicas = connected.isEmpty() ? replicas : connected;
        }
        return replicas.get(random.nextInt(replicas.size()));
    }

    /** Relative delay to be expected of a member; none beats its kind: a few quick answers may be luck. */
    private double delay(Member member) {
        return Math.max(member.kind.strain, strain(member)) * (member.open.size() + 1);
    }

    /**
     * Guards against overload, of one member or of all, known only by its answers: no more own attempts are
     * out than leave answers well inside their aims. A window below one, where many routers share a member,
     * spaces sends, the less the further the member and its kind are from their strain: thin traffic comes in
     * clumps. Harm: a burst waits for idle members' windows to widen, or meets all routers' first at once.
     */
    private boolean room(Request request, Member member, double part) {
        double window = member.window * part;
        double usual = strain(member) * request.kind.aim();
        boolean slow = strain(member) >= STRAIN_AIM; // else what is out for long is lost: it holds no place
        long out = member.open.stream().filter(a -> slow || !late(a)).count();
        double load = Math.min(1, Math.max(member.kind.strain, strain(member)) / STRAIN_AIM);
        double gap = Math.pow(load, SPACING) * usual / window;
        return out == 0 ? window >= 1 || now - member.sentAt >= gap : out < window;
    }

    private boolean healthy(Member member) {
        boolean trial = member.open.stream().allMatch(this::late) && now >= member.trialAt + TRIAL_GAP;
        return member.isUsable() && (member.suspectSince == NONE || trial);
    }

    /** Out for so long that it stands in no trial's way and, beside later answers, tells of no silence. */
    private boolean late(Attempt a) {
        return now >= a.sentAt() + LOST * a.request().kind.aim();
    }

    // ---- The gate: every send passes here

    private boolean permitted(Request request, Member member) {
        boolean open = !request.over && request.out == null && !request.begun && now < request.lastSend
            && request.attempts.size() < settings.limits().maxAttempts();
        boolean listed = member.group == request.group && member.phase == Phase.SERVING;
        boolean proven = settings.data().behind() != Behind.ANSWERS || freshness.isEligible(request, member, now);
        return open && listed && proven && (request.mayHaveRun == null || repeatable(request, member))
            && slowStart.isWithinBudget(member, work(request), now);
    }

    private boolean repeatable(Request request, Member member) {
        Attempt first = request.mayHaveRun;
        return switch (request.kind.effect()) {
            case IDEMPOTENT -> true;
            case AT_MOST_ONCE -> false;
            case DEDUPLICATED -> now < first.sentAt() + request.kind.repeatWindow() - tick
                && (request.kind.repeatScope() != RepeatScope.ZONE || member.zone == first.member().zone);
        };
    }

    private double work(Request request) {
        return classMean[request.classIndex()] * classMean.length / sumOfMeans;
    }

    private boolean send(Request request, Member member) {
        if (!permitted(request, member)) {
            return false;
        }
        Attempt attempt = new Attempt(request, request.attempts.size(), member, now);
        request.attempts.add(attempt);
        request.tried.add(member);
        request.out = attempt;
        member.open.add(attempt);
        busy.add(member);
        member.sentAt = now;
        slowStart.onSent(member, work(request), now);
        member.trialAt = member.suspectSince != NONE || member.down ? now : member.trialAt;
        actions.add(new Send(request.id(), member.id, request.end - now));
        return true;
    }

    // ---- What follows an outcome

    private void follow(Request request, Attempt attempt, Outcome outcome) {
        switch (outcome.result()) {
            case NOT_CONNECTED, REJECTED -> pending.add(request);
            case MISSED -> {
                if (request.kind.need() == Need.WRITE) {
                    updateRole(attempt.member(), Role.REPLICA, now);
                    request.group.members.forEach(m -> probes.urgent(m, now));
                    request.tried.remove(attempt.member());
                } else {
                    attempt.member().positionAt = Long.MIN_VALUE; // lags more than was thought
                    attempt.member().missedAt = now;
                    probes.urgent(attempt.member(), now);
                }
                pending.add(request);
            }
            case ERROR, TIMED_OUT, RESET, CANCELLED -> {
                request.mayHaveRun = request.mayHaveRun == null ? attempt : request.mayHaveRun;
                pending.add(request); // what may not be repeated finds no way through the gate, and ends
            }
            case OK, NEVER_SENT -> end(request);
        }
    }

    // ---- Holding and ending

    /**
     * Holds are bounded: writes as long as they have worth, reads over a short burst only: a client that is
     * refused soon can ask again in time.
     */
    private boolean worthHolding(Request request) {
        long until = request.kind.need() != Need.WRITE ? request.at + (long) (HOLD_PART * request.kind.aim())
            : request.lastSend - (long) classMean[request.classIndex()];
        return now < until && request.attempts.size() < settings.limits().maxAttempts()
            && (request.mayHaveRun == null || request.kind.effect() == Effect.IDEMPOTENT);
    }

    /** Held requests that are still in time go first, the newest of them first: they have the best chance. */
    private void resume(Group group) {
        if (group.held.stream().anyMatch(freshness::needsPrimary)) {
            probes.searchPrimary(group, now);
        }
        group.held.removeIf(r -> r.over);
        group.held.sort(Comparator.comparing((Request r) -> now > r.at + r.kind.aim())
            .thenComparing(r -> -r.at));
        pending.addAll(group.held);
        group.held.clear();
    }

    /** The one place that ends a request: refuses where nothing can have run, else fails. */
    private void end(Request request) {
        boolean harmless = request.kind.effect() == Effect.IDEMPOTENT
            || request.mayHaveRun == null && request.out == null
            || request.kind.effect() == Effect.DEDUPLICATED && request.kind.repeatScope() == RepeatScope.ALL;
        long id = request.id();
        // Come back soon while that can be in time; later than that, asking again is only load.
        long soon = now < request.at + request.kind.aim() / 2 ? (long) (HOLD_PART * request.kind.aim())
            : settings.limits().maxRetryAfter();
        actions.add(!harmless ? new Fail(id) : new Refuse(id, settings.limits().retryAfter() ? soon : 0));
        recall(request);
        close(request);
    }

    private void recall(Request request) {
        if (settings.limits().cancel() && request.out != null && !request.begun) {
            actions.add(new Cancel(request.id(), request.out.number()));
        }
    }

    private void close(Request request) {
        request.over = true;
        deadlines.remove(request);
        if (request.out == null) {
            requests.remove(request.id());
        }
    }

    private void onTick() {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            actions.add(new Subscribe());
        }
        endOverdue();
        List.copyOf(leaving).forEach(this::forgetIfGone);
        List.copyOf(busy).stream().filter(m -> m.phase == Phase.SERVING).forEach(this::watchSilence);
        slowStart.tick(now);
        probes.tick(members.size(), now);
        GossipMessage.encode(settings.zone(), news).forEach(datagram -> actions.add(new Tell(NONE, datagram)));
        news.clear();
    }

    /** Ends requests that have nothing out when no attempt may begin any more, others at their end. */
    private void endOverdue() {
        for (Request request = deadlines.poll(now); request != null; request = deadlines.poll(now)) {
            if (request.over || request.begun) {
                continue;
            }
            if (request.out == null || now >= request.end) {
                end(request);
            } else {
                deadlines.put(request, request.end);
            }
        }
    }

    /** Routers run for weeks, ids are new: what is gone is forgotten. Harm: one listed again is unknown. */
    private void forgetIfGone(Member member) {
        if (member.phase != Phase.GONE) {
            leaving.remove(member);
        } else if (member.open.isEmpty() && !member.probing) {
            leaving.remove(member);
            probes.forget(member);
            slowStart.forget(member, now);
            member.group.members.remove(members.remove(member.id));
            actions.add(new Forget(member.id));
        }
    }

    /**
     * Guards against members that take work and answer nothing, whatever the cause: attempts that may be
     * repeated are taken back and go elsewhere. Harm: a long pause of a sound member costs the work it held.
     */
    private void watchSilence(Member member) {
        double missing = 0;
        for (Attempt attempt : member.open) {
            long silent = now - Math.max(attempt.sentAt(), answeredAt(member));
            missing += late(attempt) && answeredAt(member) > attempt.sentAt() ? 0
                : silent / (attempt.request().kind.aim() * strain(member));
        }
        if (missing < SILENCE) {
            return;
        }
        if (member.suspectSince == NONE) {
            member.suspectSince = member.trialAt = now;
            probes.urgent(member, now);
        }
        long silentOnes = member.group.members.stream().filter(m -> m.suspectSince != NONE).count();
        if (2 * silentOnes <= member.group.members.size()) {
            member.open.stream().map(Attempt::request)
                .filter(r -> r.kind.effect() == Effect.IDEMPOTENT && !r.over).forEach(this::recall);
        }
    }
}
