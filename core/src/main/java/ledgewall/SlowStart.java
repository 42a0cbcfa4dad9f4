package ledgewall;

import ledgewall.RoutingPolicy.*;

/**
 * Slow start: this router's part of what a cold member may take in any window, from the best mean rate at which warm members
 * of that kind have served this router. Such rates, over all routers, add up to what one can do; the best of single
 * members would not, for the few answers of each come in bursts.
 */
final class SlowStart {
    private static final long SECOND = 1_000_000_000L;
    /** Part of a cold member's budget that is spent: the rest is for chance. */
    private static final double BUDGET_PART = 0.7;
    /** Sends in a window that a cold member gets of all routers even when nothing is known of its size. */
    private static final double LEAST_BUDGET = 6;
    /** The golden section: turns that follow it are spread evenly over routers and over time. */
    private static final double TURN = 0.618034;
    /** Lists are about so late, in nanoseconds. */
    static final long LIST_AGE = 5 * SECOND;

    /** Work, in units of mean work, that was sent to a cold member. */
    record Spent(long at, double work) { }

    private final Settings settings;
    private final Rules rules;
    private final DueQueue<Member> warming = new DueQueue<>();

    SlowStart(Settings settings) {
        this.settings = settings;
        this.rules = settings.rules();
    }

    boolean isWithinBudget(Member member, double work, long now) {
        long age = age(member, now);
        if (age >= rules.warmAfter()) {
            member.spent.clear();
            return true;
        }
        member.spent.removeIf(spent -> spent.at() <= now - rules.overloadWindow());
        double present = rules.coldShare() + (1 - rules.coldShare()) * age / rules.warmAfter();
        double budget = BUDGET_PART * rules.overloadFactor() * present * rules.overloadWindow() / SECOND
            * member.kind.peakRate();
        // Many routers' shares are parts of a send. Whose turn it is to round up goes by rank and window, so
        // a cold member that all turn to at once (its group's new primary) still meets only its budget.
        double share = Math.max(budget, LEAST_BUDGET / settings.routers());
        double turn = now / rules.overloadWindow() * TURN + settings.rank() / (double) settings.routers();
        return member.spent.stream().mapToDouble(Spent::work).sum() + work <= share + turn % 1 * work;
    }

    void onSent(Member member, double work, long now) {
        member.spent.add(new Spent(now, work));
    }

    /** A member has served work at this rate. */
    void onServed(Member member, double rate, long now) {
        member.servedRate = rate + servedRate(member, now);
        member.servedAt = now;
        if (member.counted) {
            member.kind.add(rate, now);
        }
    }

    /** Has a member's served rate count for its kind while it is usable and warm, and only then. */
    void recount(Member member, long now) {
        discount(member, now);
        long sinceBack = Math.min(LIST_AGE, rules.warmAfter());
        long warmAt = Math.max(member.born == 0 ? Long.MIN_VALUE : member.born + rules.warmAfter(),
            member.returnedAt + sinceBack);
        if (member.isUsable() && warmAt > now) {
            warming.put(member, warmAt);
        } else if (member.isUsable()) {
            member.counted = true;
            member.kind.join(servedRate(member, now), now);
        }
    }

    /** Has a member's served rate count no longer, as before a change of its kind. */
    void discount(Member member, long now) {
        if (member.counted) {
            member.counted = false;
            member.kind.leave(servedRate(member, now), now);
        }
    }

    /** Takes note of the members that have become warm. */
    void tick(long now) {
        for (Member member = warming.poll(now); member != null; member = warming.poll(now)) {
            recount(member, now);
        }
    }

    void forget(Member member, long now) {
        discount(member, now);
        warming.remove(member);
    }

    private static double servedRate(Member member, long now) {
        return MachineKind.decayed(member.servedRate, member.servedAt, now);
    }

    /**
     * Time since a member started: as listed or, while lists are late, guessed from its return after refused
     * connections. Harm: a member that was only cut off gets little work for that time.
     */
    private static long age(Member member, long now) {
        long back = now - member.returnedAt;
        long listed = member.born == 0 ? Long.MAX_VALUE : now - member.born;
        return Math.max(0, back < LIST_AGE ? Math.min(back, listed) : listed);
    }
}
