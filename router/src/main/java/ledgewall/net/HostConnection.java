package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import ledgewall.pg.Frame;
import ledgewall.pg.FrameReader;
import ledgewall.pg.Greeting;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.Reply;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** A connection to a member's host. It carries one exchange at a time. */
final class HostConnection implements Endpoint {
    /** A row of the longest value, with its header. */
    private static final int LONGEST_MESSAGE = Reply.LONGEST_VALUE + 1024;
    private static final byte[] STARTUP = MessageWriter.startup("ledgewall", "ledgewall");

    private enum Stage { CONNECTING, GREETING, IDLE, BUSY, CLOSED }

    private final RouterContext wiring;
    private final FrameReader frames = FrameReader.ofHost(LONGEST_MESSAGE);
    private final Greeting greeting = new Greeting();
    private final Consumer<HostConnection> whenIdle;
    private final Consumer<HostConnection> whenClosed;
    private ConnectFuture connecting;
    private EventLoop.Timer connectTimer;
    private IoSession session;
    private Stage stage = Stage.CONNECTING;
    private Exchange exchange;
    private Reply reply = new Reply();
    private boolean written;
    private boolean servedTold;
    /** What the last probe on this connection was answered with, or null. */
    private byte[] probeAnswer;
    private long idleSince;
    private boolean idleAfterProbe;

    HostConnection(RouterContext wiring, Consumer<HostConnection> whenIdle, Consumer<HostConnection> whenClosed) {
        this.wiring = wiring;
        this.whenIdle = whenIdle;
        this.whenClosed = whenClosed;
    }

    /** Connects and greets; then carries out the exchange. */
    void connect(InetSocketAddress address, Exchange first) {
        exchange = first;
        wiring.descriptors().take();
        wiring.counters().add(Counters.Count.HOST_CONNECTIONS);
        if (wiring.connectTimeoutNanos() > 0) {
            connectTimer = wiring.loop().runAfter(wiring.connectTimeoutNanos(), this::connectTimedOut);
        }
        connecting = wiring.transport().connect(address, this,
            () -> fail(AttemptOutcome.CONNECT_REFUSED, wiring.loop().now()));
    }

    private void connectTimedOut() {
        if (stage == Stage.CONNECTING || stage == Stage.GREETING) {
            fail(AttemptOutcome.CONNECT_TIMED_OUT, wiring.loop().now());
        }
    }

    @Override
    public void opened(IoSession opened) {
        session = opened;
        if (stage == Stage.CLOSED) {
            session.closeNow(); // given up while it came up
            return;
        }
        stage = Stage.GREETING;
        wiring.transport().write(session, STARTUP);
    }

    /** Carries out another exchange on this idle connection. */
    void start(Exchange next) {
        exchange = next;
        begin();
    }

    private void begin() {
        stage = Stage.BUSY;
        reply = new Reply();
        written = false;
        servedTold = false;
        exchange.begun(wiring.clock().now());
        wiring.transport().write(session, exchange.query());
    }

    @Override
    public void written(int bytes) {
        written |= stage == Stage.BUSY;
    }

