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
 * Has the virtual machine compile what each request passes, before the first one comes: parsers and a policy of its own
 * work through made-up requests. On part of a core a router that has just started would otherwise be seconds behind its
 * clients, and take its own slowness for its members'. Nothing of it leaves the process, and nothing of it stays.
 */
public final class WarmUp {
    /** Turns, one request each: the compiler takes up what has been called some hundred times. */
    private static final int TURNS = 1_500;
    /** At most this long: a restarted router is missed meanwhile. */
    private static final long LONGEST = Clock.millis(1_200);
    /** Up to so many routers each is asked enough to be worth all of that; of more, each gets a share of the requests. */
    private static final double HANDFUL = 4;
    private static final long TURN = Clock.millis(3);
    private static final int MEMBERS = 4;
    private static final byte[] VALUE = new byte[256];

    private final RouterConfig config;
    private final RoutingPolicy policy;
    private final List<Event> next = new ArrayList<>();
    private long now = Clock.ofSystem().now();
    private long requests;

    private WarmUp(RouterConfig config, RoutingPolicy policy) {
        this.config = config;
        this.policy = policy;
    }

    /** Plays through made-up requests; the number of those that were served. */
    public static long run(RouterConfig config, RoutingPolicy.Factory factory) {
        WarmUp rehearsal = new WarmUp(config, factory.create(config.settings(), config.seed()));
        // Many routers that start at once, as after a release, are missed at once: each rehearses its share.
        double share = Math.min(1, HANDFUL / config.settings().routerCount());
        long end = System.nanoTime() + (long) (share * LONGEST);
        long served = 0;
        try {
            rehearsal.list();
            for (int turn = 0; turn < share * TURNS && System.nanoTime() < end; turn++) {
                served += rehearsal.turn();
            }
        } catch (ProtocolException e) {
            throw new IllegalStateException("the rehearsal's own messages", e);
        }
        return served;
    }

    private void list() {
        List<RoutingPolicy.Listing> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            members.add(new RoutingPolicy.Listing("rehearsed-" + i, 0, 0, 0, RoutingPolicy.Phase.SERVING, 1, false, 0));
        }
        next.add(new RoutingPolicy.MemberList(RoutingPolicy.ListKind.FULL, members));
    }

    /** One request, whatever the policy then asks for, and the answers that come in the turn after. */
    private int turn() throws ProtocolException {
        int classes = config.settings().classes().size();
        if (classes > 0) {
            arrive((int) (requests % classes));
        }
        List<Event> events = List.copyOf(next);
        next.clear();
        int served = 0;
        for (Action action : policy.decide(now, events)) {
            if (action instanceof RoutingPolicy.Send send) {
                served++;
                answer(send);
            } else if (action instanceof RoutingPolicy.Probe probe) {
                next.add(new RoutingPolicy.ProbeResult(probe.member(), RoutingPolicy.Result.OK, TURN,
                    HostReports.report("x0=" + now / 1e9 + ",x1=" + (probe.member().endsWith("-0") ? 1 : 0), now)));
            } else if (action instanceof RoutingPolicy.SetTimer timer) {
                next.add(new RoutingPolicy.TimerFired(timer.handle()));
            }
        }
        now += TURN;
        return served;
    }

    private void arrive(int index) throws ProtocolException {
        RoutingPolicy.RequestClass kind = config.settings().classes().get(index);
        long wait = Clock.toMillis(kind.timeout());
        byte[] query = MessageWriter.query("/* id=" + Long.toHexString(now + requests) + ",c="
            + config.vocabulary().classes().get(index) + ",t=rehearsal,d=" + wait + ",cluster=0 */ "
            + "INSERT INTO facts (code, data) VALUES ('" + Long.toHexString(requests) + "', '\\x00') RETURNING data");
        List<Frame> frames = new ArrayList<>();
        FrameReader reader = FrameReader.ofClient(query.length);
        reader.feed(ByteBuffer.wrap(MessageWriter.startup("rehearsal", "rehearsal")), frame -> { });
        reader.feed(ByteBuffer.wrap(query), frames::add);
        Statement statement = ((ClientMessage.Query) ClientMessage.parse(frames.get(0))).statement();
        statement.withTimeout(wait);
        next.add(new RoutingPolicy.Arrival(++requests, index, 0, 0, statement.sessionKey(), kind.timeout(),
            RoutingPolicy.NONE, statement.isRetry()));
    }

    private void answer(RoutingPolicy.Send send) throws ProtocolException {
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
        next.add(new RoutingPolicy.Outcome(send.request(), 0, send.member(), RoutingPolicy.Result.OK, TURN, true,
            HostReports.role(reply), HostReports.position(reply, now), HostReports.report(reply, now)));
    }
}
