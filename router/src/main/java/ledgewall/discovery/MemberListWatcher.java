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
 * Decides how the list is followed, so that what a router knows never hangs on one connection being well: a watch, and
 * beside it each second a short question from the revision known. It does no I/O and has no clock: it is told what came
 * and when, and returns the steps to take, in order. How long each way of missing a change lasts stands in
 * docs/architecture.md.
 */
public final class MemberListWatcher {
    private static final long MS = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE;
    /** A revision before any. */
    private static final long NOTHING = -1;
    private static final String PATH = "/catalog/members";
    /** An agent answers at once; so long without a byte where something is owed, and it is asked anew. */
    private static final long QUIET = 1_000 * MS;
    /** A watch tells something every 2 s; half as long again without a byte is silence. */
    private static final long SILENCE = 3_000 * MS;
    /** By then something that has begun is whole, or so much more of it has come: a large list takes longer, a drip ends. */
    private static final long LONGEST_STEP = 4_000 * MS;
    private static final int LEAST_STEP_BYTES = 32 * 1024;
    /** How long a watch at the address before is kept where the one at the new address says nothing yet. */
    private static final long LONGEST_MOVE = 5_000 * MS;
    private static final long FIRST_GAP = 100 * MS;
    private static final long LONGEST_GAP = 500 * MS;
    /** The whole list, which also shows what no revision tells, is asked for after so many checks at the earliest. */
    private static final int WHOLE_EVERY = 5;
    /** Bytes a second that whole lists may come to in the mean, and bytes of one entry, about. */
    private static final long WHOLE_BYTES_PER_SECOND = 4_096;
    private static final long ENTRY_BYTES = 192;
    private static final long SECOND = 1_000 * MS;
    /** Checks that are answered with the whole list come no further apart: a watch may have fallen silent. */
    private static final long LONGEST_CHECK_GAP = 4_000 * MS;

    /** Why discovery is asked. */
    public enum Purpose {
        /** To hear of each change as it comes. */
        WATCH,
        /** Whether there is anything that the watch has not told. */
        CHECK,
        /** The whole list, to compare or, after discovery has begun anew, to begin from. */
        WHOLE,
        /** The whole list, as the policy asks for it. */
        ASKED
    }

    /** How often what the watch says is checked; 0 for never. */
    public record Pace(long checkEvery) {
        /** Well within the second or two that rules leave a router to act on what it was told. */
        public static final Pace USUAL = new Pace(1_000 * MS);
        public static final Pace UNCHECKED = new Pace(0);
    }

    /** One request to discovery, from its opening to its end. */
    public static final class Call {
        private final Purpose purpose;
        private final InetSocketAddress address;
        private long seen;
        private long byteAt;
        private long owedSince;
        private int owedBytes;
        private boolean told;
        private final String target;

        private Call(Purpose purpose, InetSocketAddress address, long revision, long now) {
            this.purpose = purpose;
            this.address = address;
            this.seen = revision;
            this.byteAt = now;
            this.owedSince = now;
            this.target = follows() ? PATH + "?follow=1&since=" + revision : PATH;
        }

        public Purpose purpose() {
            return purpose;
        }

        public InetSocketAddress address() {
            return address;
        }

        /** What is asked for, as in an HTTP request's first line. */
        public String target() {
            return target;
        }

        private boolean follows() {
            return purpose == Purpose.WATCH || purpose == Purpose.CHECK;
        }

        private long due() {
            if (owedSince == NEVER) {
                return byteAt + SILENCE;
            }
            return Math.min(byteAt + QUIET, owedSince + LONGEST_STEP);
        }
    }

    /** Something to do about discovery or the members. */
    public sealed interface Step permits Open, Close, Learn, Failed { }

    /** Connect to the call's address and ask for its target. */
    public record Open(Call call) implements Step { }

    /** End the call's connection; nothing more of it is told. */
    public record Close(Call call) implements Step { }

    /** Take in a list, or what has changed in it. */
    public record Learn(ListUpdate update, Call from) implements Step { }

    /** Whoever asked for the list gets none. */
    public record Failed() implements Step { }

    private final boolean onlyWhenAsked;
    private final Pace pace;
    private final SplittableRandom random;
    /** Open calls: a watch, the one before it while discovery moves, checks of a second each, and what the policy asks. */
    private final Set<Call> open = new HashSet<>();
    /** What was told last of each member; one that is gone leaves. As many as the newest list has. */
    private final Map<String, Member> known = new HashMap<>();
    private List<Step> steps = new ArrayList<>();
    private InetSocketAddress address;
    private long revision;
    private long gap = FIRST_GAP;
    private long watchAt = NEVER;
    private long checkAt = NEVER;
    private int checks;
    private long wholeAt = Long.MIN_VALUE;
    private Call watch;
    private Call before;
    private long moveEnds;
    private boolean anew;
    private long anewAt;
    private long checkedRevision = NOTHING;

