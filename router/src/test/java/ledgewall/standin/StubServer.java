package ledgewall.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Listens on a loopback port that the system chooses and gives each connection to a script. */
public final class StandInServer implements AutoCloseable {
    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();

    /** What the other side of a connection says and does; it ends the connection by returning. */
    public interface Script {
        void play(Connection connection) throws IOException;
    }

    /** The stand-in's end of one connection; the first has the number 1. */
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

        /** Reads the startup message and welcomes. */
        public void welcome() throws IOException {
            Message.read(in, false);
            write(Wire.welcome());
        }

        /** The text of the next query, or null at the connection's end. */
        public String query() throws IOException {
            Message message = Message.read(in, true);
            return message == null ? null : message.text().substring(0, message.body().length - 1);
        }

        /** Reads the head of an HTTP request, to its empty line. */
        public String requestHead() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    throw new IOException("the request ended early");
                }
                head.append((char) b);
            }
            return head.toString();
        }

        /** Reads on until the other side ends. */
        public void awaitEnd() throws IOException {
            while (in.read() >= 0) {
                continue;
            }
        }

        /** Ends the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    public StandInServer(Script script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(() -> accept(script));
    }

    /** A host that welcomes everybody and answers each query by what the script says. */
    public static StandInServer host(QueryScript script) throws IOException {
        return new StandInServer(connection -> {
            connection.welcome();
            for (String sql = connection.query(); sql != null; sql = connection.query()) {
                script.answer(connection, sql);
            }
        });
    }

    /** Answers one query. */
    public interface QueryScript {
        void answer(Connection connection, String sql) throws IOException;
    }

    private void accept(Script script) {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Connection connection = new Connection(socket, accepted.incrementAndGet());
                daemon(() -> play(script, connection));
            }
        } catch (IOException e) {
            // closed at the end of a test
        }
    }

    private static void play(Script script, Connection connection) {
        try (connection.socket) {
            script.play(connection);
        } catch (IOException e) {
            // the router ended the connection: what became of it is asserted from the router's side
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    public int accepted() {
        return accepted.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
