package ledgewall.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Action;
import ledgewall.RoutingPolicy.Event;
import ledgewall.pg.ClientMessage;
import ledgewall.pg.Frame;
import ledgewall.pg.FrameReader;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.Reply;
import ledgewall.pg.Statement;

/**
 * Makes the JIT compiler compile the code that every request passes through, before the router accepts clients: synthetic
 * requests are run through the parsers and a separate instance of the policy. With a fraction of a core, a router that has
 * just started would otherwise lag seconds behind its clients and attribute its own latency to its members. Nothing is sent,
 * and no state is kept.
 */
public final class WarmUp {
    /** Turns at most, one request each; the JIT compiler starts to compile a method after some hundred calls. */
    private static final int MAX_TURNS = 1_500;
    /** Longest duration: a router that restarts is unavailable meanwhile. */
    private static final long MAX_DURATION_NANOS = Clock.millisToNanos(1_200);
    /**
     * Up to this number of routers, each receives enough requests to be worth a full warm-up; with more, each receives a smaller
     * share of the requests, and warms up for less.
     */
    private static final double ROUTERS_AT_FULL_WARM_UP = 4;
    /** Simulated time of one turn, which is also the latency of every synthetic answer. */
    private static final long TURN_NANOS = Clock.millisToNanos(3);
    private static final int MEMBER_COUNT = 4;
    private static final byte[] VALUE = new byte[256];

    private final RouterConfig config;
    private final RoutingPolicy policy;
    private final List<Event> nextEvents = new ArrayList<>();
    private long now = Clock.ofSystem().now();
    private long lastRequestNumber;

    private WarmUp(RouterConfig config, RoutingPolicy policy) {
        this.config = config;
        this.policy = policy;
    }

    /** Runs synthetic requests and returns the number of those that the policy sent to a member. */
    public static long run(RouterConfig config, RoutingPolicy.Factory factory) {
        WarmUp warmUp = new WarmUp(config, factory.create(config.settings(), config.seed()));
        // Many routers may start together, as after a release, and all be unavailable at once: each warms up for its share only.
        double share = Math.min(1, ROUTERS_AT_FULL_WARM_UP / config.settings().routerCount());
        long endNanoTime = System.nanoTime() + (long) (share * MAX_DURATION_NANOS);
        long served = 0;
        try {
            warmUp.addMemberList();
            for (int turn = 0; turn < share * MAX_TURNS && System.nanoTime() < endNanoTime; turn++) {
                served += warmUp.runTurn();
            }
        } catch (ProtocolException e) {
            throw new IllegalStateException("the warm-up's own messages violate the protocol", e);
        }
        return served;
    }

    private void addMemberList() {
        List<RoutingPolicy.Listing> members = new ArrayList<>();
        for (int i = 0; i < MEMBER_COUNT; i++) {
            members.add(new RoutingPolicy.Listing("rehearsed-" + i, 0, 0, 0, RoutingPolicy.Phase.SERVING, 1, false, 0));
        }
        nextEvents.add(new RoutingPolicy.MemberList(RoutingPolicy.ListKind.FULL, members));
    }

    /** Runs one request and the policy's actions, and queues the results of these for the next turn. */
    private int runTurn() throws ProtocolException {
        int classes = config.settings().classes().size();
        if (classes > 0) {
            addArrival((int) (lastRequestNumber % classes));
        }
        List<Event> events = List.copyOf(nextEvents);
        nextEvents.clear();
        int served = 0;
        for (Action action : policy.decide(now, events)) {
            if (action instanceof RoutingPolicy.Send send) {
                served++;
                addOutcome(send);
            } else if (action instanceof RoutingPolicy.Probe probe) {
                nextEvents.add(new RoutingPolicy.ProbeResult(probe.member(), RoutingPolicy.Result.OK, TURN_NANOS,
                    HostReports.report("x0=" + now / 1e9 + ",x1=" + (probe.member().endsWith("-0") ? 1 : 0), now)));
            } else if (action instanceof RoutingPolicy.SetTimer timer) {
                nextEvents.add(new RoutingPolicy.TimerFired(timer.handle()));
            }
        }
        now += TURN_NANOS;
        return served;
    }

    private void addArrival(int classIndex) throws ProtocolException {
        RoutingPolicy.RequestClass requestClass = config.settings().classes().get(classIndex);
        long timeoutMillis = Clock.nanosToMillis(requestClass.timeout());
        byte[] query = MessageWriter.query("/* id=" + Long.toHexString(now + lastRequestNumber) + ",c="
            + config.vocabulary().classes().get(classIndex) + ",t=rehearsal,d=" + timeoutMillis + ",cluster=0 */ "
            + "INSERT INTO facts (code, data) VALUES ('" + Long.toHexString(lastRequestNumber) + "', '\\x00') RETURNING data");
        List<Frame> frames = new ArrayList<>();
        FrameReader reader = FrameReader.ofClient(query.length);
        reader.feed(ByteBuffer.wrap(MessageWriter.startup("rehearsal", "rehearsal")), frame -> { });
        reader.feed(ByteBuffer.wrap(query), frames::add);
        Statement statement = ((ClientMessage.Query) ClientMessage.parse(frames.get(0))).statement();
        statement.withTimeout(timeoutMillis);
        nextEvents.add(new RoutingPolicy.Arrival(++lastRequestNumber, classIndex, 0, 0, statement.sessionKey(),
            requestClass.timeout(), RoutingPolicy.NONE, statement.isRetry()));
    }

    private void addOutcome(RoutingPolicy.Send send) throws ProtocolException {
        Reply reply = new Reply();
        FrameReader reader = FrameReader.ofHost(Reply.MAX_VALUE_BYTES);
        reader.feed(ByteBuffer.wrap(MessageWriter.startupReply()), frame -> { });
        List<Frame> frames = new ArrayList<>();
        reader.feed(ByteBuffer.wrap(MessageWriter.join(
            MessageWriter.parameterStatus("mode", send.member().endsWith("-0") ? "read-write" : "read-only"),
            MessageWriter.result("data", VALUE), MessageWriter.readyForQuery())), frames::add);
        for (Frame frame : frames) {
            reply.accept(frame);
        }
        reply.resultMessages();
        nextEvents.add(new RoutingPolicy.Outcome(send.request(), 0, send.member(), RoutingPolicy.Result.OK, TURN_NANOS, true,
            HostReports.role(reply), HostReports.position(reply, now), HostReports.report(reply, now)));
    }
}