    /**
     * Follows from the list that is known already.
     *
     * @param onlyWhenAsked whether discovery tells something only when the policy asks for it
     * @param seed spreads the calls of routers that start, or lose discovery, at the same moment
     */
    public MemberListWatcher(InetSocketAddress address, ListUpdate list, boolean onlyWhenAsked, Pace pace, long seed) {
        this.address = address;
        this.revision = list.revision();
        this.onlyWhenAsked = onlyWhenAsked;
        this.pace = pace;
        this.random = new SplittableRandom(seed);
        this.anewAt = Long.MIN_VALUE / 2;
        list.members().forEach(this::remember);
    }

    /** Begins to follow, where that is discovery's way. */
    public List<Step> start(long now) {
        wholeAt = now + wholeGap() + random.nextLong(1 + wholeGap());
        if (!onlyWhenAsked) {
            watch(now);
        }
        return taken();
    }

    /** Begins the watch, if there is none. */
    public List<Step> subscribe(long now) {
        watch(now);
        return taken();
    }

    /** Asks for the whole list once. */
    public List<Step> fetch(long now) {
        open(Purpose.ASKED, now);
        return taken();
    }

    /**
     * Follows discovery at another address, from the revision known. The watch at the address before goes on until the
     * one at the new address has spoken: what either tells counts.
     */
    public List<Step> move(InetSocketAddress other, long now) {
        if (other.equals(address)) {
            return taken();
        }
        address = other;
        gap = FIRST_GAP;
        List.copyOf(open).stream().filter(call -> call != watch).forEach(this::close);
        boolean followed = watch != null || watchAt != NEVER || !onlyWhenAsked;
        before = watch;
        moveEnds = now + LONGEST_MOVE;
        watch = null;
        anew = false;
        if (followed) {
            watch(now);
        }
        return taken();
    }

    /**
     * Bytes of a call's answer have come.
     *
     * @param whole whether a list has become whole
     * @param owed whether its head or a list that has begun is not whole yet
     * @param bytes how many have come
     */
    public List<Step> heard(Call call, boolean whole, boolean owed, int bytes, long now) {
        if (open.contains(call)) {
            call.byteAt = now;
            call.owedBytes += bytes;
            boolean step = whole || call.owedBytes >= LEAST_STEP_BYTES;
            call.owedBytes = step ? 0 : call.owedBytes;
            call.owedSince = !owed ? NEVER : step ? now : Math.min(call.owedSince, now);
        }
        return taken();
    }

    /** A call has told of a list; empty lines are not told. */
    public List<Step> told(Call call, ListUpdate update, long now) {
        if (!open.contains(call)) {
            return taken();
        }
        call.told = true;
        gap = FIRST_GAP;
        boolean back = update.revision() < call.seen;
        call.seen = update.revision();
        if (call == watch && before != null) {
            close(before);
        }
        if (update.complete()) {
            whole(call, update, back, now);
        } else if (call.purpose != Purpose.WHOLE) { // to that question a part is no answer
            changes(call, update, back, now);
        }
        if (call.purpose != Purpose.WATCH && open.contains(call)) {
            over(call, now);
        }
        return taken();
    }

    /** A call's connection has ended, never came up, or said what cannot be read. */
    public List<Step> ended(Call call, long now) {
        if (open.contains(call)) {
            over(call, now);
        }
        return taken();
    }

    /** Does what is due by now. */
    public List<Step> tick(long now) {
        for (Call call : List.copyOf(open)) {
            if (open.contains(call) && (call.due() <= now || call == before && moveEnds <= now)) {
                over(call, now);
            }
        }
        if (watchAt <= now) {
            watch(now);
        }
        if (checkAt <= now) {
            check(now);
        }
        return taken();
    }

    /** When {@link #tick} is wanted next. */
    public long due() {
        long due = Math.min(Math.min(watchAt, checkAt), before == null ? NEVER : moveEnds);
        for (Call call : open) {
            due = Math.min(due, call.due());
        }
        return due;
    }

    /** The revision known. */
    public long revision() {
        return revision;
    }

    // ---- What a call tells

    private void changes(Call call, ListUpdate update, boolean back, long now) {
        if (back) {
            beginAnew(now);
        } else if (update.revision() > revision) {
            if (call.purpose == Purpose.CHECK) {
                checkedRevision = update.revision();
            }
            learn(update, call);
        }
    }

