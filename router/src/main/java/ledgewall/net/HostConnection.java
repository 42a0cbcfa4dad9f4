package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import ledgewall.pg.Frame;
import ledgewall.pg.FrameReader;
import ledgewall.pg.StartupReply;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.QueryBarrier;
import ledgewall.pg.Reply;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** A connection from the router to a member. It carries one exchange at a time. */
final class HostConnection implements Endpoint {
    /** The largest value that a row may hold, and room for the row's header. */
    private static final int MAX_MESSAGE_BYTES = Reply.MAX_VALUE_BYTES + 1024;
    private static final byte[] STARTUP_MESSAGE = MessageWriter.startup("ledgewall", "ledgewall");

    private enum State {
        CONNECTING,
        STARTUP,
        IDLE,
        /** An exchange waits until the barrier behind the query before is passed. */
        WAITING,
        BUSY,
        CLOSED
    }

    private final RouterContext context;
    private final FrameReader frameReader = FrameReader.ofHost(MAX_MESSAGE_BYTES);
    private final QueuedReads queuedReads = new QueuedReads();
    private final StartupReply startupReply = new StartupReply();
    private final Consumer<HostConnection> onIdle;
    private final Consumer<HostConnection> onClosed;
    private ConnectFuture connectFuture;
    private EventLoop.Timer connectTimer;
    private IoSession session;
    private State state = State.CONNECTING;
    private Exchange exchange;
    private Reply reply = new Reply();
    private final QueryBarrier barrier = new QueryBarrier();
    /** Until when the current query may be written. */
    private final WriteDeadline writeDeadline = new WriteDeadline();
    /** Whether the current query has been written to its last byte. */
    private boolean queryWritten;
    /** Whether the exchange has been told that the answer's row is complete. */
    private boolean servedNotified;
    /** In nanoseconds on the event loop's clock. */
    private long idleSince;
    private boolean idleAfterProbe;

    HostConnection(RouterContext context, Consumer<HostConnection> onIdle, Consumer<HostConnection> onClosed) {
        this.context = context;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    /** Connects, performs the start-up handshake, then runs the exchange. */
    void connect(InetSocketAddress address, Exchange first) {
        exchange = first;
        context.descriptors().acquire();
        context.counters().add(Counters.Count.HOST_CONNECTIONS);
        if (context.connectTimeoutNanos() > 0) {
            connectTimer = context.loop().runAfter(context.connectTimeoutNanos(), this::connectTimedOut);
        }
        connectFuture = context.transport().connect(address, this,
            () -> fail(AttemptOutcome.CONNECT_REFUSED, context.loop().now()));
    }

    private void connectTimedOut() {
        if (state == State.CONNECTING || state == State.STARTUP) {
            fail(AttemptOutcome.CONNECT_TIMED_OUT, context.loop().now());
        }
    }

    @Override
    public void opened(IoSession newSession) {
        session = newSession;
        if (state == State.CLOSED) {
            session.closeNow(); // closed by the router while connecting
            return;
        }
        state = State.STARTUP;
        context.transport().write(session, STARTUP_MESSAGE);
    }

    /** Runs another exchange on this idle connection, as soon as no surplus data of the query before can arrive. */
    void start(Exchange next) {
        exchange = next;
        reply = new Reply();
        if (barrier.isPassed()) {
            sendQuery();
        } else {
            state = State.WAITING;
        }
    }

    private void sendQuery() {
        if (!exchange.isStillWanted()) {
            returnUnused(AttemptOutcome.NEVER_SENT);
            return;
        }
        long now = context.clock().now();
        long latestWrite = exchange.latestWrite(now);
        if (latestWrite < now) {
            returnUnused(AttemptOutcome.WITHDRAWN);
            return;
        }
        state = State.BUSY;
        reply = new Reply();
        queryWritten = false;
        servedNotified = false;
        exchange.started(now);
        writeDeadline.set(latestWrite);
        context.transport().write(session, exchange.query(now));
    }

    /** Has the current query not be written, if the I/O thread has not written all of it: nobody wants it any more. */
    void withdrawUnwritten() {
        if (state == State.BUSY && !queryWritten) {
            writeDeadline.expire();
        }
    }

    /** Makes the connection available to other exchanges; its own has waited for it until it must not be sent any more. */
    private void returnUnused(AttemptOutcome reason) {
        Exchange unwanted = exchange;
        exchange = null;
        state = State.IDLE;
        idleSince = context.loop().now();
        onIdle.accept(this);
        unwanted.ended(reason, new Reply(), idleSince);
    }

    @Override
    public WriteDeadline writeDeadline() {
        return writeDeadline;
    }

    @Override
    public void written(int bytes) {
        queryWritten |= state == State.BUSY;
    }

    @Override
    public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
        return queuedReads.queue(from, parse(bytes, at));
    }

    private Runnable parse(ByteBuffer bytes, long at) {
        List<Frame> received = new ArrayList<>();
        try {
            frameReader.feed(bytes, received::add);
        } catch (ProtocolException e) {
            return () -> {
                process(received, at);
                failOnProtocolError(at);
            };
        }
        int bufferedBytes = frameReader.bufferedBytes();
        return () -> {
            boolean unsolicited = state == State.BUSY && !queryWritten; // received before the query was fully written
            if (!unsolicited) {
                process(received, at);
            }
            if (unsolicited || bufferedBytes > 0 && expectsNothing()) {
                // data beyond the previous answer: what follows could be mistaken for the answer to another request
                failOnProtocolError(at);
            }
        };
    }

