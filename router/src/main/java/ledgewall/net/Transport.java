package ledgewall.net;

import java.io.IOException;
import java.net.InetSocketAddress;
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
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** MINA's side: one I/O processor for what is accepted and what is connected; it only parses and queues. */
final class Transport {
    private static final Logger LOG = LoggerFactory.getLogger(Transport.class);
    private static final String ENDPOINT = "ledgewall.endpoint";
    private static final int BACKLOG = 512;
    private static final int READ_BUFFER = 2 * 1024;
    private static final int LARGEST_READ_BUFFER = 16 * 1024;

    private final Clock clock;
    private final EventLoop loop;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(
        task -> new Thread(task, "ledgewall-io"));
    private final DrainBeforeResetProcessor processor = new DrainBeforeResetProcessor(thread);
    private final NioSocketConnector connector = new NioSocketConnector(processor);
    /** Sockets that are open, whether the loop knows of them yet or still. */
    private final AtomicInteger open = new AtomicInteger();
    private final BackpressureAcceptor acceptor;
    private final AtomicBoolean shortTold = new AtomicBoolean();
    private volatile Runnable whenShort = () -> { };

    /** Accepts connections only while fewer sockets than {@code mostOpen} are open. */
    Transport(Clock clock, EventLoop loop, Counters counters, int mostOpen) {
        this.acceptor = new BackpressureAcceptor(processor, () -> open.get() < mostOpen, this::tellShort, nanos -> {
            counters.add(Counters.Count.ACCEPT_PAUSES);
            counters.add(Counters.Count.ACCEPT_PAUSED_MILLIS, Clock.nanosToMillis(nanos));
            LOG.debug("event=accept_resumed paused_ms={} sockets={} most={}", Clock.nanosToMillis(nanos), open.get(), mostOpen);
        });
        this.clock = clock;
        this.loop = loop;
        connector.setHandler(new Handler(null));
        configure(connector.getSessionConfig());
        configure(acceptor.getSessionConfig());
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.setCloseOnDeactivation(false);
    }

    private static void configure(IoSessionConfig config) {
        config.setReadBufferSize(READ_BUFFER);
        config.setMaxReadBufferSize(LARGEST_READ_BUFFER);
        ((SocketSessionConfig) config).setTcpNoDelay(true);
    }

    /** Says what is to be done while clients wait to be accepted; before connections are accepted. */
    void whenShort(Runnable task) {
        whenShort = task;
    }

    private void tellShort() {
        if (shortTold.compareAndSet(false, true)) {
            loop.post(() -> {
                shortTold.set(false);
                whenShort.run();
            });
        }
    }

    /** Accepts connections from now on; each gets an endpoint of its own. */
    void listen(InetSocketAddress address, Supplier<Endpoint> endpoints) throws IOException {
        acceptor.setHandler(new Handler(endpoints));
        acceptor.bind(address);
    }

    InetSocketAddress listening() {
        return acceptor.getLocalAddress();
    }

    void stopListening() {
        acceptor.unbind();
    }

    /** Begins a connection; {@code failed} is for the loop, if it does not come up. */
    ConnectFuture connect(InetSocketAddress address, Endpoint endpoint, Runnable failed) {
        ConnectFuture future = connector.connect(address,
            (session, connecting) -> session.setAttribute(ENDPOINT, endpoint));
        future.addListener(done -> {
            if (!((ConnectFuture) done).isConnected()) {
                loop.post(failed);
            }
        });
        return future;
    }

    void write(IoSession session, byte[] bytes) {
        session.write(IoBuffer.wrap(bytes));
    }

    /** Waits until all that has come by now is queued for the loop. */
    void catchUp() {
        processor.catchUp();
    }

    /** Ends all connections and threads. */
    void close() {
        acceptor.dispose(false);
        connector.dispose(false);
        processor.dispose();
        thread.shutdown();
    }

    private final class Handler extends IoHandlerAdapter {
        private final Supplier<Endpoint> endpoints;

        private Handler(Supplier<Endpoint> endpoints) {
            this.endpoints = endpoints;
        }

        private Endpoint of(IoSession session) {
            return (Endpoint) session.getAttribute(ENDPOINT);
        }

        @Override
        public void sessionCreated(IoSession session) {
            open.incrementAndGet();
            if (endpoints != null) {
                session.setAttribute(ENDPOINT, endpoints.get());
            }
        }

        @Override
        public void sessionOpened(IoSession session) {
            Endpoint endpoint = of(session);
            loop.post(() -> endpoint.opened(session));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            loop.post(of(session).receive(((IoBuffer) message).buf(), clock.now(), session));
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            Endpoint endpoint = of(session);
            int bytes = ((IoBuffer) message).limit();
            loop.post(() -> endpoint.written(bytes));
        }

        @Override
        public void inputClosed(IoSession session) {
            end(session);
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            open.decrementAndGet();
            end(session);
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow(); // broken connections are ordinary; how each ended is counted
        }

        private void end(IoSession session) {
            Endpoint endpoint = of(session);
            long at = clock.now();
            loop.post(() -> endpoint.ended(at));
        }
    }
}
