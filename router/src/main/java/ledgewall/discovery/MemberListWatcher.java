package ledgewall.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Decides how the member list is followed. A watch delivers each change as it happens; a short check every second asks for
 * changes since the known revision, so that a single failing connection cannot hide a change. This class does no I/O and
 * reads no clock: callers pass in what arrived and when, and it returns the steps to carry out, in order. All times are
 * nanoseconds on one monotonic clock. docs/architecture.md lists the ways in which a change can be missed and how long each
 * one lasts.
 */
public final class MemberListWatcher {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final long NEVER = Long.MAX_VALUE;
    /** Lower than every revision. */
    private static final long NO_REVISION = -1;
    private static final String PATH = "/catalog/members";
    /**
     * Longest time without a byte while an answer is outstanding or incomplete, after which discovery is asked anew. A watch
     * that has not been answered at all by then is kept beside the new one, in case discovery is slow.
     */
    private static final long RESPONSE_TIMEOUT_NS = 1_000 * NANOS_PER_MILLI;
    /** Longest time for which a watch that has not been answered is kept. */
    private static final long MAX_RESPONSE_TIME_NS = 6_000 * NANOS_PER_MILLI;
    /** Longest time without a byte on an idle watch, which carries at least an empty line every 2 s. */
    private static final long IDLE_TIMEOUT_NS = 3_000 * NANOS_PER_MILLI;
    /**
     * Longest time in which an answer that has begun must be completed or must progress by {@link #MIN_PROGRESS_BYTES}.
     * A large list may take longer as a whole; an answer that trickles in without end is cancelled.
     */
    private static final long PROGRESS_TIMEOUT_NS = 4_000 * NANOS_PER_MILLI;
    private static final int MIN_PROGRESS_BYTES = 32 * 1024;
    /** Longest time for which the watch at the previous address is kept while the one at the new address sends no list. */
    private static final long ADDRESS_CHANGE_TIMEOUT_NS = 5_000 * NANOS_PER_MILLI;
    /** Shortest time between two requests for the full list because the revision went back. */
    private static final long MIN_RESYNC_INTERVAL_NS = 500 * NANOS_PER_MILLI;
    /** Fewest checks between two requests for the full list, which also shows differences that no revision reports. */
    private static final int MIN_CHECKS_PER_FULL_LIST = 5;
    /** Mean rate to which full lists are limited. */
    private static final long FULL_LIST_BYTES_PER_SECOND = 4_096;
    /** Approximate size of one entry in a list. */
    private static final long ENTRY_BYTES = 192;
    /** Longest time between checks that discovery answers with the full list; the watch may have stopped without notice. */
    private static final long MAX_FULL_CHECK_INTERVAL_NS = 4_000 * NANOS_PER_MILLI;

    /** Why a request is sent to discovery. */
    public enum Purpose {
        /** To receive each change as it happens. */
        WATCH,
        /** To find changes that the watch has not delivered. */
        CHECK,
        /** To compare the full list with the known one or, after the revision went back, to replace the known list. */
        FULL_LIST,
        /** To answer the policy's request for the full list. */
        FETCH
    }

    /**
     * Whether and how often checks are sent beside the watch.
     *
     * @param intervalNs the time between checks in nanoseconds; 0 for no checks
     */
    public record Checks(long intervalNs) {
        /** Well within the one or two seconds that rules allow a router for acting on a change. */
        public static final Checks DEFAULT = new Checks(1_000 * NANOS_PER_MILLI);
        public static final Checks DISABLED = new Checks(0);
    }

    /** One HTTP request to discovery, on a connection of its own, from opening to closing. */
    public static final class Call {
        private final Purpose purpose;
        private final InetSocketAddress address;
        private final long openedAt;
        /** The revision from which changes are requested or, later, the newest one received on this call. */
        private long lastRevision;
        private long lastByteAt;
        /** Since when the answer has been incomplete without progress; {@link #NEVER} while nothing is outstanding. */
        private long incompleteSince;
        /** Bytes received since the last progress. */
        private int bytesSinceProgress;
        private boolean answered;
        /** Whether the first answer, or what there is of it so far, has come without a rest that is outstanding. */
        private boolean established;
        /** Whether it waits for a slow answer beside a newer watch. */
        private boolean overdue;
        private final String target;

        private Call(Purpose purpose, InetSocketAddress address, long revision, long now) {
            this.purpose = purpose;
            this.address = address;
            this.lastRevision = revision;
            this.openedAt = now;
            this.lastByteAt = now;
            this.incompleteSince = now;
            this.target = asksForChanges() ? PATH + "?follow=1&since=" + revision : PATH;
        }

        public Purpose purpose() {
            return purpose;
        }

        public InetSocketAddress address() {
            return address;
        }

