package ledgewall;

/**
 * What members of one kind of machine have in common: how much of their aims their answers take, and the best mean rate at
 * which usable, warm members have served this router. Rates are exponentially weighted, in units of mean work a second;
 * times are nanoseconds. The sum is kept as members join and leave, so no call looks at the members one by one.
 */
final class MachineKind {
    /** Time constant of served rates, in nanoseconds. */
    static final double RATE_TIME = 4e9;

    double strain;
    private double peakRate;
    private double sumOfRates;
    private long summedAt;
    private int members;

    MachineKind(double strain) {
        this.strain = strain;
    }

    /** A rate of {@code rate} at {@code since}, decayed to {@code now}. */
    static double decayed(double rate, long since, long now) {
        return rate == 0 ? 0 : rate * Math.exp((since - now) / RATE_TIME);
    }

    /** A member with this rate counts from now on. */
    void join(double rate, long now) {
        members++;
        add(rate, now);
    }

    /** A member with this rate counts no longer. */
    void leave(double rate, long now) {
        members--;
        add(-rate, now);
    }

    /** A member that counts has served so much more. */
    void add(double rate, long now) {
        sumOfRates = members == 0 ? 0 : Math.max(0, decayed(sumOfRates, summedAt, now) + rate);
        summedAt = now;
        if (members > 0) {
            peakRate = Math.max(peakRate, sumOfRates / members);
        }
    }

    /** The best mean rate of a member so far. */
    double peakRate() {
        return peakRate;
    }
}