    /** Whether the host owes no reply, so that whatever it sends is surplus data of an earlier query. */
    private boolean expectsNothing() {
        return state == State.IDLE && barrier.isPassed() || state == State.BUSY && !queryWritten;
    }

    private void process(List<Frame> received, long at) {
        try {
            for (Frame frame : received) {
                process(frame, at);
            }
        } catch (ProtocolException e) {
            failOnProtocolError(at);
        }
    }

    private void process(Frame frame, long at) throws ProtocolException {
        switch (state) {
            case STARTUP -> processStartup(frame, at);
            case BUSY -> processReply(frame, at);
            case IDLE, WAITING -> processBetweenQueries(frame, at);
            default -> { }
        }
    }

    private void processBetweenQueries(Frame frame, long at) throws ProtocolException {
        if (!barrier.isPassed()) {
            barrier.accept(frame);
            if (barrier.isPassed() && state == State.WAITING) {
                sendQuery();
            }
        } else if (frame.type() != 'N' && frame.type() != 'S') {
            // a message that ends the session, or an answer without a query
            context.counters().add(Counters.Count.STRAY_ANSWERS, frame.type() == 'E' ? 0 : 1);
            fail(AttemptOutcome.BROKEN_BEFORE_WRITTEN, at);
        }
    }

    private void processStartup(Frame frame, long at) throws ProtocolException {
        startupReply.accept(frame);
        if (startupReply.sqlState() != null) {
            fail(AttemptOutcome.ofStartupError(startupReply.sqlState()), at);
        } else if (startupReply.ready()) {
            cancelConnectTimer();
            sendQuery();
        }
    }

    private void processReply(Frame frame, long at) throws ProtocolException {
        if (!queryWritten) {
            throw new ProtocolException("an answer before its query");
        }
        reply.accept(frame);
        if (reply.succeeded() && !servedNotified) {
            servedNotified = true;
            exchange.served(reply);
        }
        if (reply.ready()) {
            Exchange finished = exchange;
            exchange = null;
            idleAfterProbe = finished.isProbe();
            state = State.IDLE;
            queryWritten = false;
            idleSince = context.loop().now();
            writeDeadline.clear();
            context.transport().write(session, barrier.begin(reply));
            onIdle.accept(this);
            finished.ended(outcomeOfReply(), reply, at);
        }
    }

    private AttemptOutcome outcomeOfReply() {
        return reply.succeeded() ? AttemptOutcome.SERVED : AttemptOutcome.ofSqlState(reply.sqlState());
    }

    private void failOnProtocolError(long at) {
        if (state == State.CLOSED) {
            return;
        }
        context.counters().add(Counters.Count.BAD_HOSTS);
        if (!barrier.isPassed() || expectsNothing()) {
            context.counters().add(Counters.Count.STRAY_ANSWERS);
        }
        fail(switch (state) {
            case BUSY -> AttemptOutcome.GARBLED;
            case WAITING -> AttemptOutcome.STRAY_ANSWER;
            default -> AttemptOutcome.BROKEN_BEFORE_WRITTEN;
        }, at);
    }

    @Override
    public void inputEnded(long at) {
        disconnected(at);
    }

    @Override
    public void disconnected(long at) {
        fail(queryWritten ? AttemptOutcome.BROKEN_AFTER_WRITTEN
            : writeDeadline.isMissed() ? AttemptOutcome.WITHDRAWN : AttemptOutcome.BROKEN_BEFORE_WRITTEN, at);
    }

    /** Closes the connection; its exchange ends with the outcome of its answer if that is complete, else as given. */
    private void fail(AttemptOutcome outcomeWithoutAnswer, long at) {
        if (state == State.CLOSED) {
            return;
        }
        Exchange interrupted = exchange;
        boolean answerComplete = state == State.BUSY && (reply.succeeded() || reply.sqlState() != null);
        AttemptOutcome outcome = answerComplete ? outcomeOfReply() : outcomeWithoutAnswer;
        close();
        if (interrupted != null) {
            interrupted.ended(outcome, reply, at);
        }
    }

    /** Closes the connection without notifying its exchange, which the caller has abandoned. */
    void close() {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        exchange = null;
        cancelConnectTimer();
        if (session != null) {
            session.closeNow();
        } else if (connectFuture != null) {
            connectFuture.cancel();
        }
        context.descriptors().release();
        onClosed.accept(this);
    }

    private void cancelConnectTimer() {
        if (connectTimer != null) {
            connectTimer.cancel();
        }
    }

    /** Whether the answer is complete although ReadyForQuery has not arrived. */
    boolean isAnswered() {
        return state == State.BUSY && (reply.succeeded() || reply.sqlState() != null);
    }

    /** The outcome of the current exchange by the answer received so far. */
    AttemptOutcome answerOutcome() {
        return outcomeOfReply();
    }

    Reply reply() {
        return reply;
    }

    /** When the connection became idle, in nanoseconds on the event loop's clock. */
    long idleSince() {
        return idleSince;
    }

    /** Whether the next exchange can be sent at once, since no surplus data of the one before is on its way. */
    boolean isVerified() {
        return barrier.isPassed();
    }

    /** Whether the last exchange was a probe. */
    boolean isIdleAfterProbe() {
        return idleAfterProbe;
    }
}
