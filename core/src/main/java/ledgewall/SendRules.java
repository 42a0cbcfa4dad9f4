package ledgewall;

import ledgewall.RoutingPolicy.*;

/**
 * The rules that every send has to keep, whatever made the policy choose the member: number of attempts, deadlines, draining,
 * repeats of requests that may have been executed, age of data and slow start. They are checked when a send is decided on, and
 * again when the connection is ready, since a connection may come up long after the decision. All times are nanoseconds.
 */
final class SendRules {
    /** As the latest time of a write: the request must not be written at all. */
    static final long NOT_PERMITTED = Long.MIN_VALUE;
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private final int maxAttempts;
    private final boolean membersServeStaleReads;
    private final Freshness freshness;
    private final SlowStart slowStart;
    private final long tickInterval;

    SendRules(Settings settings, Freshness freshness, SlowStart slowStart, long tickInterval) {
        this.maxAttempts = settings.limits().maxAttempts();
        this.membersServeStaleReads = settings.replication().staleReadHandling() == StaleReadHandling.SERVES;
        this.freshness = freshness;
        this.slowStart = slowStart;
        this.tickInterval = tickInterval;
    }

    /** Whether a request without an attempt in flight may be sent to a member now; {@code work} is its expected work. */
    boolean permits(Request request, Member member, double work, long now) {
        return !request.finished && request.currentAttempt == null && !request.answerStarted
            && request.attempts.size() < maxAttempts
            && now < latestWrite(request, member)
            && slowStart.isWithinBudget(member, work, now);
    }

    /**
     * The latest time at which the request of an attempt, whose connection is ready, may be written to its last byte; before
     * {@code now} if it must not be written any more. A cold member's budget counts the attempt from now on.
     */
    long confirm(Attempt attempt, double work, long now) {
        Request request = attempt.request();
        if (request.finished || request.currentAttempt != attempt) {
            return NOT_PERMITTED;
        }
        long latestWrite = latestWrite(request, attempt.member());
        return now < latestWrite && slowStart.confirmSend(attempt, work, now) ? latestWrite : NOT_PERMITTED;
    }

    private long latestWrite(Request request, Member member) {
        if (member.group != request.group || member.phase != Phase.SERVING) {
            return NOT_PERMITTED;
        }
        long freshUntil = membersServeStaleReads ? freshness.eligibleUntil(request, member) : NO_LIMIT;
        return Math.min(request.sendDeadline, Math.min(freshUntil, repeatableUntil(request, member)));
    }

    /** Until when a request may be repeated at a member after an attempt that may have been executed. */
    private long repeatableUntil(Request request, Member member) {
        Attempt first = request.possiblyExecuted;
        if (first == null) {
            return NO_LIMIT;
        }
        RequestClass requestClass = request.requestClass;
        return switch (requestClass.retrySafety()) {
            case IDEMPOTENT -> NO_LIMIT;
            case AT_MOST_ONCE -> NOT_PERMITTED;
            case DEDUPLICATED -> discardsDuplicatesOf(first, member, requestClass.deduplicationScope())
                ? first.sentAt() + requestClass.deduplicationWindow() - tickInterval : NOT_PERMITTED;
        };
    }

    private static boolean discardsDuplicatesOf(Attempt first, Member member, DeduplicationScope scope) {
        return scope != DeduplicationScope.ZONE || member.zone == first.member().zone;
    }
}
