package ledgewall;

import java.util.List;

/**
 * What a decision module is told and what it may ask for, whatever protocol stands before it.
 *
 * <p>One policy object serves one router. All times are nanoseconds on one clock that never goes back; a
 * {@code position} is the time up to which a member has applied every commit, on that same clock.
 */
public interface RoutingPolicy {
    long NONE = -1;

    /** Takes the events of one moment, in order, and answers with the actions that take effect at that moment. */
    List<Action> decide(long now, List<Event> events);

    /** Makes the policy of a router that has just started. */
    interface Factory {
        RoutingPolicy create(Settings settings, long seed);
    }

    enum Role { UNKNOWN, PRIMARY, REPLICA }

    enum Need { ANY, BOUNDED, SESSION, FRESH, WRITE }

    enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The members that drop each other's repeats of a deduplicated request. */
    enum RepeatScope { ALL, ZONE, GROUP }

    /** What a member does with a read for which it is too far behind. */
    enum Behind { ANSWERS, REFUSES, WAITS }

    enum ListedRole { LATE, AT_START, NEVER }

    enum Phase { SERVING, DRAINING, GONE }

    enum ListKind { CHANGES, FULL, REMEMBERED, FAILED }

    enum Result { OK, ERROR, REJECTED, TIMED_OUT, NOT_CONNECTED, RESET, CANCELLED, NEVER_SENT, MISSED }

    /** All that a router is told at its start. */
    record Settings(int routers, int rank, int zone, long tick, boolean askForList, List<RequestClass> classes,
                    List<Tenant> tenants, double overShareWorth, Limits limits, Data data, Rules rules) { }

    record RequestClass(Need need, long stalenessBound, Effect effect, RepeatScope repeatScope, long repeatWindow,
                        long aim, long deadline, double worth, double lateWorth, boolean streamed) { }

    record Tenant(double allowancePerSecond, double share) { }

    record Limits(int maxAttempts, boolean parallelTries, boolean cancel, boolean probes, boolean peers,
                  boolean retryAfter, long maxRetryAfter, long connectTimeout, int maxOpen) { }

    /** What members tell of their data, and where. */
    record Data(Behind behind, long catchUpWait, boolean answersTellPosition, boolean tokensCarried,
                ListedRole listedRole, boolean probesTellPosition, boolean probesTellRole) { }

    record Rules(long answerSlack, long askWithin, long drainGrace, boolean drainBindsAlone, double coldShare,
                 long warmAfter, double overloadFactor, long overloadWindow) { }

    /** A line of the member list. {@code born} is 0 for one that started long ago. */
    record Listing(String member, long group, int zone, int kind, Phase phase, double weight, boolean primary,
                   long born) { }

    /** A member's own account: {@link #NONE} or NaN where a value is missing. */
    record Report(long position, Role role, double utilisation, double queued) { }

    sealed interface Event { }

    record MemberList(ListKind kind, List<Listing> listings) implements Event { }

    /** {@code sinceWrite} is {@link #NONE} where the request carries no token. */
    record Arrival(long request, int requestClass, int tenant, long group, long session, long timeLeft,
                   long sinceWrite, boolean retry) implements Event { }

    /** {@code position} is {@link #NONE} where the answer carried none. */
    record Outcome(long request, int attempt, String member, Result result, long elapsed, boolean complete,
                   Role role, long position, Report report) implements Event { }

    record AnswerBegun(long request, int attempt, String member) implements Event { }

    record Lapsed(long request) implements Event { }

    record ProbeResult(String member, Result result, long elapsed, Report report) implements Event { }

    record PeerMessage(int from, byte[] content) implements Event { }

    record TimerDue(long handle) implements Event { }

    sealed interface Action { }

    record Send(long request, String member, long timeout) implements Action { }

    record Refuse(long request, long retryAfter) implements Action { }

    record Fail(long request) implements Action { }

    record Cancel(long request, int attempt) implements Action { }

    record Probe(String member) implements Action { }

    record SetTimer(long at, long handle) implements Action { }

    record Subscribe() implements Action { }

    /** Asks for the whole member list once. */
    record FetchList() implements Action { }

    /** Closes idle connections to a member. */
    record Disconnect(String member) implements Action { }

    /** The policy will not name this member again unless a list does. */
    record Forget(String member) implements Action { }

    /** Sends to one router, or to every other where {@code router} is {@link #NONE}. */
    record Tell(long router, byte[] content) implements Action { }

    record Note(String text) implements Action { }
}
