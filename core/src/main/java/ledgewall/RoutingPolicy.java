package ledgewall;

import java.util.List;

/**
 * The interface between a router and its routing decisions, independent of the client protocol: events go in, actions
 * come out.
 *
 * <p>One policy object serves one router. All times and durations are nanoseconds; times are readings of one monotonic clock.
 * A {@code position} is the time on that clock up to which a member has applied every commit.
 */
public interface RoutingPolicy {
    /** Stands for a missing number; as a peer number, for all peers. */
    long NONE = -1;

    /** Processes the events that occurred by {@code now}, in order, and returns the actions to carry out at {@code now}. */
    List<Action> decide(long now, List<Event> events);

    /**
     * Asked when the connection of an attempt is ready, right before its request is written, since that can be long after the
     * decision to send. Returns the latest time at which the last byte may be written. If that is before {@code now}, the
     * request is not written, and the attempt ends as {@link Result#WITHDRAWN}. A policy without such limits permits every write.
     */
    default long confirmSend(long now, long request, int attempt) {
        return Long.MAX_VALUE;
    }

    /** Creates the policy of a router that has just started. */
    interface Factory {
        RoutingPolicy create(Settings settings, long seed);
    }

    /** Routers send the ordinal to one another: the order must not change. */
    enum Role { UNKNOWN, PRIMARY, REPLICA }

    /**
     * The data that a request requires. {@code ANY}: any member's; {@code BOUNDED}: no older than the staleness bound;
     * {@code SESSION}: including the last write of the same session; {@code FRESH}: including all commits before the
     * request; {@code WRITE}: the request writes and needs the primary.
     */
    enum Consistency { ANY, BOUNDED, SESSION, FRESH, WRITE }

    /**
     * Whether a request may be sent again after it may have been executed: always, while members discard duplicates, or never.
     */
    enum RetrySafety { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The members that discard each other's duplicates of a deduplicated request. */
    enum DeduplicationScope { ALL, ZONE, GROUP }

    /** What a member does with a read that requires newer data than the member has. */
    enum StaleReadHandling { SERVES, REFUSES, WAITS }

    /** When the member list names a group's primary: some seconds after a change, only as of the start, or never. */
    enum ListedRoleTiming { DELAYED, AT_START, NEVER }

    /** A member's state in the member list. */
    enum Phase { SERVING, DRAINING, GONE }

    /** Only the changed members, all members, the members known from before the start, or a failure to get a list. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /**
     * How an attempt or a probe ended. {@code WITHDRAWN}: {@link #confirmSend} did not permit the write, and nothing was sent;
     * {@code REJECTED}: by the member's overload protection, without executing it;
     * {@code NEVER_SENT}: the router did not send it; {@code MISDIRECTED}: refused without executing it, as the member is not the
     * primary or is too far behind for the read.
     */
    enum Result { OK, ERROR, REJECTED, TIMED_OUT, NOT_CONNECTED, RESET, CANCELLED, NEVER_SENT, MISDIRECTED, WITHDRAWN }

    /**
     * The settings that a router receives at its start.
     *
     * @param routerCount the number of routers that share the members
     * @param rank the number of this router among them, from 0
     * @param zone the zone of this router
     * @param tickInterval the resolution of timers, in nanoseconds
     * @param subscribesToList whether the member list arrives only after {@link Subscribe}
     * @param overShareValue the relative value of a request beyond its tenant's share
     */
    record Settings(int routerCount, int rank, int zone, long tickInterval, boolean subscribesToList, List<RequestClass> classes,
                    List<Tenant> tenants, double overShareValue, Limits limits, ReplicationSettings replication,
                    Constraints constraints) { }

    /**
     * A class of requests. Durations are nanoseconds.
     *
     * @param stalenessBound the age of the data that a {@link Consistency#BOUNDED} read accepts
     * @param deduplicationWindow how long after the first attempt members discard a duplicate
     * @param latencyTarget the time after which an answer counts as late
     * @param timeout the time after which an answer has no value
     * @param value the relative value of an answer within the latency target
     * @param lateValue the relative value of a late answer, 0 if it has none
     * @param streamed whether answers are streamed
     */
    record RequestClass(Consistency consistency, long stalenessBound, RetrySafety retrySafety,
                        DeduplicationScope deduplicationScope, long deduplicationWindow,
                        long latencyTarget, long timeout, double value, double lateValue, boolean streamed) { }

    /** A tenant: its allowed requests per second and its relative share. */
    record Tenant(double allowancePerSecond, double share) { }

    /**
     * What the policy may use, and how much of it. Durations are nanoseconds.
     *
     * @param maxAttempts the number of attempts of one request
     * @param parallelAttempts whether one request may have several attempts in flight
     * @param cancellation whether {@link Cancel} may be used
     * @param probing whether {@link Probe} may be used
     * @param peerMessages whether {@link SendToPeer} may be used
     * @param retryAfterHints whether {@link Refuse} may carry a delay
     * @param maxRetryAfter the longest such delay
     * @param connectTimeout how long connecting to a member may take
     */
    record Limits(int maxAttempts, boolean parallelAttempts, boolean cancellation, boolean probing, boolean peerMessages,
                  boolean retryAfterHints, long maxRetryAfter, long connectTimeout, int maxOpen) { }

