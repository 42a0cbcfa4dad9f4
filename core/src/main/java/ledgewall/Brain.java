package ledgewall;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
public final class Brain implements RoutingPolicy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** The post's period and number of pings. */
    private static final long PROBE_PERIOD = 5 * SECOND;
    private static final int PINGS = 3;
    /** Ping differences below this part of a read's usual time are not felt by its client. */
    private static final double PING_MARGIN = 0.125;
    /** A member whose expected delay is over this multiple of the best's is crowded or slow, not unlucky. */
    private static final double CROWDED = 1.5;
    /** Part of a bound from which a lag is near it, probed anew, and below which it is taken to hold on. */
    private static final double NEAR_BOUND = 0.33;
    /** A handful of routers probe each for themselves, as in the post; more share the probes of one. */
    private static final int HANDFUL = 4;
    /** Gap between urgent probes of one member: some a second, few against its reads. */
    private static final long URGENT_GAP = 250 * MS;
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
    /** A listed role is taken for evidence this old: about as late as lists are. */
    private static final long LIST_AGE = 5 * SECOND;
    /** Part of a cold member's budget that is spent (the rest is for chance); the time of served rates. */
    private static final double BUDGET_PART = 0.7;
    private static final double RATE_TIME = 4 * SECOND;
    /** Sends in a window that a cold member gets of all routers even when nothing is known of its size. */
    private static final double LEAST_BUDGET = 6;
    /** The golden section: turns that follow it are spread evenly over routers and over time. */
    private static final double TURN = 0.618034;
    /** Sessions whose last write is remembered: some megabytes at most. */
    private static final int MOST_SESSIONS = 20_000;
    /** First wait before asking for the list again after a failure; the rule gives the longest. */
    private static final long ASK_AGAIN = SECOND;
    /** Outcomes that only a member that answers can bring. */
    private static final List<Result> SAID = List.of(Result.OK, Result.MISSED, Result.REJECTED, Result.ERROR);

    /** What is known of one member: listing, newest evidence, health, own attempts. */
    private final class Member {
        final String id;
        final Group group;
        int zone;
        Kind kind;
        Phase phase;
        long born, downAt, failedAt = Long.MIN_VALUE, returnedAt = Long.MIN_VALUE / 2;
        Role role = Role.UNKNOWN;
        long roleAt = Long.MIN_VALUE, position = Long.MIN_VALUE / 2, positionAt = Long.MIN_VALUE / 2;
        boolean probing, down, refused;
        double ping;
        int pingsLeft;
        long probedAt = Long.MIN_VALUE / 2, urgentDue = Long.MIN_VALUE;
        long roundDue = shared ? now + random.nextLong(PROBE_PERIOD) : now;
        long suspectSince = NONE, trialAt = Long.MIN_VALUE, stepDue = Long.MIN_VALUE;
        long answeredAt = Long.MIN_VALUE, sampledAt = Long.MIN_VALUE / 2, sentAt = Long.MIN_VALUE / 2;
        double strain = FIRST_STRAIN, servedRate, window;
        final List<Attempt> open = new ArrayList<>();
        final List<Spent> spent = new ArrayList<>();

        Member(String id, Group group) {
            this.id = id;
            this.group = group;
            window = FIRST_WINDOW / settings.routers();
            group.members.add(this);
        }
    }

    private record Spent(long at, double work) { }

    /** What members of one kind of machine have in common. */
    private static final class Kind {
        double strain = FIRST_STRAIN, peakRate;
    }

    private static final class Group {
        final List<Member> members = new ArrayList<>();
        final List<Request> held = new ArrayList<>();
        Member primary;
        long primaryAt = Long.MIN_VALUE, askDue = Long.MIN_VALUE, askedAt = Long.MIN_VALUE;
    }

    /** A request until its last attempt is accounted for. */
    private final class Request {
        final Arrival arrival;
        final RequestClass kind;
        final Group group;
        final long at, end, lastSend, needed;
        final List<Member> tried = new ArrayList<>();
        final List<Attempt> attempts = new ArrayList<>();
        Attempt out, mayHaveRun;
        boolean begun, over;

        Request(Arrival arrival) {
            this.arrival = arrival;
            int index = arrival.requestClass();
            kind = settings.classes().get(index);
            group = groups.computeIfAbsent(arrival.group(), id -> new Group());
            end = Math.max(now, now + arrival.timeLeft() - 2 * beat);
            // A retry with another time left than first tries has the rest of the whole deadline: that tells
            // when its client first asked. Past its aim worthless work is not begun; what runs may answer.
            patience[index] = arrival.retry() ? patience[index] : arrival.timeLeft();
            boolean told = arrival.retry() && Math.abs(arrival.timeLeft() - patience[index]) > beat;
            at = now - (told ? Math.max(0, kind.deadline() - arrival.timeLeft()) : 0);
            lastSend = kind.lateWorth() > 0 ? end : Math.min(end, at + kind.aim() - beat);
            needed = kind.need() == Need.FRESH ? now : arrival.sinceWrite() != NONE
                ? now - arrival.sinceWrite() : lastWrites.getOrDefault(arrival.session(), forgotten);
        }
    }

    private record Attempt(Request request, int number, Member member, long sentAt) { }

    private final Settings settings;
    private final SplittableRandom random;
    private final long beat, tightestBound;
    private final double[] classMean;
    private final long[] patience;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<Long, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Map<Integer, Kind> kinds = new HashMap<>();
    private final Map<Long, Long> lastWrites = new LinkedHashMap<>();
    private final List<Request> pending = new ArrayList<>();
    private final boolean shared;
    private final List<PeerNews.Finding> news = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    private boolean stood, remembersWrites;
    private long now, startedAt = Long.MIN_VALUE, nextBeat = Long.MIN_VALUE;
    private long askAt = Long.MAX_VALUE, askWait = ASK_AGAIN, forgotten = Long.MIN_VALUE;

    public Brain(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.shared = settings.limits().peers() && settings.routers() > HANDFUL;
        this.beat = Math.max(2 * settings.tick(), 10 * MS);
        this.remembersWrites = settings.classes().stream().anyMatch(c -> c.need() == Need.SESSION);
        this.tightestBound = settings.classes().stream().filter(c -> c.need() == Need.BOUNDED)
            .mapToLong(RequestClass::stalenessBound).min().orElse(Long.MAX_VALUE);
        this.patience = settings.classes().stream().mapToLong(RequestClass::deadline).toArray();
        this.classMean = settings.classes().stream().mapToDouble(c -> c.aim() / 4.0).toArray();
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        if (startedAt == Long.MIN_VALUE) {
            startedAt = nextBeat = now;
            askAt = settings.askForList() ? now : Long.MAX_VALUE;
        }
        // The router's own pause, told by its late timer, is no slowness of members. Harm: one batch unread.
        stood = now > nextBeat + STANDSTILL;
        members.values().stream().filter(m -> stood).forEach(m -> m.answeredAt = now);
        events.forEach(this::learn);
        if (now >= nextBeat) {
            beat();
            nextBeat = now + beat;
            actions.add(new SetTimer(nextBeat, 0));
        }
        groups.values().forEach(this::resume);
        List.copyOf(pending).forEach(this::route);
        pending.clear();
        return actions;
    }

    private void learn(Event event) {
        if (event instanceof MemberList list) {
            learnList(list);
        } else if (event instanceof Arrival arrival) {
            accept(arrival);
        } else if (event instanceof Outcome outcome) {
            learnOutcome(outcome);
        } else if (event instanceof ProbeResult echo && members.containsKey(echo.member())) {
            learnProbe(echo);
        } else if (event instanceof PeerMessage message && shared) {
            learnNews(PeerNews.decode(message.content()));
        } else if (event instanceof AnswerBegun begun && requests.containsKey(begun.request())) {
            requests.get(begun.request()).begun = true;
        } else if (event instanceof Lapsed lapsed && requests.containsKey(lapsed.request())) {
            close(requests.get(lapsed.request()));
        }
    }

    private void accept(Arrival arrival) {
        if (arrival.requestClass() < 0 || arrival.requestClass() >= settings.classes().size()) {
            actions.add(new Refuse(arrival.request(), 0)); // of no class that the settings name: nothing ran
            return;
        }
        Request request = new Request(arrival);
        request.group.askedAt = now;
        requests.put(arrival.request(), request);
        pending.add(request);
    }

    /** Follows the list: a drain binds at once, and so does absence unless only a drain is to bind. */
    private void learnList(MemberList list) {
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
            members.values().stream().filter(m -> !listed.contains(m.id) && !lenient)
                .forEach(m -> m.phase = Phase.GONE);
        }
        for (Listing line : list.listings()) {
            Member member = members.computeIfAbsent(line.member(),
                id -> new Member(id, groups.computeIfAbsent(line.group(), number -> new Group())));
            member.zone = line.zone();
            member.kind = kinds.computeIfAbsent(line.kind(), id -> new Kind());
            if (line.born() > member.born) {
                member.born = line.born();
                member.down = false;
                member.suspectSince = NONE;
                member.window = COLD_WINDOW / settings.routers();
            }
            member.phase = line.phase() == Phase.GONE && lenient ? member.phase : line.phase();
            if (line.primary()) {
                boolean late = settings.data().listedRole() == ListedRole.LATE;
                learnRole(member, Role.PRIMARY, late ? now - LIST_AGE : Long.MIN_VALUE + 1);
            }
        }
    }

    /** Newest evidence wins: reports and lists speak of the past, answers of the present. */
    private void learnRole(Member member, Role role, long at) {
        if (role == Role.UNKNOWN || at < member.roleAt) {
            return;
        }
        member.role = role;
        member.roleAt = at;
        Group group = member.group;
        if (at >= group.primaryAt && (role == Role.PRIMARY || group.primary == member)) {
            group.primary = role == Role.PRIMARY ? member : null;
            group.primaryAt = at;
        }
    }

    private void learnPosition(Member member, long position, long at) {
        member.position = Math.max(member.position, position);
        member.positionAt = position == NONE ? member.positionAt : Math.max(member.positionAt, at);
    }

    private void learnProbe(ProbeResult echo) {
        Member member = members.get(echo.member());
        member.probing = false;
        if (echo.result() != Result.OK) {
            if (echo.result() != Result.REJECTED) {
                lose(member, echo.result() == Result.NOT_CONNECTED);
            }
            return;
        }
        if (member.refused && now >= member.downAt + RESTART) {
            member.window = COLD_WINDOW / settings.routers();
            member.returnedAt = now;
        }
        member.down = member.refused = false;
        member.ping += (echo.elapsed() - member.ping) / (member.ping == 0 ? 1 : PINGS);
        if (--member.pingsLeft > 0) {
            probe(member);
        }
        if (echo.report() != null) {
            long position = echo.report().position();
            learnPosition(member, position, now);
            Role role = echo.report().role();
            learnRole(member, role, position == NONE ? now - echo.elapsed() : position);
            if (shared && member.pingsLeft <= 0) {
                news.add(new PeerNews.Finding(member.id, role, now, position, (long) member.ping));
            }
        }
    }

    /**
     * Guards against the sum of all routers' probes: what one finds it hands on, and the others put off their
     * own. Only good news counts, and lifts no exclusion: a router that is cut off finds everyone gone.
     * Harm: what a router alone cannot reach it learns by its requests, or up to a period later.
     */
    private void learnNews(PeerNews told) {
        for (PeerNews.Finding found : told.findings()) {
            Member member = members.get(found.member());
            if (member == null || found.at() > now || found.position() > found.at()) {
                continue;
            }
            learnRole(member, found.role(), found.position() == NONE ? found.at() : found.position());
            learnPosition(member, found.position(), found.at());
            member.ping = told.zone() == settings.zone() && found.ping() > 0 ? found.ping() : member.ping;
            member.roundDue = nextRound();
            member.urgentDue = member.down ? now : nextUrgent();
        }
    }

    private long nextRound() {
        return now + PROBE_PERIOD + (shared ? random.nextLong(PROBE_PERIOD) : 0);
    }

    /** Each router's gap is its own, so that of many one asks soon and the others hear of it. */
    private long nextUrgent() {
        return now + URGENT_GAP + (shared ? random.nextLong(PROBE_PERIOD - URGENT_GAP) : 0);
    }

    private void learnOutcome(Outcome outcome) {
        Request request = requests.get(outcome.request());
        Attempt attempt = request == null || outcome.attempt() >= request.attempts.size() ? null
            : request.attempts.set(outcome.attempt(), null);
        if (attempt == null) {
            return;
        }
        request.out = null;
        Member member = attempt.member();
        member.open.remove(attempt);
        learnHealth(member, attempt, outcome);
        learnRole(member, outcome.role(), now);
        learnPosition(member, outcome.position(), now);
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
    private void learnHealth(Member member, Attempt attempt, Outcome outcome) {
        int index = attempt.request().arrival.requestClass();
        // One lost answer is no queue: no sample counts for more than a missed aim.
        double strain = Math.min(1, outcome.elapsed() / (double) attempt.request().kind.aim());
        boolean answered = SAID.contains(outcome.result());
        member.answeredAt = answered ? now : member.answeredAt;
        member.suspectSince = answered ? NONE : member.suspectSince;
        if (stood && outcome.result() != Result.NOT_CONNECTED) {
            return;
        }
        switch (outcome.result()) {
            case OK -> {
                classMean[index] += CLASS_WEIGHT * (outcome.elapsed() - classMean[index]);
                sample(member, strain);
                member.servedRate += work(attempt.request()) * SECOND / RATE_TIME;
                if (strain(member) > STRAIN_AIM) {
                    narrow(member);
                } else if (member.open.size() + 1 >= member.window / 2) {
                    member.window += STEP_UP / settings.routers() / Math.max(1, member.window);
                }
            }
            case REJECTED -> narrow(member);
            case TIMED_OUT, CANCELLED -> {
                // Where others were answered meanwhile, in time, a long wait is a lost answer and no load.
                if (!late(attempt) || member.answeredAt <= attempt.sentAt() || strain(member) >= STRAIN_AIM) {
                    sample(member, Math.max(strain, strain(member)));
                    narrow(member);
                }
            }
            case NOT_CONNECTED -> lose(member, true);
            case RESET -> urgent(member); // one broken connection is no dead member: a probe tells
            default -> { }
        }
    }

    /** Guards against broken links: one failure beside answers only asks a probe. Harm: a try at the dead. */
    private void lose(Member member, boolean refused) {
        boolean once = member.failedAt < member.answeredAt && now < member.answeredAt + RESTART;
        member.failedAt = now;
        member.downAt = member.down ? member.downAt : now;
        member.refused |= refused && !once;
        member.down |= !once;
        urgent(member);
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

    private void narrow(Member member) {
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
        group.askDue = now + URGENT_GAP;
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
            m -> m != group.primary && healthy(m) && room(request, m, 1) && eligible(request, m));
        if (!replicas.isEmpty()) {
            return drawNearFastest(request, replicas);
        }
        // Then the primary; where nobody looks well, doubt the judgement rather than the members.
        boolean doubt = group.members.stream().noneMatch(this::healthy);
        return candidates(request, doubt ? m -> eligible(request, m) && now >= m.trialAt + TRIAL_GAP
            : m -> m == group.primary && healthy(m) && room(request, m, PRIMARY_FOR_READS))
            .stream().findFirst().orElse(null);
    }

    /** The design's draw, without members that are clearly more crowded than the best. */
    private Member drawNearFastest(Request request, List<Member> replicas) {
        double margin = PING_MARGIN * classMean[request.arrival.requestClass()];
        double fastest = replicas.stream().mapToDouble(m -> m.ping).filter(p -> p > 0).min().orElse(0);
        replicas.removeIf(m -> m.ping > fastest + margin);
        double least = replicas.stream().mapToDouble(this::delay).min().orElse(0);
        replicas.removeIf(m -> delay(m) > CROWDED * least);
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

    private boolean usable(Member member) {
        return member.phase == Phase.SERVING && !member.down;
    }

    private boolean healthy(Member member) {
        boolean trial = member.open.stream().allMatch(this::late) && now >= member.trialAt + TRIAL_GAP;
        return usable(member) && (member.suspectSince == NONE || trial);
    }

    /** Out for so long that it stands in no trial's way and, beside later answers, tells of no silence. */
    private boolean late(Attempt a) {
        return now >= a.sentAt() + LOST * a.request().kind.aim();
    }

    /** Whether the member's data is new enough, as far as this router can know. */
    private boolean eligible(Request request, Member member) {
        long bound = request.kind.stalenessBound();
        return member == request.group.primary || switch (request.kind.need()) {
            case ANY, WRITE -> true;
            case FRESH, SESSION -> member.position >= request.needed;
            case BOUNDED -> member.position >= now - bound || lag(member) < NEAR_BOUND * bound;
        };
    }

    /** Where members refuse stale reads themselves, a lag is taken to hold on until the next probe. */
    private long lag(Member member) {
        boolean holds = settings.data().behind() != Behind.ANSWERS
            && member.positionAt > now - (shared ? 2 : 1) * PROBE_PERIOD - URGENT_GAP;
        return (holds ? member.positionAt : now) - member.position;
    }

    // ---- The gate: every send passes here

    private boolean permitted(Request request, Member member) {
        boolean open = !request.over && request.out == null && !request.begun && now < request.lastSend
            && request.attempts.size() < settings.limits().maxAttempts();
        boolean listed = member.group == request.group && member.phase == Phase.SERVING;
        boolean proven = settings.data().behind() != Behind.ANSWERS || eligible(request, member);
        return open && listed && proven && (request.mayHaveRun == null || repeatable(request, member))
            && withinBudget(member, work(request));
    }

    private boolean repeatable(Request request, Member member) {
        Attempt first = request.mayHaveRun;
        return switch (request.kind.effect()) {
            case IDEMPOTENT -> true;
            case AT_MOST_ONCE -> false;
            case DEDUPLICATED -> now < first.sentAt() + request.kind.repeatWindow() - beat
                && (request.kind.repeatScope() != RepeatScope.ZONE || member.zone == first.member().zone);
        };
    }

    private double work(Request request) {
        return classMean[request.arrival.requestClass()] / Arrays.stream(classMean).average().orElse(1);
    }

    /**
     * Cold members: this router's part of what one may take in any window, from the best mean rate at which
     * warm members of that kind have served this router. Such rates, over all routers, add up to what one can
     * do; the best of single members would not, for the few answers of each come in bursts.
     */
    private boolean withinBudget(Member member, double work) {
        Rules rules = settings.rules();
        if (age(member) >= rules.warmAfter()) {
            member.spent.clear();
            return true;
        }
        member.spent.removeIf(spent -> spent.at() <= now - rules.overloadWindow());
        double present = rules.coldShare() + (1 - rules.coldShare()) * age(member) / rules.warmAfter();
        double budget = BUDGET_PART * rules.overloadFactor() * present * rules.overloadWindow() / SECOND
            * member.kind.peakRate;
        // Many routers' shares are parts of a send. Whose turn it is to round up goes by rank and window, so
        // a cold member that all turn to at once (its group's new primary) still meets only its budget.
        double share = Math.max(budget, LEAST_BUDGET / settings.routers());
        double turn = now / rules.overloadWindow() * TURN + settings.rank() / (double) settings.routers();
        return member.spent.stream().mapToDouble(Spent::work).sum() + work <= share + turn % 1 * work;
    }

    /**
     * Time since a member started: as listed or, while lists are late, guessed from its return after refused
     * connections. Harm: a member that was only cut off gets little work for that time.
     */
    private long age(Member member) {
        long back = now - member.returnedAt;
        long listed = member.born == 0 ? Long.MAX_VALUE : now - member.born;
        return Math.max(0, back < LIST_AGE ? Math.min(back, listed) : listed);
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
        member.sentAt = now;
        member.spent.add(new Spent(now, work(request)));
        member.trialAt = member.suspectSince != NONE || member.down ? now : member.trialAt;
        actions.add(new Send(request.arrival.request(), member.id, request.end - now));
        return true;
    }

    // ---- What follows an outcome

    private void follow(Request request, Attempt attempt, Outcome outcome) {
        switch (outcome.result()) {
            case NOT_CONNECTED, REJECTED -> pending.add(request);
            case MISSED -> {
                if (request.kind.need() == Need.WRITE) {
                    learnRole(attempt.member(), Role.REPLICA, now);
                    request.group.members.forEach(this::urgent);
                    request.tried.remove(attempt.member());
                } else {
                    attempt.member().positionAt = Long.MIN_VALUE; // lags more than was thought
                    urgent(attempt.member());
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
            : request.lastSend - (long) classMean[request.arrival.requestClass()];
        return now < until && request.attempts.size() < settings.limits().maxAttempts()
            && (request.mayHaveRun == null || request.kind.effect() == Effect.IDEMPOTENT);
    }

    /** Held requests that are still in time go first, the newest of them first: they have the best chance. */
    private void resume(Group group) {
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
        long id = request.arrival.request();
        // Come back soon while that can be in time; later than that, asking again is only load.
        long soon = now < request.at + request.kind.aim() / 2 ? (long) (HOLD_PART * request.kind.aim())
            : settings.limits().maxRetryAfter();
        actions.add(!harmless ? new Fail(id) : new Refuse(id, settings.limits().retryAfter() ? soon : 0));
        recall(request);
        close(request);
    }

    private void recall(Request request) {
        if (settings.limits().cancel() && request.out != null && !request.begun) {
            actions.add(new Cancel(request.arrival.request(), request.out.number()));
        }
    }

    private void close(Request request) {
        request.over = true;
        if (request.out == null) {
            requests.remove(request.arrival.request());
        }
    }

    private void beat() {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            actions.add(new Subscribe());
        }
        List.copyOf(requests.values()).stream().filter(r -> !r.over && !r.begun)
            .filter(r -> now >= (r.out == null ? r.lastSend : r.end)).forEach(this::end);
        for (Member member : List.copyOf(members.values())) {
            if (member.phase == Phase.GONE && member.open.isEmpty() && !member.probing) {
                forget(member);
            } else if (member.phase == Phase.SERVING) {
                watchSilence(member);
                probeWhenDue(member);
            }
            member.servedRate *= Math.exp(-beat / RATE_TIME);
        }
        for (Kind kind : kinds.values()) {
            kind.peakRate = Math.max(kind.peakRate, members.values().stream()
                .filter(m -> m.kind == kind && usable(m) && age(m) >= settings.rules().warmAfter())
                .mapToDouble(m -> m.servedRate).average().orElse(0));
        }
        PeerNews.encode(settings.zone(), news).forEach(datagram -> actions.add(new Tell(NONE, datagram)));
        news.clear();
    }

    /** Routers run for weeks, ids are new: what is gone is forgotten. Harm: one listed again is unknown. */
    private void forget(Member member) {
        member.group.members.remove(members.remove(member.id));
        actions.add(new Forget(member.id));
    }

    /**
     * Guards against members that take work and answer nothing, whatever the cause: attempts that may be
     * repeated are taken back and go elsewhere. Harm: a long pause of a sound member costs the work it held.
     */
    private void watchSilence(Member member) {
        double missing = 0;
        for (Attempt attempt : member.open) {
            long silent = now - Math.max(attempt.sentAt(), member.answeredAt);
            missing += late(attempt) && member.answeredAt > attempt.sentAt() ? 0
                : silent / (attempt.request().kind.aim() * strain(member));
        }
        if (missing < SILENCE) {
            return;
        }
        if (member.suspectSince == NONE) {
            member.suspectSince = member.trialAt = now;
            urgent(member);
        }
        long silentOnes = member.group.members.stream().filter(m -> m.suspectSince != NONE).count();
        if (2 * silentOnes <= member.group.members.size()) {
            member.open.stream().map(Attempt::request)
                .filter(r -> r.kind.effect() == Effect.IDEMPOTENT && !r.over).forEach(this::recall);
        }
    }

    /** Urgently only what a request has asked for since: many routers' probes would cost more than that. */
    private void probeWhenDue(Member member) {
        Member primary = member.group.primary;
        boolean nearBound = settings.data().probesTellPosition() && lag(member) > NEAR_BOUND * tightestBound;
        boolean noPrimary = primary == null || !usable(primary) || primary.suspectSince != NONE;
        if (now >= member.roundDue && !member.probing) {
            member.roundDue = nextRound();
            member.pingsLeft = PINGS;
            probe(member);
        } else if (member.group.askedAt > member.probedAt
                && (nearBound || noPrimary || member.down || member.suspectSince != NONE)) {
            urgent(member);
        }
    }

    private void urgent(Member member) {
        if (!member.probing && member.phase == Phase.SERVING && now >= member.urgentDue) {
            probe(member);
        }
    }

    private void probe(Member member) {
        if (settings.limits().probes()) {
            member.probing = true;
            member.probedAt = now;
            member.urgentDue = nextUrgent();
            actions.add(new Probe(member.id));
        }
    }
}
