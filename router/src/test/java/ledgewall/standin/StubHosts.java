package ledgewall.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stands in for any number of database hosts of one role, with one loopback port and one thread. */
public final class StubHosts implements AutoCloseable {
    private static final int BACKLOG = 4_096;
    private static final int BUFFER_BYTES = 64 * 1024;
    /** Type byte, length and the zero byte that ends the statement. */
    private static final int EMPTY_QUERY_BYTES = 1 + Integer.BYTES + 1;
    private static final byte[] VALUE = "v".getBytes(StandardCharsets.UTF_8);

    /** Requests whose id begins so are recorded. */
    public static final String RECORDED_PREFIX = "h";

    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final boolean primary;
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicLong probeCount = new AtomicLong();
    private final AtomicLong requestCount = new AtomicLong();
    private final ArrivalLog arrivals = new ArrivalLog(RECORDED_PREFIX);
    private volatile Behavior behavior = Behavior.HEALTHY;

    /** How hosts treat connections and queries from now on. */
    public enum Behavior {
        HEALTHY,
        /** Connections are accepted, but no message is answered. */
        UNRESPONSIVE,
        /** The connection is reset at each message, startup messages included. */
        RESETTING,
        /** Startup messages are answered with SQLSTATE 53300, too many connections. */
        REFUSING
    }

    /** A connection's unanswered input, and whether its startup message has been answered. */
    private static final class ConnectionState {
        private final ByteBuffer in = ByteBuffer.allocate(BUFFER_BYTES);
        private boolean started;
    }

    public StubHosts(boolean primary) throws IOException {
        this.primary = primary;
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        Thread thread = new Thread(this::run, "stub-hosts");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + server.socket().getLocalPort();
    }

    public void behavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    /** When requests with recorded ids arrived. */
    public ArrivalLog arrivals() {
        return arrivals;
    }

    /** How many connections have been accepted so far. */
    public int acceptedConnections() {
        return acceptedConnections.get();
    }

    /** How many connections are open. */
    public int openConnections() {
        return openConnections.get();
    }

    /** How many probes have been answered. */
    public long probeCount() {
        return probeCount.get();
    }

    /** How many queries other than probes have been answered. */
    public long requestCount() {
        return requestCount.get();
    }

    private void run() {
        try {
            while (selector.isOpen()) {
                selector.select(this::serve);
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // closed at the end of the test
        }
    }

    private void serve(SelectionKey key) {
        if (!key.isValid()) {
            return;
        }
        try {
            if (key.isAcceptable()) {
                accept();
            } else {
                read(key);
            }
        } catch (IOException e) {
            closeConnection(key);
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            channel.register(selector, SelectionKey.OP_READ, new ConnectionState());
            acceptedConnections.incrementAndGet();
            openConnections.incrementAndGet();
        }
    }

    private void closeConnection(SelectionKey key) {
        key.cancel();
        openConnections.decrementAndGet();
        try {
            key.channel().close();
        } catch (IOException e) {
            // nothing is left to release
        }
    }

    private void read(SelectionKey key) throws IOException {
        ConnectionState state = (ConnectionState) key.attachment();
        SocketChannel channel = (SocketChannel) key.channel();
        if (channel.read(state.in) < 0) {
            closeConnection(key);
            return;
        }
        state.in.flip();
        while (answer(state, channel)) {
            continue;
        }
        state.in.compact();
    }

    /** Answers the next complete message; false if there is none. */
    private boolean answer(ConnectionState state, SocketChannel channel) throws IOException {
        ByteBuffer in = state.in;
        int lengthOffset = state.started ? 1 : 0;
        if (in.remaining() < lengthOffset + Integer.BYTES
                || in.remaining() < lengthOffset + in.getInt(in.position() + lengthOffset)) {
            return false;
        }
        byte[] message = new byte[lengthOffset + in.getInt(in.position() + lengthOffset)];
        in.get(message);
        if (behavior == Behavior.RESETTING) {
            channel.socket().setSoLinger(true, 0);
            throw new IOException("reset");
        }
        if (state.started) {
            arrivals.record(new String(message, StandardCharsets.UTF_8));
        }
        byte[] startupReply = behavior == Behavior.REFUSING ? Wire.error("53300") : Wire.startupReply();
        byte[] reply = state.started ? reply(message) : startupReply;
        state.started = true;
        if (behavior != Behavior.UNRESPONSIVE && reply.length > 0) {
            channel.write(ByteBuffer.wrap(reply));
        }
        return true;
    }

    private byte[] reply(byte[] message) {
        if (message[0] != 'Q') {
            return new byte[0];
        }
        if (message.length == EMPTY_QUERY_BYTES) {
            return Wire.join(Wire.emptyQueryResponse(), Wire.ready());
        }
        long now = System.currentTimeMillis();
        if (new String(message, StandardCharsets.UTF_8).contains("SHOW stats")) {
            probeCount.incrementAndGet();
            return Wire.report(now, primary);
        }
        requestCount.incrementAndGet();
        return Wire.join(Wire.param("mode", primary ? "read-write" : "read-only"), Wire.param("wal_time", "" + now),
            Wire.row(VALUE), Wire.ready());
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