        /** The request target of the HTTP request line. */
        public String target() {
            return target;
        }

        private boolean asksForChanges() {
            return purpose == Purpose.WATCH || purpose == Purpose.CHECK;
        }

        private long timeoutAt() {
            if (overdue) {
                return openedAt + MAX_RESPONSE_TIME_NS;
            }
            if (incompleteSince == NEVER) {
                // a check that has been answered by an empty line has nothing to tell
                return purpose == Purpose.CHECK ? openedAt + RESPONSE_TIMEOUT_NS : lastByteAt + IDLE_TIMEOUT_NS;
            }
            return Math.min(lastByteAt + RESPONSE_TIMEOUT_NS, incompleteSince + PROGRESS_TIMEOUT_NS);
        }
    }

    /** An operation that the caller has to carry out. */
    public sealed interface Step permits Open, Close, Apply, FetchFailed { }

    /** Connect to the call's address and request its target. */
    public record Open(Call call) implements Step { }

    /** Close the call's connection and report nothing more about it. */
    public record Close(Call call) implements Step { }

    /** Apply an update that the call has received. */
    public record Apply(ListUpdate update, Call call) implements Step { }

    /** Report to the policy that the list it asked for could not be fetched. */
    public record FetchFailed() implements Step { }

    private final boolean onDemand;
    private final WatchBackoff backoff;
    private final Checks checks;
    private final SplittableRandom random;
    /** Open calls: a watch, the previous one after a change of address, checks of up to a second each, and fetches. */
    private final Set<Call> openCalls = new HashSet<>();
    /** Newest entry of each listed member; entries that are gone are removed, so it is as large as the newest list. */
    private final Map<String, Member> knownMembers = new HashMap<>();
    private List<Step> steps = new ArrayList<>();
    private InetSocketAddress address;
    private long revision;
    private long nextWatchAt = NEVER;
    private long nextCheckAt = NEVER;
    private int checksSinceFullList;
    private long nextFullListAt = Long.MIN_VALUE;
    private Call watch;
    /** A watch that discovery has not answered in time; null if there is none. */
    private Call overdueWatch;
    /** The watch at the address before the last change of address; null if there is none. */
    private Call previousWatch;
    private long previousWatchEndsAt;
    /** Whether the revision went back, and the full list that replaces the known one has not arrived. */
    private boolean resyncing;
    private long lastResyncAt;
    /** Whether the policy has been told that its subscription has failed, and discovery has not answered since. */
    private boolean failureReported;
    /** Newest revision with a change that a check, not the watch, has delivered. */
    private long checkedRevision = NO_REVISION;

    /**
     * Creates a watcher that starts from a known list.
     *
     * @param onDemand whether discovery is asked only once the policy has subscribed
     * @param seed spreads the calls of routers that start, or lose discovery, at the same moment
     */
    public MemberListWatcher(InetSocketAddress address, ListUpdate list, boolean onDemand, Checks checks, long seed) {
        this.address = address;
        this.revision = list.revision();
        this.onDemand = onDemand;
        this.checks = checks;
        this.random = new SplittableRandom(seed);
        this.backoff = onDemand ? WatchBackoff.whereListsAreAskedFor(random) : WatchBackoff.whereListsArePushed(random);
        this.lastResyncAt = Long.MIN_VALUE / 2;
        list.members().forEach(this::updateKnown);
    }

    /** Opens the watch, unless the list is requested on demand only. */
    public List<Step> start(long now) {
        nextFullListAt = now + fullListInterval() + random.nextLong(1 + fullListInterval());
        if (!onDemand) {
            openWatch(now);
        }
        return takeSteps();
    }

    /** Opens the watch, if there is none. From then on a watch that fails is opened again without being asked for. */
    public List<Step> subscribe(long now) {
        openWatch(now);
        return takeSteps();
    }

    /** Requests the full list once. */
    public List<Step> fetch(long now) {
        openCall(Purpose.FETCH, now);
        return takeSteps();
    }

    /**
     * Follows discovery at another address, from the known revision. The watch at the previous address is kept until the
     * one at the new address has delivered an update; updates from both are applied.
     */
    public List<Step> changeAddress(InetSocketAddress newAddress, long now) {
        if (newAddress.equals(address)) {
            return takeSteps();
        }
        address = newAddress;
        backoff.reset();
        List.copyOf(openCalls).stream().filter(call -> call != watch).forEach(this::closeCall);
        boolean watching = watch != null || nextWatchAt != NEVER || !onDemand;
        previousWatch = watch;
        previousWatchEndsAt = now + ADDRESS_CHANGE_TIMEOUT_NS;
        watch = null;
        resyncing = false;
        if (watching) {
            openWatch(now);
        }
        return takeSteps();
    }