    @Override
    public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
        List<Frame> received = new ArrayList<>();
        try {
            frames.feed(bytes, received::add);
        } catch (ProtocolException e) {
            return () -> {
                take(received, at);
                garbled(at);
            };
        }
        int rest = frames.held();
        return () -> {
            boolean unasked = stage == Stage.BUSY && !written; // it came before the request had gone out
            if (!unasked) {
                take(received, at);
            }
            if (unasked || rest > 0 && stage == Stage.IDLE) {
                garbled(at); // more than belongs to the answer before: what comes next could pass for another's
            }
        };
    }

    private void take(List<Frame> received, long at) {
        try {
            for (Frame frame : received) {
                take(frame, at);
            }
        } catch (ProtocolException e) {
            garbled(at);
        }
    }

    private void take(Frame frame, long at) throws ProtocolException {
        switch (stage) {
            case GREETING -> greet(frame, at);
            case BUSY -> answer(frame, at);
            case IDLE -> {
                if (frame.type() != 'N' && frame.type() != 'S') {
                    fail(AttemptOutcome.BROKEN_BEFORE_WRITTEN, at); // a farewell, or an answer to nothing
                }
            }
            default -> { }
        }
    }

    private void greet(Frame frame, long at) throws ProtocolException {
        greeting.accept(frame);
        if (greeting.sqlState() != null) {
            fail(AttemptOutcome.ofStartupError(greeting.sqlState()), at);
        } else if (greeting.ready()) {
            cancelConnectTimer();
            begin();
        }
    }

    private void answer(Frame frame, long at) throws ProtocolException {
        reply.accept(frame);
        if (reply.served() && !servedTold && isCopyOfProbeAnswer()) {
            reply = new Reply();
            garbled(at);
            return;
        }
        if (reply.served() && !servedTold) {
            servedTold = true;
            exchange.served(reply);
        }
        if (reply.ready()) {
            Exchange over = exchange;
            exchange = null;
            idleAfterProbe = over.isProbe();
            probeAnswer = over.isProbe() && reply.served() ? reply.answer() : probeAnswer;
            stage = Stage.IDLE;
            idleSince = wiring.loop().now();
            whenIdle.accept(this);
            over.ended(answered(), reply, at);
        }
    }

    /** Whether a request was answered with what the host said to the probe before: a second copy that came late. */
    private boolean isCopyOfProbeAnswer() {
        return probeAnswer != null && !exchange.isProbe() && Arrays.equals(probeAnswer, reply.answer());
    }

    private AttemptOutcome answered() {
        return reply.served() ? AttemptOutcome.SERVED : AttemptOutcome.ofSqlState(reply.sqlState());
    }

    private void garbled(long at) {
        if (stage == Stage.CLOSED) {
            return;
        }
        wiring.counters().add(Counters.Count.BAD_HOSTS);
        fail(stage == Stage.BUSY ? AttemptOutcome.GARBLED : AttemptOutcome.BROKEN_BEFORE_WRITTEN, at);
    }

    @Override
    public void ended(long at) {
        fail(written ? AttemptOutcome.BROKEN_AFTER_WRITTEN : AttemptOutcome.BROKEN_BEFORE_WRITTEN, at);
    }

    /** Ends the connection; what it carried ends by what has come of its answer, else as given. */
    private void fail(AttemptOutcome ending, long at) {
        if (stage == Stage.CLOSED) {
            return;
        }
        Exchange cut = exchange;
        boolean whole = stage == Stage.BUSY && (reply.served() || reply.sqlState() != null);
        AttemptOutcome last = whole ? answered() : ending;
        close();
        if (cut != null) {
            cut.ended(last, reply, at);
        }
    }

    /** Ends the connection without a word to its exchange, which is given up. */
    void close() {
        if (stage == Stage.CLOSED) {
            return;
        }
        stage = Stage.CLOSED;
        exchange = null;
        cancelConnectTimer();
        if (session != null) {
            session.closeNow();
        } else if (connecting != null) {
            connecting.cancel();
        }
        wiring.descriptors().release();
        whenClosed.accept(this);
    }

    private void cancelConnectTimer() {
        if (connectTimer != null) {
            connectTimer.cancel();
        }
    }

    /** Whether the last byte of what it carries has gone out. */
    boolean isWritten() {
        return written;
    }

    /** Whether a whole answer is in hand, though its end is not. */
    boolean isAnswered() {
        return stage == Stage.BUSY && (reply.served() || reply.sqlState() != null);
    }

    /** How what it carries would end by the answer in hand. */
    AttemptOutcome endingInHand() {
        return answered();
    }

    Reply reply() {
        return reply;
    }

    boolean isIdle() {
        return stage == Stage.IDLE;
    }

    long idleSince() {
        return idleSince;
    }

    /** Whether what it carried last was a probe, of whose answer a copy is known. */
    boolean isIdleAfterProbe() {
        return idleAfterProbe;
    }
}
