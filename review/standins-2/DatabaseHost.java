import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

/** Stands in for a database host as the protocol page describes it. What it does with a request is given by a handler. */
final class DatabaseHost implements AutoCloseable {
    private static final int BACKLOG = 512;

    /** Handles one request of a client that a router has sent. */
    interface Handler {
        void handle(Request request) throws IOException, InterruptedException;
    }

    /** A request, when its first and its last byte came (in nanoseconds as by System.nanoTime), and its connection. */
    final class Request {
        final String statement;
        final long firstByteAt;
        final long lastByteAt;
        private final Connection connection;

        Request(String statement, long firstByteAt, long lastByteAt, Connection connection) {
            this.statement = statement;
            this.firstByteAt = firstByteAt;
            this.lastByteAt = lastByteAt;
            this.connection = connection;
        }

        String id() {
            return Wire.field(statement, "id");
        }

        String className() {
            return Wire.field(statement, "c");
        }

        /** The quoted key, which names the session. */
        String session() {
            int start = statement.indexOf('\'') + 1;
            return statement.substring(start, statement.indexOf('\'', start));
        }

        /** Answers with a row; the position is left out where it is 0. */
        void serve(String value, long positionMillis) throws IOException {
            connection.write(answer(value, positionMillis));
        }

        /** Answers with the beginning of an answer, then resets the connection. */
        void serveInPart(String value, long positionMillis) throws IOException, InterruptedException {
            byte[] answer = answer(value, positionMillis);
            connection.write(Arrays.copyOf(answer, ThreadLocalRandom.current().nextInt(answer.length)));
            Thread.sleep(2); // so that the reset does not overtake the bytes before it
            reset();
        }

        private byte[] answer(String value, long positionMillis) {
            byte[] position = positionMillis == 0 ? new byte[0] : Wire.parameterStatus("wal_time", Long.toString(positionMillis));
            return Wire.join(Wire.row(value), mode(), position, Wire.readyForQuery());
        }

        /** Answers with an error. */
        void refuse(String sqlState) throws IOException {
            connection.write(Wire.join(Wire.error(sqlState), mode(), Wire.readyForQuery()));
        }

        /** Resets the connection without an answer. */
        void reset() throws IOException {
            connection.socket.setSoLinger(true, 0);
            connection.socket.close();
        }
    }

    private final class Connection {
        private final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    final String id;
    /** Whether it is the primary now. */
    volatile boolean primary;
    /** How much later than usual a new connection comes up, in milliseconds. */
    volatile LongSupplier connectDelayMillis = () -> 0;
    /** How long a connection may stand idle before the host closes it, in milliseconds. */
    volatile int idleMillis = 30_000;
    /** The position in the log, as Unix time in milliseconds. */
    private final LongSupplier position;
    private final Handler handler;
    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final Map<Socket, Boolean> sockets = new ConcurrentHashMap<>();

    DatabaseHost(String id, boolean primary, LongSupplier position, Handler handler) throws IOException {
        this.id = id;
        this.primary = primary;
        this.position = position;
        this.handler = handler;
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Its entry in discovery's list. */
    String entry(String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address() + "\",\"locality\":\"hall\",\"flavor\":\"std\",\"cell\":0,"
            + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    private byte[] mode() {
        return Wire.parameterStatus("mode", primary ? "read-write" : "read-only");
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            sockets.put(socket, true);
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Connection connection = new Connection(socket);
            Wire.readBody(in);
            Thread.sleep(connectDelayMillis.getAsLong());
            connection.write(Wire.join(Wire.authenticationOk(), Wire.readyForQuery()));
            while (true) {
                socket.setSoTimeout(idleMillis);
                int type = in.read();
                long firstByteAt = System.nanoTime();
                if (type != 'Q') {
                    return;
                }
                socket.setSoTimeout(0);
                byte[] body = Wire.readBody(in);
                answer(new Wire.Message('Q', body).text(), firstByteAt, System.nanoTime(), connection);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(String statement, long firstByteAt, long lastByteAt, Connection connection)
            throws IOException, InterruptedException {
        if (statement.isBlank()) {
            connection.write(Wire.join(Wire.emptyQueryResponse(), Wire.readyForQuery()));
        } else if (statement.equals("SHOW stats")) {
            String report = String.format(java.util.Locale.ROOT, "x0=%.3f,x1=%d", position.getAsLong() / 1e3, primary ? 1 : 0);
            connection.write(Wire.join(Wire.row(report), mode(), Wire.readyForQuery()));
        } else if (statement.equals("SELECT 1")) {
            connection.write(Wire.join(Wire.row("1"), mode(), Wire.readyForQuery()));
        } else {
            handler.handle(new Request(statement, firstByteAt, lastByteAt, connection));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets.keySet()) {
            socket.close();
        }
    }
}