    /**
     * Records that bytes of a call's answer have arrived.
     *
     * @param listCompleted whether they completed a list
     * @param incomplete whether the response head, or a list that has begun, is not complete yet
     * @param bytes how many have arrived
     */
    public List<Step> onBytes(Call call, boolean listCompleted, boolean incomplete, int bytes, long now) {
        if (openCalls.contains(call)) {
            call.lastByteAt = now;
            call.bytesSinceProgress += bytes;
            boolean progress = listCompleted || call.bytesSinceProgress >= MIN_PROGRESS_BYTES;
            call.bytesSinceProgress = progress ? 0 : call.bytesSinceProgress;
            call.incompleteSince = !incomplete ? NEVER : progress ? now : Math.min(call.incompleteSince, now);
            if (!incomplete) {
                establish(call);
            }
        }
        return takeSteps();
    }

    /** Notes that discovery has answered a call. A slow answer makes its call the watch; of two watches only one remains. */
    private void establish(Call call) {
        call.established = true;
        failureReported = false;
        if (call == overdueWatch) {
            Call unanswered = watch;
            watch = call;
            overdueWatch = null;
            call.overdue = false;
            nextWatchAt = NEVER;
            if (unanswered != null) {
                closeCall(unanswered);
            }
        } else if (call == watch && overdueWatch != null) {
            closeCall(overdueWatch);
        }
    }

    /** Handles a list or a set of changes that a call has received. It is not called for empty lines. */
    public List<Step> onUpdate(Call call, ListUpdate update, long now) {
        if (!openCalls.contains(call)) {
            return takeSteps();
        }
        establish(call);
        call.answered = true;
        backoff.reset();
        boolean wentBack = update.revision() < call.lastRevision;
        call.lastRevision = update.revision();
        if (call == watch && previousWatch != null) {
            closeCall(previousWatch);
        }
        if (update.complete()) {
            handleFullList(call, update, wentBack, now);
        } else if (call.purpose != Purpose.FULL_LIST) { // a request for the full list is not answered by changes
            handleChanges(call, update, wentBack, now);
        }
        if (call.purpose != Purpose.WATCH && openCalls.contains(call)) {
            endCall(call, now);
        }
        return takeSteps();
    }

    /** Handles a call whose connection was closed, could not be opened, or carried data that cannot be parsed. */
    public List<Step> onClosed(Call call, long now) {
        if (openCalls.contains(call)) {
            endCall(call, now);
        }
        return takeSteps();
    }

    /** Ends the calls that have timed out, and opens the watch and the check that are due. */
    public List<Step> tick(long now) {
        for (Call call : List.copyOf(openCalls)) {
            if (openCalls.contains(call) && (call.timeoutAt() <= now || call == previousWatch && previousWatchEndsAt <= now)) {
                onTimeout(call, now);
            }
        }
        if (nextWatchAt <= now) {
            openWatch(now);
        }
        if (nextCheckAt <= now) {
            openCheck(now);
        }
        return takeSteps();
    }

    private void onTimeout(Call call, long now) {
        if (call != watch || call.established || overdueWatch != null) {
            endCall(call, now);
            return;
        }
        watch = null;
        overdueWatch = call;
        call.overdue = true;
        reportFailure();
        nextWatchAt = backoff.reopenAt(call.openedAt, call.lastByteAt, now);
    }

    /** The time at which {@link #tick} must be called next. */
    public long nextTickAt() {
        long due = Math.min(Math.min(nextWatchAt, nextCheckAt), previousWatch == null ? NEVER : previousWatchEndsAt);
        for (Call call : openCalls) {
            due = Math.min(due, call.timeoutAt());
        }
        return due;
    }

    /** The revision of the known list. */
    public long revision() {
        return revision;
    }

    // ---- Updates from discovery

    private void handleChanges(Call call, ListUpdate update, boolean wentBack, long now) {
        if (wentBack) {
            startResync(now);
        } else if (update.revision() > revision) {
            if (call.purpose == Purpose.CHECK) {
                checkedRevision = update.revision();
            }
            apply(update, call);
        }
    }

    /** Requests the full list because the revision went back: discovery has restarted, so changes alone are not enough. */
    private void startResync(long now) {
        resyncing = true;
        List.copyOf(openCalls).stream().filter(call -> call.purpose != Purpose.FETCH).forEach(this::closeCall);
        if (now >= lastResyncAt + MIN_RESYNC_INTERVAL_NS) {
            openWatch(now);
        } else {
            nextWatchAt = now + MIN_RESYNC_INTERVAL_NS; // the revision goes back repeatedly
        }
        lastResyncAt = now;
    }

