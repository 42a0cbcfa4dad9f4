package ledgewall.net;

import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ProbeResult;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.Reply;
import ledgewall.pg.SqlState;

/**
 * One probe of a member, on a connection that no request uses meanwhile. Its latency is measured from the write of its
 * query until the I/O thread reads the answer, so it includes neither connecting nor a delay of the event loop.
 */
final class Probe implements Exchange {
    private static final byte[] REPORT_QUERY = MessageWriter.query("SHOW stats");
    private static final byte[] HEALTH_QUERY = MessageWriter.query("SELECT 1");

    private final RouterContext context;
    private final String member;
    private final boolean requestsReport;
    private HostPool pool;
    private HostConnection connection;
    private EventLoop.Timer timeoutTimer;
    /** In nanoseconds on the router's clock. */
    private long startedAt;
    private boolean repeated;
    private boolean ended;

    Probe(RouterContext context, String member, boolean requestsReport) {
        this.context = context;
        this.member = member;
        this.requestsReport = requestsReport;
        this.startedAt = context.loop().now();
    }

    void start(HostPool hostPool) {
        pool = hostPool;
        run();
        if (!ended && context.connectTimeoutNanos() > 0) {
            timeoutTimer = context.loop().runAfter(context.connectTimeoutNanos(), this::onTimeout);
        }
    }

    private void run() {
        context.counters().add(Counters.Count.PROBES);
        boolean reuses = !repeated && pool.hasIdleForProbe();
        if (!reuses && !context.descriptors().hasRoomForTraffic() && !context.idleConnections().closeOldest()) {
            ended(AttemptOutcome.NO_DESCRIPTOR, new Reply(), context.loop().now());
            return;
        }
        connection = repeated ? pool.executeOnNewConnection(this) : pool.execute(this);
    }

    private void onTimeout() {
        if (!ended) {
            connection.close();
            ended(AttemptOutcome.TIMED_OUT, new Reply(), context.loop().now());
        }
    }

    @Override
    public boolean isProbe() {
        return true;
    }

    @Override
    public byte[] query(long at) {
        return requestsReport ? REPORT_QUERY : HEALTH_QUERY;
    }

    @Override
    public void started(long at) {
        startedAt = at;
    }

    @Override
    public void served(Reply reply) {
        // reported to the policy when the exchange ends
    }

    @Override
    public void ended(AttemptOutcome exchangeOutcome, Reply reply, long at) {
        if (ended) {
            return;
        }
        if (exchangeOutcome == AttemptOutcome.STRAY_ANSWER && !repeated) {
            repeated = true; // an earlier answer's surplus data says nothing about the member
            run();
            return;
        }
        ended = true;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        boolean notReady = exchangeOutcome == AttemptOutcome.HOST_ERROR && SqlState.CANNOT_CONNECT_NOW.equals(reply.sqlState());
        AttemptOutcome outcome = notReady ? AttemptOutcome.NOT_READY : exchangeOutcome;
        RoutingPolicy.Report report = outcome == AttemptOutcome.SERVED && requestsReport ? parseReport(reply, at) : null;
        context.loop().postEvent(new ProbeResult(member, outcome.result(), Math.max(1, at - startedAt), report));
    }

    private static RoutingPolicy.Report parseReport(Reply reply, long at) {
        try {
            return HostReports.report(reply.value(), at);
        } catch (ProtocolException e) {
            return null;
        }
    }
}
