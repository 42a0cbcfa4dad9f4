package ledgewall;

/**
 * What members of one kind of machine have in common: their answers' mean latency as a part of its target, and the highest
 * mean rate at which usable, warm members have served this router. Rates are exponentially decaying sums of served work, in
 * units of the mean work of a request per second; times are nanoseconds. The sum over members is updated as members join and
 * leave, so that no call iterates over the members.
 */
final class MachineKind {
    /** Time constant of the decay of served rates, in nanoseconds. */
    static final double RATE_TIME_CONSTANT = 4e9;

    double latencyRatio;
    private double peakRate;
    private double sumOfRates;
    private long sumAsOf;
    private int memberCount;

    MachineKind(double latencyRatio) {
        this.latencyRatio = latencyRatio;
    }

    /** What a rate that was {@code rate} at {@code asOf} has decayed to at {@code now}. */
    static double decayed(double rate, long asOf, long now) {
        return rate == 0 ? 0 : rate * Math.exp((asOf - now) / RATE_TIME_CONSTANT);
    }

    /** Includes a member that has this served rate. */
    void addMember(double rate, long now) {
        memberCount++;
        addRate(rate, now);
    }

    /** Excludes a member that has this served rate. */
    void removeMember(double rate, long now) {
        memberCount--;
        addRate(-rate, now);
    }

    /** Adds to the served rate of an included member. */
    void addRate(double rate, long now) {
        sumOfRates = memberCount == 0 ? 0 : Math.max(0, decayed(sumOfRates, sumAsOf, now) + rate);
        sumAsOf = now;
        if (memberCount > 0) {
            peakRate = Math.max(peakRate, sumOfRates / memberCount);
        }
    }

    /** The highest mean rate per member so far. */
    double peakRate() {
        return peakRate;
    }
}
