package ledgewall.net;

import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ProbeResult;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.Reply;
import ledgewall.pg.SqlState;

/**
 * One probe of a member, on a connection that no request uses meanwhile. Its time runs from the write of its query to
 * the reading of its answer by the I/O thread, so neither connecting nor a late loop counts.
 */
final class Probe implements Exchange {
    private static final byte[] ASK_REPORT = MessageWriter.query("SHOW stats");
    private static final byte[] ASK_HEALTH = MessageWriter.query("SELECT 1");

    private final RouterContext wiring;
    private final String member;
    private final boolean reports;
    private HostConnection connection;
    private EventLoop.Timer timer;
    private long startedAt;
    private boolean ended;

    Probe(RouterContext wiring, String member, boolean reports) {
        this.wiring = wiring;
        this.member = member;
        this.reports = reports;
        this.startedAt = wiring.loop().now();
    }

    void start(HostPool pool) {
        wiring.counters().add(Counters.Count.PROBES);
        if (!pool.hasIdleForProbe() && !wiring.descriptors().roomForTraffic() && !wiring.idleConnections().closeOldest()) {
            ended(AttemptOutcome.NO_DESCRIPTOR, new Reply(), wiring.loop().now());
            return;
        }
        connection = pool.run(this);
        if (!ended && wiring.connectTimeoutNanos() > 0) {
            timer = wiring.loop().runAfter(wiring.connectTimeoutNanos(), this::timeOut);
        }
    }

    private void timeOut() {
        if (!ended) {
            connection.close();
            ended(AttemptOutcome.TIMED_OUT, new Reply(), wiring.loop().now());
        }
    }

    @Override
    public boolean isProbe() {
        return true;
    }

    @Override
    public byte[] query() {
        return reports ? ASK_REPORT : ASK_HEALTH;
    }

    @Override
    public void begun(long at) {
        startedAt = at;
    }

    @Override
    public void served(Reply reply) {
        // told when its end has come
    }

    @Override
    public void ended(AttemptOutcome ending, Reply reply, long at) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        boolean notReady = ending == AttemptOutcome.HOST_ERROR && SqlState.CANNOT_CONNECT_NOW.equals(reply.sqlState());
        AttemptOutcome last = notReady ? AttemptOutcome.NOT_READY : ending;
        RoutingPolicy.Report report = last == AttemptOutcome.SERVED && reports ? report(reply, at) : null;
        wiring.loop().postEvent(new ProbeResult(member, last.result(), Math.max(1, at - startedAt), report));
    }

    private static RoutingPolicy.Report report(Reply reply, long at) {
        try {
            return HostReports.report(reply.text(), at);
        } catch (ProtocolException e) {
            return null;
        }
    }
}