    private void handleFullList(Call call, ListUpdate update, boolean wentBack, long now) {
        if (call.purpose == Purpose.CHECK && nextCheckAt != NEVER) {
            nextCheckAt = Math.max(nextCheckAt, now + Math.min(MAX_FULL_CHECK_INTERVAL_NS, fullListInterval()));
        }
        if (resyncing && call.purpose == Purpose.FULL_LIST) {
            resyncing = false;
            apply(update, call);
            closeCall(call);
            openWatch(now);
        } else if (!wentBack && (call.purpose == Purpose.FULL_LIST || call.purpose == Purpose.CHECK)) {
            applyDifferences(update, call);
        } else if (wentBack || update.revision() >= revision) {
            apply(update, call);
            if (wentBack && call != watch && !onDemand) {
                restartWatch(now);
            }
        }
    }

    /** Applies, as changes, the entries of a full list that differ from the known ones; usually none do. */
    private void applyDifferences(ListUpdate fullList, Call call) {
        if (fullList.revision() < revision) {
            return; // the watch has delivered a newer revision meanwhile
        }
        List<Member> changed = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        for (Member member : fullList.members()) {
            listed.add(member.id());
            if (!member.equals(knownMembers.get(member.id()))) {
                changed.add(member);
            }
        }
        for (Member member : knownMembers.values()) {
            if (!listed.contains(member.id())) {
                changed.add(new Member(member.id(), member.address(), member.locality(), member.flavor(), member.cell(),
                    Member.Phase.GONE, member.size(), member.primary(), member.upSinceMillis()));
            }
        }
        if (!changed.isEmpty()) {
            checkedRevision = fullList.revision();
            apply(new ListUpdate(fullList.revision(), false, changed), call);
        }
        revision = fullList.revision();
    }

    private void apply(ListUpdate update, Call call) {
        revision = update.revision();
        if (update.complete()) {
            knownMembers.clear();
        }
        update.members().forEach(this::updateKnown);
        steps.add(new Apply(update, call));
    }

    private void updateKnown(Member member) {
        if (member.phase() == Member.Phase.GONE) {
            knownMembers.remove(member.id());
        } else {
            knownMembers.put(member.id(), member);
        }
    }

    // ---- Calls

    /** Opens the watch if there is none; during a resync, the request for the full list takes its place. */
    private void openWatch(long now) {
        nextWatchAt = NEVER;
        if (watch == null) {
            watch = openCall(resyncing ? Purpose.FULL_LIST : Purpose.WATCH, now);
            nextCheckAt = checks.intervalNs() == 0 || onDemand ? NEVER : Math.min(nextCheckAt, now + checks.intervalNs());
        }
    }

    private void restartWatch(long now) {
        if (watch != null) {
            closeCall(watch);
        }
        openWatch(now);
    }

    private void openCheck(long now) {
        nextCheckAt = now + checks.intervalNs();
        checksSinceFullList++;
        if (resyncing) {
            return; // the full list is already requested, or will be soon
        }
        if (watch != null && watch.lastRevision < checkedRevision) {
            restartWatch(now); // the watch still lacks a change that a check found at least one check interval ago
        }
        boolean fullList = checksSinceFullList >= MIN_CHECKS_PER_FULL_LIST && now >= nextFullListAt;
        checksSinceFullList = fullList ? 0 : checksSinceFullList;
        nextFullListAt = fullList ? now + fullListInterval() : nextFullListAt;
        openCall(fullList ? Purpose.FULL_LIST : Purpose.CHECK, now);
    }

    /** The shortest time in nanoseconds between requests for the full list; it grows with the number of members. */
    private long fullListInterval() {
        return knownMembers.size() * ENTRY_BYTES * NANOS_PER_SECOND / FULL_LIST_BYTES_PER_SECOND;
    }

    private Call openCall(Purpose purpose, long now) {
        Call call = new Call(purpose, address, revision, now);
        openCalls.add(call);
        steps.add(new Open(call));
        return call;
    }

    private void closeCall(Call call) {
        if (openCalls.remove(call)) {
            steps.add(new Close(call));
        }
        watch = call == watch ? null : watch;
        previousWatch = call == previousWatch ? null : previousWatch;
        overdueWatch = call == overdueWatch ? null : overdueWatch;
    }

    /** Closes a call that was answered, failed or timed out; a watch is opened again. */
    private void endCall(Call call, long now) {
        boolean wasWatch = call == watch;
        closeCall(call);
        if (call.purpose == Purpose.FETCH && !call.answered) {
            steps.add(new FetchFailed());
        }
        if (wasWatch) {
            reportFailure();
            nextWatchAt = backoff.reopenAt(call.openedAt, call.lastByteAt, now);
        }
    }

    /** Reports to the policy, once until discovery answers again, that the list it subscribed to cannot be followed. */
    private void reportFailure() {
        if (onDemand && !failureReported) {
            failureReported = true;
            steps.add(new FetchFailed());
        }
    }

    private List<Step> takeSteps() {
        List<Step> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
