package ledgewall.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionConfig;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The network transport on MINA: a single I/O processor for accepted and outgoing connections, whose thread only parses
 * input and queues tasks for the event loop.
 */
final class Transport {
    private static final Logger LOG = LoggerFactory.getLogger(Transport.class);
    private static final String ENDPOINT_ATTRIBUTE = "ledgewall.endpoint";
    private static final int ACCEPT_BACKLOG = 512;
    private static final int READ_BUFFER_BYTES = 2 * 1024;
    /** Of a client, whose short commands the I/O thread parses before it reads from the next client. */
    private static final int MAX_CLIENT_READ_BYTES = 8 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final Clock clock;
    private final EventLoop loop;
    private final Counters counters;
    private final ExecutorService ioExecutor = Executors.newSingleThreadExecutor(this::newIoThread);
    private final DrainBeforeResetProcessor processor;
    private final NioSocketConnector connector;
    /** Sockets that are open, including those that the event loop does not track yet or no longer tracks. */
    private final AtomicInteger openSockets = new AtomicInteger();
    private final BackpressureAcceptor acceptor;
    /** Whether {@link #acceptBlockedTask} is queued for the event loop and has not run yet. */
    private final AtomicBoolean acceptBlockedPending = new AtomicBoolean();
    private volatile Runnable acceptBlockedTask = () -> { };
    private volatile Runnable ioFailureTask = () -> { };

    /** Accepts connections only while fewer than {@code maxOpenSockets} sockets are open. */
    Transport(Clock clock, EventLoop loop, Counters counters, int maxOpenSockets) {
        this.processor = new DrainBeforeResetProcessor(ioExecutor, clock, loop::checkForStall);
        this.connector = new NioSocketConnector(processor);
        this.acceptor = new BackpressureAcceptor(processor, () -> openSockets.get() < maxOpenSockets,
            this::notifyAcceptBlocked, nanos -> {
                counters.add(Counters.Count.ACCEPT_PAUSES);
                counters.add(Counters.Count.ACCEPT_PAUSED_MILLIS, Clock.nanosToMillis(nanos));
                LOG.debug("event=accept_resumed paused_ms={} sockets={} most={}", Clock.nanosToMillis(nanos),
                    openSockets.get(), maxOpenSockets);
            });
        this.clock = clock;
        this.loop = loop;
        this.counters = counters;
        connector.setHandler(new Handler(null));
        configure(connector.getSessionConfig(), MAX_READ_BYTES);
        configure(acceptor.getSessionConfig(), MAX_CLIENT_READ_BYTES);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.setCloseOnDeactivation(false);
    }

    private static void configure(IoSessionConfig config, int maxReadBytes) {
        config.setReadBufferSize(READ_BUFFER_BYTES);
        config.setMaxReadBufferSize(maxReadBytes);
        ((SocketSessionConfig) config).setTcpNoDelay(true);
    }

    /** Sets the task to run while clients wait to be accepted; must be called before connections are accepted. */
    void onAcceptBlocked(Runnable task) {
        acceptBlockedTask = task;
    }

    /** Sets the task to run if the I/O thread ends with an error: nothing is read or written any more. */
    void onIoFailure(Runnable task) {
        ioFailureTask = task;
    }

    private Thread newIoThread(Runnable task) {
        Thread thread = new Thread(task, "ledgewall-io");
        thread.setUncaughtExceptionHandler((ended, error) -> {
            LOG.error("event=io_thread_ended: the router ends, as it can neither read nor write", error);
            ioFailureTask.run();
        });
        return thread;
    }

    private void notifyAcceptBlocked() {
        if (acceptBlockedPending.compareAndSet(false, true)) {
            loop.post(() -> {
                acceptBlockedPending.set(false);
                acceptBlockedTask.run();
            });
        }
    }

    /** Starts to accept connections; each gets an endpoint of its own. */
    void listen(InetSocketAddress address, Supplier<Endpoint> endpointFactory) throws IOException {
        acceptor.setHandler(new Handler(endpointFactory));
        acceptor.bind(address);
    }

