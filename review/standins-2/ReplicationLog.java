/** Up to which Unix time a host has applied all commits: it stands still while the host holds a report. */
final class ReplicationLog {
    private static final long SHIPPING_MILLIS = 10;

    private final long shippingMillis;
    private int reports;
    private long standsAt;

    ReplicationLog(boolean primary) {
        shippingMillis = primary ? 0 : SHIPPING_MILLIS;
    }

    synchronized long position() {
        return reports > 0 && shippingMillis > 0 ? standsAt : Case.unixMillis() - shippingMillis;
    }

    synchronized void reportBegins() {
        standsAt = position();
        reports++;
    }

    synchronized void reportEnds() {
        reports--;
    }
}