    /**
     * How members treat stale reads, and where their position and role can be learned.
     *
     * @param catchUpWait how long a member that {@link StaleReadHandling#WAITS} does so, in nanoseconds
     * @param answersReportPosition whether answers carry the member's position
     * @param requestsCarryTokens whether requests carry the time of their session's last write; else the router remembers it
     * @param probesReportPosition whether answers to probes carry the member's position
     * @param probesReportRole whether answers to probes carry the member's role
     */
    record ReplicationSettings(StaleReadHandling staleReadHandling, long catchUpWait, boolean answersReportPosition,
                               boolean requestsCarryTokens, ListedRoleTiming listedRoleTiming, boolean probesReportPosition,
                               boolean probesReportRole) { }

    /**
     * Constraints that every policy has to meet. Durations are nanoseconds.
     *
     * @param answerSlack how much later than its deadline an answer still counts
     * @param resubscribeWithin the longest time without a new {@link Subscribe} after a list has failed
     * @param drainGrace how long after a member is listed as draining it may still be sent requests
     * @param keepUnlistedMembers whether a member stays in use that a list omits or names as gone, unless it is draining
     * @param coldCapacityShare the part of its capacity that a member has right after its start
     * @param warmUpTime the time after a start until a member has all its capacity
     * @param overloadFactor the multiple of its present capacity that a cold member may be sent
     * @param overloadWindow the window in which that is counted
     */
    record Constraints(long answerSlack, long resubscribeWithin, long drainGrace, boolean keepUnlistedMembers,
                       double coldCapacityShare, long warmUpTime, double overloadFactor, long overloadWindow) { }

    /** An entry of the member list. {@code startedAt} is 0 for a member that started long ago. */
    record Listing(String member, long group, int zone, int kind, Phase phase, double weight, boolean primary,
                   long startedAt) { }

    /** A member's report on itself: {@link #NONE}, {@link Role#UNKNOWN} or NaN where a value is missing. */
    record Report(long position, Role role, double utilisation, double queued) { }

    sealed interface Event { }

    record MemberList(ListKind kind, List<Listing> listings) implements Event { }

    /**
     * A client's request.
     *
     * @param timeLeft the time until its deadline, in nanoseconds
     * @param timeSinceWrite the time since its session's last write, or {@link #NONE} if the request carries no token
     * @param retry whether its client has sent it before
     */
    record Arrival(long request, int requestClass, int tenant, long group, long session, long timeLeft,
                   long timeSinceWrite, boolean retry) implements Event { }

    /**
     * The end of an attempt. {@code position} is {@link #NONE} if the answer carried none; for a write it is the time of its
     * commit, if that is known for certain.
     */
    record Outcome(long request, int attempt, String member, Result result, long elapsed, boolean complete,
                   Role role, long position, Report report) implements Event { }

    /** The first part of a member's answer has arrived: the request must not be sent elsewhere any more. */
    record AnswerStarted(long request, int attempt, String member) implements Event { }

    /**
     * The complete answer to a write has arrived, and its client can have it from now on. The attempt's {@link Outcome}, which
     * may tell the write's position, follows once the exchange with the member has ended, in a later batch perhaps.
     */
    record WriteAnswered(long request, int attempt) implements Event { }

    /** The client no longer waits for an answer: it is gone, or the router has answered without the policy. */
    record Abandoned(long request) implements Event { }

    record ProbeResult(String member, Result result, long elapsed, Report report) implements Event { }

    record PeerMessage(int from, byte[] content) implements Event { }

    record TimerFired(long handle) implements Event { }

    sealed interface Action { }

    record Send(long request, String member, long timeout) implements Action { }

    /** Answers that a retry is harmless. {@code retryAfter} is the suggested delay in nanoseconds, 0 for none. */
    record Refuse(long request, long retryAfter) implements Action { }

    /** Answers that the request failed and may have been executed. */
    record Fail(long request) implements Action { }

    record Cancel(long request, int attempt) implements Action { }

    record Probe(String member) implements Action { }

    record SetTimer(long at, long handle) implements Action { }

    /** Asks for the member list and its changes from then on. */
    record Subscribe() implements Action { }

    /** Asks for the whole member list once. */
    record FetchList() implements Action { }

    /** Closes idle connections to a member. */
    record Disconnect(String member) implements Action { }

    /** The policy will not name this member again unless a list does. */
    record Forget(String member) implements Action { }

    /** Sends a message to one peer, or to all where {@code peer} is {@link #NONE}. */
    record SendToPeer(long peer, byte[] content) implements Action { }

    record LogMessage(String text) implements Action { }
}