    /** The local address on which connections are accepted. */
    InetSocketAddress boundAddress() {
        return acceptor.getLocalAddress();
    }

    void stopListening() {
        acceptor.unbind();
    }

    /** Opens a connection; if that fails, {@code onFailure} runs on the event loop. */
    ConnectFuture connect(InetSocketAddress address, Endpoint endpoint, Runnable onFailure) {
        ConnectFuture future = connector.connect(address, (session, connectFuture) -> {
            session.setAttribute(ENDPOINT_ATTRIBUTE, endpoint);
            session.setAttribute(DrainBeforeResetProcessor.WRITE_DEADLINE_ATTRIBUTE, endpoint.writeDeadline());
        });
        future.addListener(done -> {
            if (!((ConnectFuture) done).isConnected()) {
                loop.post(onFailure);
            }
        });
        return future;
    }

    void write(IoSession session, byte[] bytes) {
        session.write(IoBuffer.wrap(bytes));
    }

    /** Whether the kernel holds bytes of the connection that have not been read. */
    static boolean hasUnreadBytes(IoSession session) {
        if (!(session instanceof NioSession nioSession) || !(nioSession.getChannel() instanceof SocketChannel channel)) {
            return false;
        }
        try {
            return channel.socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false; // closed already
        }
    }

    /** Waits until everything received so far has been read and queued for the event loop. */
    void awaitPendingReads() {
        processor.awaitPendingReads();
    }

    /** Runs a task on the event loop once what has been received so far has been read, up to a buffer for each connection. */
    void afterPendingReads(Runnable task) {
        processor.afterPendingReads(() -> loop.post(task));
    }

    /** Closes all connections and ends all threads. */
    void close() {
        acceptor.dispose(false);
        connector.dispose(false);
        processor.dispose();
        ioExecutor.shutdown();
    }

    private final class Handler extends IoHandlerAdapter {
        private final Supplier<Endpoint> endpointFactory;

        private Handler(Supplier<Endpoint> endpointFactory) {
            this.endpointFactory = endpointFactory;
        }

        private Endpoint endpointOf(IoSession session) {
            return (Endpoint) session.getAttribute(ENDPOINT_ATTRIBUTE);
        }

        @Override
        public void sessionCreated(IoSession session) {
            openSockets.incrementAndGet();
            if (endpointFactory != null) {
                Endpoint endpoint = endpointFactory.get();
                session.setAttribute(ENDPOINT_ATTRIBUTE, endpoint);
                session.setAttribute(DrainBeforeResetProcessor.READ_GATE_ATTRIBUTE, endpoint.readGate());
            }
        }

        @Override
        public void sessionOpened(IoSession session) {
            Endpoint endpoint = endpointOf(session);
            loop.post(() -> endpoint.opened(session));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            try {
                loop.post(endpointOf(session).receive(((IoBuffer) message).buf(), clock.now(), session));
            } catch (OutOfMemoryError e) {
                counters.add(Counters.Count.FAILED_TASKS);
                session.closeNow(); // what was read of it is lost, and with it the place in the stream
            }
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            Endpoint endpoint = endpointOf(session);
            int bytes = ((IoBuffer) message).limit();
            loop.post(() -> endpoint.written(bytes));
        }

        @Override
        public void inputClosed(IoSession session) {
            session.suspendRead(); // the end of the stream would be read again and again
            Endpoint endpoint = endpointOf(session);
            long at = clock.now();
            loop.post(() -> endpoint.inputEnded(at));
        }

        @Override
        public void sessionClosed(IoSession session) {
            openSockets.decrementAndGet();
            Endpoint endpoint = endpointOf(session);
            long at = clock.now();
            loop.post(() -> endpoint.disconnected(at));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow(); // broken connections are expected; the outcome of each is counted
        }
    }
}
