package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** A request, from its arrival until its last attempt has ended. All times are nanoseconds. */
final class Request {
    final Arrival arrival;
    final RequestClass requestClass;
    final Group group;
    /** When its client first sent it, as far as that is known. */
    final long firstRequestedAt;
    /** When it ends even with an attempt in flight. */
    final long deadline;
    /** No attempt starts at or after this time. */
    final long sendDeadline;
    /** The position that a member must have reached for a read, as far as the read itself tells. */
    final long requiredPosition;
    final List<Member> triedMembers = new ArrayList<>();
    /** By number; those that have ended are null. */
    final List<Attempt> attempts = new ArrayList<>();
    /** The attempt in flight, or null. */
    Attempt currentAttempt;
    /** The first attempt that ended without evidence of whether it was executed, or null. */
    Attempt possiblyExecuted;
    /** The replica that was probed for its position on behalf of this read, or null. */
    Member probedReplica;
    boolean answerStarted;
    /** Whether it has been answered or abandoned. */
    boolean finished;

    Request(Arrival arrival, RequestClass requestClass, Group group, long firstRequestedAt, long deadline, long sendDeadline,
            long requiredPosition) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.group = group;
        this.firstRequestedAt = firstRequestedAt;
        this.deadline = deadline;
        this.sendDeadline = sendDeadline;
        this.requiredPosition = requiredPosition;
    }

    long id() {
        return arrival.request();
    }

    int classIndex() {
        return arrival.requestClass();
    }
}
