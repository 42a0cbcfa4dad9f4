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
 * The routing policy for groups of one primary and its replicas; the events and actions are defined in {@link RoutingPolicy}.
 *
 * <p>The normal path follows a reference design: each member is probed every five seconds for its role, position and round
 * trip; a read goes to a random eligible replica among the nearest, then to another one, then to the primary; a write goes to
 * the member last seen as primary. Everything else handles an exception, and its comment names the failure.
 */
public final class ReplicaRoutingPolicy implements RoutingPolicy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** Differences of round trips below this part of a read's mean latency make no noticeable difference to its client. */
    private static final double ROUND_TRIP_MARGIN = 0.125;
    /** A member whose expected delay is over this multiple of the best one's is overloaded or slow, beyond random variation. */
    private static final double MAX_DELAY_RATIO = 1.5;
    /** A member contacted within this time probably still has an idle connection: hosts keep them about that long. */
    private static final long CONNECTION_IDLE_TIME = 20 * SECOND;
    /** Silence for this many expected latencies is a fault; it is that many because latencies have a long tail. */
    private static final double SILENCE_THRESHOLD = 20;
    /** A timer that fires later than this shows a stall of the router itself: many ticks, far less than a latency target. */
    private static final long STALL_THRESHOLD = 50 * MS;
    /** No process restarts faster: a member that answers again sooner was only unreachable and is still warm. */
    private static final long MIN_RESTART_TIME = SECOND;
    /** A suspected member is sent one trial request per interval. */
    private static final long TRIAL_INTERVAL = 500 * MS;
    /** Reads may use this part of the primary's concurrency limit, because its writes can go nowhere else. */
    private static final double PRIMARY_READ_SHARE = 0.5;
    /** The part of its time that a request may be queued in a router that has just started and awaits its first probes. */
    private static final double STARTUP_QUEUE_SHARE = 0.1;
    /** The part of its latency target that a read may be queued: long enough for a burst to pass. */
    private static final double READ_QUEUE_SHARE = 0.05;
    /** The first delay before subscribing again after a failure; the constraints give the longest. */
    private static final long MIN_SUBSCRIBE_RETRY = SECOND;
    /** A member that tells a position which cannot be true may do so with every write: one warning per interval is logged. */
    private static final long POSITION_WARNING_INTERVAL = 10 * SECOND;
    /** The results that prove that the member answered. */
    private static final List<Result> ANSWERED_RESULTS = List.of(Result.OK, Result.MISDIRECTED, Result.REJECTED, Result.ERROR);

    private final Settings settings;
    private final SplittableRandom random;
    /** The interval at which time-dependent work is done, in nanoseconds. */
    private final long tickInterval;
    /** Moving average of the latency of each request class, in nanoseconds. */
    private final double[] meanLatency;
    private double sumOfMeanLatencies;
    /** The time left, in nanoseconds, of the last request of each class that was not a retry. */
    private final long[] firstTryTimeLeft;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<Long, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final DueQueue<Request> deadlines = new DueQueue<>();
    private final Map<Integer, MachineKind> kinds = new HashMap<>();
    private final Set<Member> membersWithAttempts = new LinkedHashSet<>();
    /** Members that are gone, until they have no attempt or probe in flight. */
    private final Set<Member> goneMembers = new LinkedHashSet<>();
    private final Set<Group> groupsWithQueue = new LinkedHashSet<>();
    /** Groups on which an event of this call gave new information: their queued requests are routed again. */
    private final Set<Group> groupsToResume = new LinkedHashSet<>();
    private final Freshness freshness;
    private final SlowStart slowStart;
    private final ConcurrencyLimits concurrencyLimits;
    private final SendRules sendRules;
    private ProbeScheduler probeScheduler;
    private final SessionWrites sessionWrites = new SessionWrites();
    private final List<Request> requestsToRoute = new ArrayList<>();
    private final boolean sharesObservations;
    private final List<GossipMessage.Observation> observationsToShare = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    /** Whether the router itself stalled before this call. */
    private boolean stalled;
    private final boolean remembersWrites;
    private long stalledAt = Long.MIN_VALUE;
    private long now;
    /** When this policy was first called. */
    private long startedAt = Long.MIN_VALUE;
    private long nextTick = Long.MIN_VALUE;
    private long subscribeAt = Long.MAX_VALUE;
    private long subscribeRetryDelay = MIN_SUBSCRIBE_RETRY;
    private long nextPositionWarningAt = Long.MIN_VALUE;

    public ReplicaRoutingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.sharesObservations = ProbeScheduler.sharesObservations(settings);
        this.freshness = new Freshness(settings, sharesObservations, sessionWrites);
        this.slowStart = new SlowStart(settings);
        this.concurrencyLimits = new ConcurrencyLimits(settings.routerCount());
        this.tickInterval = Math.max(2 * settings.tickInterval(), 10 * MS);
        this.sendRules = new SendRules(settings, freshness, slowStart, tickInterval);
        this.remembersWrites = settings.classes().stream().anyMatch(c -> c.consistency() == Consistency.SESSION);
        this.firstTryTimeLeft = settings.classes().stream().mapToLong(RequestClass::timeout).toArray();
        this.meanLatency = settings.classes().stream().mapToDouble(c -> c.latencyTarget() / 4.0).toArray();
        this.sumOfMeanLatencies = Arrays.stream(meanLatency).sum();
    }

    @Override
    public List<Action> decide(long time, List<Event> events) {
        now = time;
        actions = new ArrayList<>();
        if (startedAt == Long.MIN_VALUE) {
            start();
        }
        // A stall of the router itself, shown by its late timer, must not count as latency of the members. Drawback: the
        // latencies of one batch of events are ignored.
        stalled = now > nextTick + STALL_THRESHOLD;
        stalledAt = stalled ? now : stalledAt;
        events.forEach(this::onEvent);
        if (now >= nextTick) {
            groupsToResume.addAll(groupsWithQueue);
            onTick();
            nextTick = now + tickInterval;
            actions.add(new SetTimer(nextTick, 0));
        }
        groupsToResume.stream().filter(groupsWithQueue::remove).forEach(this::resumeQueued);
        groupsToResume.clear();
        List.copyOf(requestsToRoute).forEach(this::route);
        requestsToRoute.clear();
        return actions;
    }

    @Override
    public long confirmSend(long time, long requestId, int attemptNumber) {
        Request request = requests.get(requestId);
        boolean known = request != null && attemptNumber < request.attempts.size();
        Attempt attempt = known ? request.attempts.get(attemptNumber) : null;
        return attempt == null ? SendRules.NOT_PERMITTED : sendRules.confirm(attempt, relativeWork(request), time);
    }

    private void start() {
        startedAt = nextTick = now;
        subscribeAt = settings.subscribesToList() ? now : Long.MAX_VALUE;
        probeScheduler = new ProbeScheduler(settings, random, freshness, action -> actions.add(action), now);
    }

    private void onEvent(Event event) {
        if (event instanceof MemberList list) {
            onMemberList(list);
        } else if (event instanceof Arrival arrival) {
            onArrival(arrival);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof WriteAnswered answered && remembersWrites && requests.containsKey(answered.request())) {
            sessionWrites.onAnswered(requests.get(answered.request()), now);
        } else if (event instanceof ProbeResult probeResult && members.containsKey(probeResult.member())) {
            onProbeResult(probeResult);
        } else if (event instanceof PeerMessage message && sharesObservations) {
            onGossip(GossipMessage.decode(message.content()));
        } else if (event instanceof AnswerStarted started && requests.containsKey(started.request())) {
            requests.get(started.request()).answerStarted = true;
        } else if (event instanceof Abandoned abandoned && requests.containsKey(abandoned.request())) {
            finish(requests.get(abandoned.request()));
        }
    }

    private void onArrival(Arrival arrival) {
        if (arrival.requestClass() < 0 || arrival.requestClass() >= settings.classes().size()) {
            actions.add(new Refuse(arrival.request(), 0)); // unknown class: nothing was executed
            return;
        }
        Request request = newRequest(arrival);
        request.group.onRequest(now);
        requests.put(request.id(), request);
        deadlines.put(request, request.sendDeadline);
        requestsToRoute.add(request);
        probeScheduler.onRequest(request, members.size(), now);
    }

    private Request newRequest(Arrival arrival) {
        int index = arrival.requestClass();
        RequestClass requestClass = settings.classes().get(index);
        long deadline = Math.max(now, now + arrival.timeLeft() - 2 * tickInterval);
        // A retry whose time left differs from that of first tries has the rest of the class's timeout, which shows when its
        // client first sent it. If late answers have no value, no attempt starts after the latency target; one in flight may
        // still answer.
        firstTryTimeLeft[index] = arrival.retry() ? firstTryTimeLeft[index] : arrival.timeLeft();
        boolean startKnown = arrival.retry() && Math.abs(arrival.timeLeft() - firstTryTimeLeft[index]) > tickInterval;
        long firstRequestedAt = now - (startKnown ? Math.max(0, requestClass.timeout() - arrival.timeLeft()) : 0);
        long sendDeadline = requestClass.lateValue() > 0 ? deadline
            : Math.min(deadline, firstRequestedAt + requestClass.latencyTarget() - tickInterval);
        long requiredPosition = requestClass.consistency() == Consistency.FRESH ? now
            : arrival.timeSinceWrite() != NONE ? now - arrival.timeSinceWrite() : SessionWrites.NO_WRITE;
        return new Request(arrival, requestClass, groupOf(arrival.group()), firstRequestedAt, deadline, sendDeadline,
            requiredPosition);
    }

    private Group groupOf(long id) {
        return groups.computeIfAbsent(id, number -> new Group());
    }

    /** Applies a list: members listed as draining are excluded at once, absent ones unless the constraints keep them. */
    private void onMemberList(MemberList list) {
        if (list.kind() == ListKind.FAILED) {
            subscribeAt = now + subscribeRetryDelay + random.nextLong(subscribeRetryDelay);
            subscribeRetryDelay = Math.min(2 * subscribeRetryDelay, settings.constraints().resubscribeWithin() / 2);
            return;
        }
        subscribeRetryDelay = MIN_SUBSCRIBE_RETRY;
        subscribeAt = list.kind() == ListKind.CACHED ? subscribeAt : Long.MAX_VALUE;
        boolean keepUnlisted = settings.constraints().keepUnlistedMembers();
        if (list.kind() != ListKind.DELTA) {
            Set<String> listed = list.listings().stream().map(Listing::member).collect(Collectors.toSet());
            members.values().stream().filter(m -> !listed.contains(m.id) && !keepUnlisted).forEach(m -> {
                m.phase = Phase.GONE;
                onListingChanged(m);
            });
        }
        for (Listing listing : list.listings()) {
            Member member = members.computeIfAbsent(listing.member(),
                id -> concurrencyLimits.newMember(id, groupOf(listing.group())));
            slowStart.removeFromKindMean(member, now);
            member.zone = listing.zone();
            member.kind = kinds.computeIfAbsent(listing.kind(), id -> concurrencyLimits.newKind());
            if (listing.startedAt() > member.startedAt) {
                member.startedAt = listing.startedAt();
                member.unreachable = false;
                member.suspectSince = NONE;
                concurrencyLimits.onRestart(member);
            }
            member.phase = listing.phase() == Phase.GONE && keepUnlisted ? member.phase : listing.phase();
            onListingChanged(member);
            if (listing.primary()) {
                boolean delayed = settings.replication().listedRoleTiming() == ListedRoleTiming.DELAYED;
                updateRole(member, Role.PRIMARY, delayed ? now - SlowStart.LIST_DELAY : Long.MIN_VALUE + 1);
            }
        }
    }

    /** Handles a member's new entry in the list, or its absence from the list. */
    private void onListingChanged(Member member) {
        groupsToResume.add(member.group);
        slowStart.updateKindMean(member, now);
        if (member.phase == Phase.SERVING) {
            probeScheduler.onListedServing(member, members.size(), now);
        } else if (member.phase == Phase.GONE) {
            goneMembers.add(member);
        }
    }

    /** The newest evidence wins: reports and lists describe a past state, answers the present one. */
    private void updateRole(Member member, Role role, long asOf) {
        if (role == Role.UNKNOWN || asOf < member.roleAsOf) {
            return;
        }
        member.role = role;
        member.roleAsOf = asOf;
        Group group = member.group;
        groupsToResume.add(group);
        if (asOf >= group.primaryAsOf && (role == Role.PRIMARY || group.primary == member)) {
            group.primary = role == Role.PRIMARY ? member : null;
            group.primarySearchProbes = 0;
            group.primaryAsOf = asOf;
        }
    }

    private void updatePosition(Member member, long position, long asOf) {
        if (position != NONE) {
            member.position = Math.max(member.position, position);
            member.positionAsOf = Math.max(member.positionAsOf, asOf);
        }
    }

    private void onProbeResult(ProbeResult probeResult) {
        Member member = members.get(probeResult.member());
        member.probeInFlight = false;
        if (probeResult.result() != Result.OK) {
            if (probeResult.result() != Result.REJECTED) {
                probeScheduler.onProbeFailed(member, now);
                markUnreachable(member, probeResult.result() == Result.NOT_CONNECTED);
            }
            return;
        }
        if (member.connectionRefused && now >= member.unreachableSince + MIN_RESTART_TIME) {
            concurrencyLimits.onRestart(member);
            member.restartDetectedAt = now;
        }
        boolean wasUnreachable = member.unreachable;
        member.unreachable = member.connectionRefused = false;
        if (wasUnreachable) {
            slowStart.updateKindMean(member, now);
        }
        groupsToResume.add(member.group);
        member.roundTrip += (probeResult.elapsed() - member.roundTrip)
            / (member.roundTrip == 0 ? 1 : ProbeScheduler.PROBES_PER_ROUND);
        probeScheduler.onProbeAnswered(member, now);
        if (probeResult.report() != null) {
            long position = probeResult.report().position();
            updatePosition(member, position, now);
            Role role = probeResult.report().role();
            boolean wasPrimary = member.group.primary == member;
            updateRole(member, role, position == NONE ? now - probeResult.elapsed() : position);
            boolean primaryChanged = wasPrimary != (member.group.primary == member);
            if (probeScheduler.shouldShare(member, primaryChanged, now)) {
                observationsToShare.add(new GossipMessage.Observation(member.id, role, now, position, (long) member.roundTrip));
            }
        }
    }

    /**
     * Keeps the total number of all routers' probes low: each router shares its results, and the others postpone their own
     * probes. Only positive results are shared, and they end no exclusion, because a router that is cut off finds every
     * member unreachable. Drawback: that this router alone cannot reach a member shows only by its requests or up to a probe
     * period later.
     */
    private void onGossip(GossipMessage message) {
        for (GossipMessage.Observation observation : message.observations()) {
            Member member = members.get(observation.member());
            if (member == null || observation.at() > now || observation.position() > observation.at()) {
                continue;
            }
            updateRole(member, observation.role(), observation.position() == NONE ? observation.at() : observation.position());
            updatePosition(member, observation.position(), observation.at());
            member.roundTrip = message.zone() == settings.zone() && observation.roundTrip() > 0 ? observation.roundTrip()
                : member.roundTrip;
            probeScheduler.onPeerObservation(member, members.size(), now);
        }
    }

    private void onOutcome(Outcome outcome) {
        Request request = requests.get(outcome.request());
        Attempt attempt = request == null || outcome.attempt() >= request.attempts.size() ? null
            : request.attempts.set(outcome.attempt(), null);
        if (attempt == null) {
            return;
        }
        request.currentAttempt = null;
        Member member = attempt.member();
        member.attemptsInFlight.remove(attempt);
        if (member.attemptsInFlight.isEmpty()) {
            membersWithAttempts.remove(member);
        }
        groupsToResume.add(member.group);
        updateHealth(member, attempt, outcome);
        updateRole(member, outcome.role(), now);
        boolean positionUsed = !servedSessionWrite(request, outcome)
            || sessionWrites.onServed(request, outcome.position(), now);
        if (positionUsed) {
            updatePosition(member, outcome.position(), now);
        } else {
            warnOfPosition(outcome);
        }
        if (request.finished || outcome.complete()) {
            finish(request);
        } else {
            continueAfter(request, attempt, outcome);
        }
    }

    /** Whether an attempt served a write that reads of its session have to see. */
    private boolean servedSessionWrite(Request request, Outcome outcome) {
        return remembersWrites && request.requestClass.consistency() == Consistency.WRITE
            && (outcome.result() == Result.OK || sessionWrites.isAnswered(request));
    }

    private void warnOfPosition(Outcome outcome) {
        if (outcome.position() != NONE && now >= nextPositionWarningAt) {
            nextPositionWarningAt = now + POSITION_WARNING_INTERVAL;
            actions.add(new LogMessage("event=write_position_implausible member=" + outcome.member()
                + " position=" + outcome.position()));
        }
    }

    /** Updates health and load from the result of an attempt and the part of its latency target that it took. */
    private void updateHealth(Member member, Attempt attempt, Outcome outcome) {
        int index = attempt.request().classIndex();
        // A lost answer is no sign of a long queue: no sample counts for more than one that just missed its latency target.
        double sample = Math.min(1, outcome.elapsed() / (double) attempt.request().requestClass.latencyTarget());
        boolean answered = ANSWERED_RESULTS.contains(outcome.result());
        member.lastAnsweredAt = answered ? now : member.lastAnsweredAt;
        member.suspectSince = answered ? NONE : member.suspectSince;
        if (stalled && outcome.result() != Result.NOT_CONNECTED) {
            return;
        }
        switch (outcome.result()) {
            case OK -> {
                double change = ConcurrencyLimits.POOLED_SAMPLE_WEIGHT * (outcome.elapsed() - meanLatency[index]);
                meanLatency[index] += change;
                sumOfMeanLatencies += change;
                slowStart.onServed(member, relativeWork(attempt.request()) * SECOND / MachineKind.RATE_TIME_CONSTANT, now);
                concurrencyLimits.onServed(member, sample, now);
            }
            case REJECTED -> concurrencyLimits.onRejected(member, now);
            case TIMED_OUT, CANCELLED ->
                concurrencyLimits.onUnanswered(attempt, sample, lastAnswerHeardAt(member) > attempt.sentAt(), now);
            case NOT_CONNECTED -> markUnreachable(member, true);
            case RESET -> probeScheduler.probeUrgently(member, now); // one broken connection does not prove a failed member
            default -> { }
        }
    }

    /** When the member last answered, or the end of this router's last stall, during which it could not read answers. */
    private long lastAnswerHeardAt(Member member) {
        return Math.max(member.lastAnsweredAt, stalledAt);
    }

    /**
     * Guards against unreliable network links: a single failure shortly after an answer only triggers a probe. Drawback: one
     * more attempt at a member that has failed.
     */
    private void markUnreachable(Member member, boolean refused) {
        boolean isolated = member.connectionFailedAt < lastAnswerHeardAt(member)
            && now < lastAnswerHeardAt(member) + MIN_RESTART_TIME;
        member.connectionFailedAt = now;
        member.unreachableSince = member.unreachable ? member.unreachableSince : now;
        member.connectionRefused |= refused && !isolated;
        member.unreachable |= !isolated;
        slowStart.updateKindMean(member, now);
        probeScheduler.probeUrgently(member, now);
    }

    private void route(Request request) {
        if (request.finished || request.currentAttempt != null) {
            return;
        }
        Member member = request.requestClass.consistency() == Consistency.WRITE ? pickForWrite(request) : pickForRead(request);
        boolean sent = member != null && send(request, member);
        if (!sent && mayQueue(request)) {
            request.group.queued.add(request);
            groupsWithQueue.add(request.group);
        } else if (!sent) {
            endUnanswered(request);
        }
    }

    private List<Member> candidates(Request request, Predicate<Member> test) {
        return new ArrayList<>(request.group.members.stream()
            .filter(m -> !request.triedMembers.contains(m) && test.test(m) && isPermitted(request, m)).toList());
    }

    private Member pickForWrite(Request request) {
        Group group = request.group;
        Member primary = group.primary;
        if (primary != null) {
            return isHealthy(primary) && hasCapacity(request, primary, 1) && isPermitted(request, primary) ? primary : null;
        }
        // Where only answers to requests show the primary, a queued write is sent to a member at intervals; a replica refuses it.
        if (settings.replication().probesReportRole() && settings.limits().probing() || now < group.nextPrimaryTrialAt
                || request.attempts.size() + 1 >= settings.limits().maxAttempts()) {
            return null;
        }
        group.nextPrimaryTrialAt = now + ProbeScheduler.URGENT_PROBE_GAP;
        return candidates(request, m -> isHealthy(m) && hasCapacity(request, m, 1)).stream()
            .min(Comparator.comparingLong(m -> m.lastSentAt)).orElse(null);
    }

    private Member pickForRead(Request request) {
        Group group = request.group;
        if (now - startedAt < STARTUP_QUEUE_SHARE * (request.sendDeadline - request.firstRequestedAt)
                && group.members.stream().allMatch(m -> m.roundTrip == 0)) {
            return null; // a router that has just started waits for its first probes
        }
        List<Member> replicas = candidates(request,
            m -> m != group.primary && isHealthy(m) && hasCapacity(request, m, 1) && freshness.isEligible(request, m, now));
        if (!replicas.isEmpty()) {
            return pickNearFastest(request, replicas);
        }
        if (freshness.usesPositionProbe(request) && waitsForPosition(request)) {
            return null;
        }
        // The primary comes last. If no member seems healthy, the health state is assumed to be wrong, and members are tried.
        boolean allUnhealthy = group.members.stream().noneMatch(this::isHealthy);
        return candidates(request, allUnhealthy
            ? m -> freshness.isEligible(request, m, now) && now >= m.lastTrialAt + TRIAL_INTERVAL
            : m -> m == group.primary && isHealthy(m) && hasCapacity(request, m, PRIMARY_READ_SHARE))
            .stream().findFirst().orElse(null);
    }

    /**
     * Whether a replica is being probed for its position, on behalf of this read or another, and may still report it in time:
     * many routers cannot keep all positions up to date, and without positions all such reads would load the primaries.
     */
    private boolean waitsForPosition(Request request) {
        if (!mayQueue(request)) {
            return false;
        }
        if (request.probedReplica == null) {
            List<Member> replicas = new ArrayList<>(request.group.members.stream()
                .filter(m -> m != request.group.primary && !request.triedMembers.contains(m) && isHealthy(m)
                    && hasCapacity(request, m, 1))
                .toList());
            if (replicas.isEmpty()) {
                return false;
            }
            request.probedReplica = replicas.stream().filter(m -> m.probeInFlight).findFirst()
                .orElseGet(() -> pickNearFastest(request, replicas));
            probeScheduler.probePosition(request.probedReplica, now);
        }
        return request.probedReplica.probeInFlight;
    }

    /** Picks one of the nearest replicas at random, leaving out those with clearly more load than the best one. */
    private Member pickNearFastest(Request request, List<Member> replicas) {
        double margin = ROUND_TRIP_MARGIN * meanLatency[request.classIndex()];
        double shortest = replicas.stream().mapToDouble(m -> m.roundTrip).filter(t -> t > 0).min().orElse(0);
        replicas.removeIf(m -> m.roundTrip > shortest + margin);
        double leastDelay = replicas.stream().mapToDouble(this::expectedDelay).min().orElse(0);
        replicas.removeIf(m -> expectedDelay(m) > MAX_DELAY_RATIO * leastDelay);
        if (request.group.hasRequestGapOver(ProbeScheduler.ROUND_PERIOD)) {
            // Reads this far apart overload no member, while a new connection costs the member work and the read time.
            List<Member> connected = replicas.stream().filter(m -> m.lastContactedAt() > now - CONNECTION_IDLE_TIME).toList();
            replicas = connected.isEmpty() ? replicas : connected;
        }
        return replicas.get(random.nextInt(replicas.size()));
    }

    private double expectedDelay(Member member) {
        return concurrencyLimits.expectedDelay(member, now);
    }

    /** Whether a request may use this share of the member's concurrency limit. */
    private boolean hasCapacity(Request request, Member member, double share) {
        return concurrencyLimits.hasCapacity(request, member, share, now);
    }

    private boolean isHealthy(Member member) {
        boolean trialDue = member.attemptsInFlight.stream().allMatch(this::isOverdue)
            && now >= member.lastTrialAt + TRIAL_INTERVAL;
        return member.isUsable() && (member.suspectSince == NONE || trialDue);
    }

    private boolean isOverdue(Attempt attempt) {
        return concurrencyLimits.isOverdue(attempt, now);
    }

    // ---- Sending

    private boolean isPermitted(Request request, Member member) {
        return sendRules.permits(request, member, relativeWork(request), now);
    }

    /** The expected work of a request, in units of the mean over all request classes. */
    private double relativeWork(Request request) {
        return meanLatency[request.classIndex()] * meanLatency.length / sumOfMeanLatencies;
    }

    private boolean send(Request request, Member member) {
        if (!isPermitted(request, member)) {
            return false;
        }
        Attempt attempt = new Attempt(request, request.attempts.size(), member, now);
        request.attempts.add(attempt);
        request.triedMembers.add(member);
        request.currentAttempt = attempt;
        member.attemptsInFlight.add(attempt);
        membersWithAttempts.add(member);
        member.lastSentAt = now;
        slowStart.onSent(attempt, relativeWork(request), now);
        member.lastTrialAt = member.suspectSince != NONE || member.unreachable ? now : member.lastTrialAt;
        actions.add(new Send(request.id(), member.id, request.deadline - now));
        return true;
    }

    // ---- Outcomes of attempts

    private void continueAfter(Request request, Attempt attempt, Outcome outcome) {
        switch (outcome.result()) {
            case NOT_CONNECTED, REJECTED -> requestsToRoute.add(request);
            case WITHDRAWN -> {
                request.triedMembers.remove(attempt.member()); // nothing is wrong with it, and it may be permitted again
                requestsToRoute.add(request);
            }
            case MISDIRECTED -> {
                if (request.requestClass.consistency() == Consistency.WRITE) {
                    updateRole(attempt.member(), Role.REPLICA, now);
                    request.group.members.forEach(m -> probeScheduler.probeUrgently(m, now));
                    request.triedMembers.remove(attempt.member());
                } else {
                    attempt.member().positionAsOf = Long.MIN_VALUE; // it lags more than its last position suggested
                    attempt.member().staleReadRefusedAt = now;
                    probeScheduler.probeUrgently(attempt.member(), now);
                }
                requestsToRoute.add(request);
            }
            case ERROR, TIMED_OUT, RESET, CANCELLED -> {
                request.possiblyExecuted = request.possiblyExecuted == null ? attempt : request.possiblyExecuted;
                requestsToRoute.add(request); // ends if it may not be repeated: no send is permitted, none queued
            }
            case OK, NEVER_SENT -> endUnanswered(request);
        }
    }

    // ---- Queueing and ending requests

    /**
     * Whether a request may be queued: a write while an answer can still have value, a read only for a short burst, because a
     * client that is refused soon can retry in time.
     */
    private boolean mayQueue(Request request) {
        long until = request.requestClass.consistency() != Consistency.WRITE
            ? request.firstRequestedAt + (long) (READ_QUEUE_SHARE * request.requestClass.latencyTarget())
            : request.sendDeadline - (long) meanLatency[request.classIndex()];
        return now < until && request.attempts.size() < settings.limits().maxAttempts()
            && (request.possiblyExecuted == null || request.requestClass.retrySafety() == RetrySafety.IDEMPOTENT);
    }

    /** Routes queued requests again: those within their latency target first, newest first, as these are likeliest to meet it. */
    private void resumeQueued(Group group) {
        if (group.queued.stream().anyMatch(freshness::requiresPrimary)) {
            probeScheduler.searchPrimary(group, now);
        }
        group.queued.removeIf(r -> r.finished);
        group.queued.sort(Comparator.comparing((Request r) -> now > r.firstRequestedAt + r.requestClass.latencyTarget())
            .thenComparing(r -> -r.firstRequestedAt));
        requestsToRoute.addAll(group.queued);
        group.queued.clear();
    }

    /** Ends a request without an answer: refuses it if a retry is harmless, else fails it. */
    private void endUnanswered(Request request) {
        boolean retryHarmless = request.requestClass.retrySafety() == RetrySafety.IDEMPOTENT
            || request.possiblyExecuted == null && request.currentAttempt == null
            || request.requestClass.retrySafety() == RetrySafety.DEDUPLICATED
            && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        long id = request.id();
        // A retry is suggested soon while it can still meet the latency target; after that it would only add load.
        long retryAfter = now < request.firstRequestedAt + request.requestClass.latencyTarget() / 2
            ? (long) (READ_QUEUE_SHARE * request.requestClass.latencyTarget()) : settings.limits().maxRetryAfter();
        actions.add(!retryHarmless ? new Fail(id) : new Refuse(id, settings.limits().retryAfterHints() ? retryAfter : 0));
        cancelAttempt(request);
        finish(request);
    }

    private void cancelAttempt(Request request) {
        if (settings.limits().cancellation() && request.currentAttempt != null && !request.answerStarted) {
            actions.add(new Cancel(request.id(), request.currentAttempt.number()));
        }
    }

    private void finish(Request request) {
        request.finished = true;
        deadlines.remove(request);
        if (request.currentAttempt == null) {
            requests.remove(request.id());
        }
    }

    private void onTick() {
        if (now >= subscribeAt) {
            subscribeAt = Long.MAX_VALUE;
            actions.add(new Subscribe());
        }
        endExpired();
        List.copyOf(goneMembers).forEach(this::forgetIfGone);
        List.copyOf(membersWithAttempts).stream().filter(m -> m.phase == Phase.SERVING).forEach(this::detectSilence);
        slowStart.tick(now);
        probeScheduler.tick(members.size(), now);
        GossipMessage.encode(settings.zone(), observationsToShare)
            .forEach(datagram -> actions.add(new SendToPeer(NONE, datagram)));
        observationsToShare.clear();
    }

    /** Ends requests without an attempt in flight at their send deadline, others at their deadline. */
    private void endExpired() {
        for (Request request = deadlines.poll(now); request != null; request = deadlines.poll(now)) {
            if (request.finished || request.answerStarted) {
                continue;
            }
            if (request.currentAttempt == null || now >= request.deadline) {
                endUnanswered(request);
            } else {
                deadlines.put(request, request.deadline);
            }
        }
    }

    /**
     * Releases the state of a member that is gone: routers run for weeks, and new members have new ids. Drawback: a member that
     * is listed again starts without any state.
     */
    private void forgetIfGone(Member member) {
        if (member.phase != Phase.GONE) {
            goneMembers.remove(member);
        } else if (member.attemptsInFlight.isEmpty() && !member.probeInFlight) {
            goneMembers.remove(member);
            probeScheduler.forget(member);
            slowStart.forget(member, now);
            member.group.members.remove(members.remove(member.id));
            actions.add(new Forget(member.id));
        }
    }

    /**
     * Guards against members that accept requests but answer none, whatever the cause: their idempotent attempts are cancelled
     * and sent elsewhere. Drawback: a long pause of a healthy member costs the work that it had in progress.
     */
    private void detectSilence(Member member) {
        double missedLatencies = 0;
        for (Attempt attempt : member.attemptsInFlight) {
            long silence = now - Math.max(attempt.sentAt(), lastAnswerHeardAt(member));
            missedLatencies += isOverdue(attempt) && lastAnswerHeardAt(member) > attempt.sentAt() ? 0
                : silence / (attempt.request().requestClass.latencyTarget() * concurrencyLimits.latencyRatio(member, now));
        }
        if (missedLatencies < SILENCE_THRESHOLD) {
            return;
        }
        if (member.suspectSince == NONE) {
            member.suspectSince = member.lastTrialAt = now;
            probeScheduler.probeUrgently(member, now);
        }
        long suspects = member.group.members.stream().filter(m -> m.suspectSince != NONE).count();
        if (2 * suspects <= member.group.members.size()) {
            member.attemptsInFlight.stream().map(Attempt::request)
                .filter(r -> r.requestClass.retrySafety() == RetrySafety.IDEMPOTENT && !r.finished)
                .forEach(this::cancelAttempt);
        }
    }
}
