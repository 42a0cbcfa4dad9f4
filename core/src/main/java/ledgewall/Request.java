package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** A request until its last attempt is accounted for. All times are nanoseconds. */
final class Request {
    final Arrival arrival;
    final RequestClass kind;
    final Group group;
    /** When its client first asked, as far as that is known. */
    final long at;
    /** When it ends whatever is out, and when its last attempt may begin. */
    final long end;
    final long lastSend;
    /** The position that a member has to have reached for a read that must see a write. */
    final long needed;
    final List<Member> tried = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    /** The attempt that is out, and the first that may have run. */
    Attempt out;
    Attempt mayHaveRun;
    /** The replica that was asked for its position on behalf of this read, or null. */
    Member asked;
    boolean begun;
    boolean over;

    Request(Arrival arrival, RequestClass kind, Group group, long at, long end, long lastSend, long needed) {
        this.arrival = arrival;
        this.kind = kind;
        this.group = group;
        this.at = at;
        this.end = end;
        this.lastSend = lastSend;
        this.needed = needed;
    }

    long id() {
        return arrival.request();
    }

    int classIndex() {
        return arrival.requestClass();
    }
}
