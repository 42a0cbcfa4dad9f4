package ledgewall;

import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.*;

/** The state of one member: its listing, role and position, health, load and attempts. All times are nanoseconds. */
final class Member {
    /** Earlier than any time, and far enough from the smallest number that durations can be added or subtracted. */
    static final long LONG_AGO = Long.MIN_VALUE / 2;

    final String id;
    final Group group;

    // From the member list
    int zone;
    MachineKind kind;
    Phase phase = Phase.GONE;
    /** 0 for a member that started long ago. */
    long startedAt;

    // Role and position, and the time at which each was true
    Role role = Role.UNKNOWN;
    long roleAsOf = Long.MIN_VALUE;
    long position = LONG_AGO;
    long positionAsOf = LONG_AGO;
    /** When it last refused a read for being too far behind. */
    long staleReadRefusedAt = LONG_AGO;

    // Probes
    boolean probeInFlight;
    /** Moving average of the round-trip times of probes in nanoseconds; 0 before the first. */
    double roundTrip;
    int probesLeftInRound;
    /** Probes that failed since the last answer to one. */
    int failedProbes;
    long probedAt = LONG_AGO;
    long nextUrgentProbeAt = Long.MIN_VALUE;
    long nextRoundAt = Long.MIN_VALUE;

    // Health
    /** Whether connections to it fail. */
    boolean unreachable;
    /** Whether connections to it were refused, as they are when its process has stopped. */
    boolean connectionRefused;
    long unreachableSince;
    long connectionFailedAt = Long.MIN_VALUE;
    /** When it was reachable again after a time that a restart explains. */
    long restartDetectedAt = LONG_AGO;
    /** Since when it is suspected because it does not answer, or {@link RoutingPolicy#NONE}. */
    long suspectSince = RoutingPolicy.NONE;
    /** When a request was last sent to it on trial while it was suspected or unreachable. */
    long lastTrialAt = Long.MIN_VALUE;
    long lastAnsweredAt = Long.MIN_VALUE;

    // Load
    /** Moving average of its answers' latencies as a part of their targets. */
    double latencyRatio;
    long latencySampledAt = LONG_AGO;
    /** The number of attempts of this router that may be in flight at it; below 1, sends are spaced. */
    double concurrencyLimit;
    long nextDecreaseAt = Long.MIN_VALUE;
    long lastSentAt = LONG_AGO;
    /** Work served by it per second, as of {@code servedRateAsOf}: see {@link MachineKind}. */
    double servedRate;
    long servedRateAsOf;
    /** Whether its served rate is part of its kind's mean. */
    boolean countedInKind;
    final List<Attempt> attemptsInFlight = new ArrayList<>();
    /** What was sent to it within the overload window while it was cold. */
    final List<SlowStart.ColdSend> coldSends = new ArrayList<>();

    Member(String id, Group group, double latencyRatio, double concurrencyLimit) {
        this.id = id;
        this.group = group;
        this.latencyRatio = latencyRatio;
        this.concurrencyLimit = concurrencyLimit;
        group.members.add(this);
    }

    /** Whether it is listed as serving and connections to it succeed. */
    boolean isUsable() {
        return phase == Phase.SERVING && !unreachable;
    }

    /** When a request or a probe was last sent to it. */
    long lastContactedAt() {
        return Math.max(lastSentAt, probedAt);
    }
}
