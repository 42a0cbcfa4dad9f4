import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Clients that keep their connections, use any that is free, and open more when all of them are busy. */
final class Clients {
    private final InetSocketAddress router;
    private final List<Connection> free = new ArrayList<>();
    private final Random random = new Random(1);
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "client", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    });

    Clients(InetSocketAddress router) {
        this.router = router;
    }

    /** How a request ended: {@code served}, {@code refused}, {@code failed}, {@code closed} or {@code silent}. */
    record Answer(String kind, String detail) { }

    interface Listener {
        void ended(Answer answer);
    }

    /** Opens connections that are used from now on. */
    void open(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Connection connection = new Connection(router);
            connection.awaitReady();
            connection.socket.getOutputStream().write(Wire.query(""));
            connection.awaitReady();
            connection.used = true;
            synchronized (free) {
                free.add(connection);
            }
        }
    }

    static final class Connection {
        final Socket socket = new Socket();
        final DataInputStream in;
        boolean used;

        Connection(InetSocketAddress router) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(router, 2_000);
            socket.getOutputStream().write(Wire.startup());
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        }

        /** Reads up to the ReadyForQuery of the start. */
        void awaitReady() throws IOException {
            while (Wire.read(in).type() != 'Z') {
                continue;
            }
        }

        /** Reads one command's answer, up to its ReadyForQuery. */
        Answer readAnswer() throws IOException {
            Answer answer = null;
            for (Wire.Message message = Wire.read(in);; message = Wire.read(in)) {
                switch (message.type()) {
                    case 'D' -> answer = new Answer("served", Wire.value(message));
                    case 'E' -> {
                        String code = Wire.sqlState(message);
                        answer = new Answer(code.equals("53300") || code.equals("57P03") ? "refused" : "failed", code);
                        if (message.text().startsWith("SFATAL")) {
                            return answer;
                        }
                    }
                    case 'Z' -> {
                        return answer;
                    }
                    default -> { }
                }
            }
        }
    }

    /** Sends a request, on a free connection or a new one, and reports how it ended. */
    void send(String sql, int waitMillis, Listener listener) {
        threads.execute(() -> listener.ended(exchange(sql, waitMillis)));
    }

    /** Sends a request, on a free connection or a new one, and waits until it has ended. */
    Answer exchange(String sql, int waitMillis) {
        for (int attempt = 0; ; attempt++) {
            Connection connection = null;
            try {
                synchronized (free) {
                    // once more, on a new connection, where the closing of a resting one crossed the request
                    connection = free.isEmpty() || attempt > 0 ? null : free.remove(random.nextInt(free.size()));
                }
                if (connection == null) {
                    connection = new Connection(router);
                    connection.awaitReady();
                }
                connection.socket.setSoTimeout(waitMillis + 1_000);
                connection.socket.getOutputStream().write(Wire.query(sql));
                Answer answer = connection.readAnswer();
                connection.used = true;
                synchronized (free) {
                    free.add(connection);
                }
                return answer;
            } catch (java.net.SocketTimeoutException e) {
                close(connection);
                return new Answer("silent", "");
            } catch (IOException e) {
                close(connection);
                if (connection == null || !connection.used || attempt > 0) {
                    return new Answer("closed", e.toString());
                }
            }
        }
    }

    private static void close(Connection connection) {
        try {
            if (connection != null) {
                connection.socket.close();
            }
        } catch (IOException e) {
            // closed all the same
        }
    }
}
