package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** What is known of one member: listing, newest evidence, health, own attempts. All times are nanoseconds. */
final class Member {
    /** Earlier than any time, and far enough from the least number that spans can be added. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;

    final String id;
    final Group group;

    // As listed.
    int zone;
    MachineKind kind;
    Phase phase = Phase.GONE;
    long born;

    // Role and position, and when each held.
    Role role = Role.UNKNOWN;
    long roleAt = Long.MIN_VALUE;
    long position = LONG_AGO;
    long positionAt = LONG_AGO;
    /** When it last refused a read for being too far behind. */
    long missedAt = LONG_AGO;

    // Probes.
    boolean probing;
    double ping;
    int pingsLeft;
    int failedProbes;
    long probedAt = LONG_AGO;
    long urgentDue = Long.MIN_VALUE;
    long roundDue = Long.MIN_VALUE;

    // Health.
    /** Whether connections to it fail; whether they were refused, as by a process that is gone. */
    boolean down;
    boolean refused;
    long downAt;
    long failedAt = Long.MIN_VALUE;
    long returnedAt = LONG_AGO;
    long suspectSince = RoutingPolicy.NONE;
    long trialAt = Long.MIN_VALUE;
    long answeredAt = Long.MIN_VALUE;

    // Load.
    double strain;
    long sampledAt = LONG_AGO;
    double window;
    long stepDue = Long.MIN_VALUE;
    long sentAt = LONG_AGO;
    double servedRate;
    long servedAt;
    /** Whether its served rate is part of its kind's mean. */
    boolean counted;
    final List<Attempt> open = new ArrayList<>();
    final List<SlowStart.Spent> spent = new ArrayList<>();

    Member(String id, Group group, double strain, double window) {
        this.id = id;
        this.group = group;
        this.strain = strain;
        this.window = window;
        group.members.add(this);
    }

    /** Whether it is listed as serving and connections to it come up. */
    boolean isUsable() {
        return phase == Phase.SERVING && !down;
    }

    /** When a request or a probe last went to it. */
    long contactedAt() {
        return Math.max(sentAt, probedAt);
    }
}