    /** Discovery has begun anew: only the whole list says what holds, and a watch from there on. */
    private void beginAnew(long now) {
        anew = true;
        List.copyOf(open).stream().filter(call -> call.purpose != Purpose.ASKED).forEach(this::close);
        if (now >= anewAt + LONGEST_GAP) {
            watch(now);
        } else {
            watchAt = now + LONGEST_GAP; // it goes back again and again
        }
        anewAt = now;
    }

    private void whole(Call call, ListUpdate update, boolean back, long now) {
        if (call.purpose == Purpose.CHECK && checkAt != NEVER) {
            checkAt = Math.max(checkAt, now + Math.min(LONGEST_CHECK_GAP, wholeGap()));
        }
        if (anew && call.purpose == Purpose.WHOLE) {
            anew = false;
            learn(update, call);
            close(call);
            watch(now);
        } else if (!back && (call.purpose == Purpose.WHOLE || call.purpose == Purpose.CHECK)) {
            compare(update, call);
        } else if (back || update.revision() >= revision) {
            learn(update, call);
            if (back && call != watch && !onlyWhenAsked) {
                restartWatch(now);
            }
        }
    }

    /** What a whole list says otherwise than was known is told as changes; usually that is nothing. */
    private void compare(ListUpdate whole, Call call) {
        if (whole.revision() < revision) {
            return; // overtaken by the watch
        }
        List<Member> changed = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        for (Member member : whole.members()) {
            listed.add(member.id());
            if (!member.equals(known.get(member.id()))) {
                changed.add(member);
            }
        }
        for (Member member : known.values()) {
            if (!listed.contains(member.id())) {
                changed.add(new Member(member.id(), member.address(), member.locality(), member.flavor(), member.cell(),
                    Member.Phase.GONE, member.size(), member.primary(), member.upSinceMillis()));
            }
        }
        if (!changed.isEmpty()) {
            checkedRevision = whole.revision();
            learn(new ListUpdate(whole.revision(), false, changed), call);
        }
        revision = whole.revision();
    }

    private void learn(ListUpdate update, Call call) {
        revision = update.revision();
        if (update.complete()) {
            known.clear();
        }
        update.members().forEach(this::remember);
        steps.add(new Learn(update, call));
    }

    private void remember(Member member) {
        if (member.phase() == Member.Phase.GONE) {
            known.remove(member.id());
        } else {
            known.put(member.id(), member);
        }
    }

    // ---- Calls

    private void watch(long now) {
        watchAt = NEVER;
        if (watch == null) {
            watch = open(anew ? Purpose.WHOLE : Purpose.WATCH, now);
            checkAt = pace.checkEvery() == 0 || onlyWhenAsked ? NEVER : Math.min(checkAt, now + pace.checkEvery());
        }
    }

    private void restartWatch(long now) {
        if (watch != null) {
            close(watch);
        }
        watch(now);
    }

    private void check(long now) {
        checkAt = now + pace.checkEvery();
        checks++;
        if (anew) {
            return; // the whole list is on its way, or asked for again soon
        }
        if (watch != null && watch.seen < checkedRevision) {
            restartWatch(now); // a check told it a whole period ago, and the watch still has not
        }
        boolean whole = checks >= WHOLE_EVERY && now >= wholeAt;
        checks = whole ? 0 : checks;
        wholeAt = whole ? now + wholeGap() : wholeAt;
        open(whole ? Purpose.WHOLE : Purpose.CHECK, now);
    }

    /** Time in which a whole list may be asked for once: the longer, the more members it has. */
    private long wholeGap() {
        return known.size() * ENTRY_BYTES * SECOND / WHOLE_BYTES_PER_SECOND;
    }

    private Call open(Purpose purpose, long now) {
        Call call = new Call(purpose, address, revision, now);
        open.add(call);
        steps.add(new Open(call));
        return call;
    }

    private void close(Call call) {
        if (open.remove(call)) {
            steps.add(new Close(call));
        }
        watch = call == watch ? null : watch;
        before = call == before ? null : before;
    }

    /** A call that was not ended by choice. */
    private void over(Call call, long now) {
        boolean watched = call == watch;
        close(call);
        if (call.purpose == Purpose.ASKED ? !call.told : watched && onlyWhenAsked) {
            steps.add(new Failed());
        }
        if (watched && !onlyWhenAsked) {
            watchAt = now + gap / 2 + random.nextLong(gap / 2);
            gap = Math.min(LONGEST_GAP, 2 * gap);
        }
    }

    private List<Step> taken() {
        List<Step> all = steps;
        steps = new ArrayList<>();
        return all;
    }
}
