package ledgewall.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Listens on a loopback port that the system chooses and runs a script for each connection. */
public final class StubServer implements AutoCloseable {
    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger acceptedCount = new AtomicInteger();

    /** The server's side of a connection, which is closed when the script returns. */
    public interface Script {
        /** Runs the script on a new connection. */
        void play(Connection connection) throws IOException;
    }

    /** The server's end of one connection; the first accepted one has the number 1. */
    public static final class Connection {
        private final Socket socket;
        private final int number;
        private final DataInputStream in;

        private Connection(Socket socket, int number) throws IOException {
            this.socket = socket;
            this.number = number;
            this.in = new DataInputStream(socket.getInputStream());
        }

        public int number() {
            return number;
        }

        public DataInputStream in() {
            return in;
        }

        public void write(byte[]... parts) throws IOException {
            socket.getOutputStream().write(Wire.join(parts));
            socket.getOutputStream().flush();
        }

        /** Reads the startup message and replies to it. */
        public void acceptStartup() throws IOException {
            Message.read(in, false);
            write(Wire.startupReply());
        }

        /** Reads the next query, which may be empty; null at the end of the stream. */
        public String readAnyQuery() throws IOException {
            Message message = Message.read(in, true);
            return message == null ? null : message.text().substring(0, message.body().length - 1);
        }

        /** Replies to empty queries as PostgreSQL does, and returns the next query with a statement; null at the end. */
        public String readQuery() throws IOException {
            String sql = readAnyQuery();
            while (sql != null && sql.isEmpty()) {
                write(Wire.emptyQueryResponse(), Wire.ready());
                sql = readAnyQuery();
            }
            return sql;
        }

        /** Reads the head of an HTTP request up to and including the empty line. */
        public String readRequestHead() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("the connection ended within the request's head");
                }
                head.append((char) b);
            }
            return head.toString();
        }

        /** Discards input until the other side closes the connection. */
        public void awaitClose() throws IOException {
            while (in.read() >= 0) {
                continue;
            }
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public StubServer(Script script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(() -> accept(script));
    }

    /** A host that accepts every startup message and runs the script for each query. */
    public static StubServer host(QueryScript script) throws IOException {
        return new StubServer(connection -> {
            connection.acceptStartup();
            for (String sql = connection.readQuery(); sql != null; sql = connection.readQuery()) {
                script.answer(connection, sql);
            }
        });
    }

    /** Replies to one query. */
    public interface QueryScript {
        void answer(Connection connection, String sql) throws IOException;
    }

    private void accept(Script script) {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Connection connection = new Connection(socket, acceptedCount.incrementAndGet());
                startDaemon(() -> runScript(script, connection));
            }
        } catch (IOException e) {
            // closed at the end of the test
        }
    }

    private static void runScript(Script script, Connection connection) {
        try (connection.socket) {
            script.play(connection);
        } catch (IOException e) {
            // the router closed the connection: tests check the effect on the router's side
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "stub-server");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    public int acceptedCount() {
        return acceptedCount.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
