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

/** Any number of database hosts of one role behind one loopback port, played by one thread. */
public final class HostFarm implements AutoCloseable {
    private static final int BACKLOG = 4_096;
    private static final int BUFFER = 64 * 1024;
    private static final byte[] VALUE = "v".getBytes(StandardCharsets.UTF_8);

    private final Selector selector = Selector.open();
    private final ServerSocketChannel server = ServerSocketChannel.open();
    private final boolean primary;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong probes = new AtomicLong();
    private final AtomicLong requests = new AtomicLong();
    private volatile Mood mood = Mood.WELL;

    /** What hosts do with connections and queries that come now. */
    public enum Mood {
        WELL,
        /** Connections are accepted, and nothing is said. */
        HANGS,
        /** Each query, and each new connection, is reset. */
        RESETS,
        /** Connections are refused with the code of too many. */
        FULL
    }

    /** What one connection has sent and not been answered. */
    private static final class Conversation {
        private final ByteBuffer in = ByteBuffer.allocate(BUFFER);
        private boolean started;
    }

    public HostFarm(boolean primary) throws IOException {
        this.primary = primary;
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        Thread thread = new Thread(this::run, "host-farm");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + server.socket().getLocalPort();
    }

    public void mood(Mood now) {
        mood = now;
    }

    public int connections() {
        return connections.get();
    }

    public int open() {
        return open.get();
    }

    public long probes() {
        return probes.get();
    }

    public long requests() {
        return requests.get();
    }

    private void run() {
        try {
            while (selector.isOpen()) {
                selector.select(this::serve);
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // closed at the end of a test
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
            end(key);
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            channel.register(selector, SelectionKey.OP_READ, new Conversation());
            connections.incrementAndGet();
            open.incrementAndGet();
        }
    }

    private void end(SelectionKey key) {
        key.cancel();
        open.decrementAndGet();
        try {
            key.channel().close();
        } catch (IOException e) {
            // it has ended either way
        }
    }

    private void read(SelectionKey key) throws IOException {
        Conversation conversation = (Conversation) key.attachment();
        SocketChannel channel = (SocketChannel) key.channel();
        if (channel.read(conversation.in) < 0) {
            end(key);
            return;
        }
        conversation.in.flip();
        while (answer(conversation, channel)) {
            continue;
        }
        conversation.in.compact();
    }

    /** Answers the next whole message; false if there is none. */
    private boolean answer(Conversation conversation, SocketChannel channel) throws IOException {
        ByteBuffer in = conversation.in;
        int header = conversation.started ? 1 : 0;
        if (in.remaining() < header + Integer.BYTES || in.remaining() < header + in.getInt(in.position() + header)) {
            return false;
        }
        byte[] message = new byte[header + in.getInt(in.position() + header)];
        in.get(message);
        if (mood == Mood.RESETS) {
            channel.socket().setSoLinger(true, 0);
            throw new IOException("reset");
        }
        byte[] greeting = mood == Mood.FULL ? Wire.error("53300") : Wire.welcome();
        byte[] reply = conversation.started ? reply(message) : greeting;
        conversation.started = true;
        if (mood != Mood.HANGS && reply.length > 0) {
            channel.write(ByteBuffer.wrap(reply));
        }
        return true;
    }

    private byte[] reply(byte[] message) {
        if (message[0] != 'Q') {
            return new byte[0];
        }
        long now = System.currentTimeMillis();
        if (new String(message, StandardCharsets.UTF_8).contains("SHOW stats")) {
            probes.incrementAndGet();
            String report = "x0=" + now / 1e3 + ",x1=" + (primary ? 1 : 0);
            return Wire.join(Wire.row(report.getBytes(StandardCharsets.UTF_8)), Wire.ready());
        }
        requests.incrementAndGet();
        return Wire.join(Wire.set("mode", primary ? "read-write" : "read-only"), Wire.set("wal_time", "" + now),
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
