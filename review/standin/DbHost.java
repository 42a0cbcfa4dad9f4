import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A database host behind a network of its own: what it gets and what it writes arrives after {@link #oneWayMillis}, and each
 * piece a little sooner or later. It serves simple queries and probes as the protocol page describes them.
 */
class DbHost implements AutoCloseable {
    final String id;
    final int group;
    volatile boolean primary;
    final Replica replica;
    final Record record;
    final Random random;
    final ServerSocket server;
    /** The network: one way, in milliseconds, and how much sooner or later a piece may be. */
    double oneWayMillis = 0.3;
    double jitter = 0.2;
    double meanWorkMillis = 12;
    double probeMillis = 0.3;
    double reportPeriodMillis = 100;
    /** The bound on a read's data by class; classes that are not named take any data. */
    Map<String, Long> boundMillis = Map.of();
    boolean refusesStaleReads = true;
    boolean tellsPositions;
    private final Set<Socket> connections = new HashSet<>();
    private double reportPosition;
    private boolean reportPrimary;
    private long reportAt;

    DbHost(String id, int group, boolean primary, Record record, long seed) throws IOException {
        this.id = id;
        this.group = group;
        this.primary = primary;
        this.record = record;
        this.random = new Random(seed);
        this.replica = new Replica(4.8 + 9.2 * random.nextDouble());
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    }

    /** Begins to serve; what a test sets has to be set before. */
    void open() {
        Threads.start(id, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                synchronized (connections) {
                    connections.removeIf(Socket::isClosed);
                    connections.add(socket);
                }
                connection(socket).open();
            }
        });
    }

    /** The process dies: its connections are reset, and new ones are refused. */
    void die() throws IOException {
        server.close();
        synchronized (connections) {
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    Connection connection(Socket socket) {
        return new Connection(socket);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    String entry(String phase, String locality) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address() + "\",\"locality\":\"" + locality
            + "\",\"flavor\":\"std-3c\",\"cell\":" + group + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    double position() {
        return primary ? Replica.unixMillis() : replica.position();
    }

    synchronized String report() {
        long period = (long) (reportPeriodMillis * 1e6);
        if (reportAt == 0 || System.nanoTime() >= reportAt + period) {
            reportAt = reportAt == 0 ? System.nanoTime() - (long) (random.nextDouble() * period)
                : reportAt + (System.nanoTime() - reportAt) / period * period;
            reportPosition = position();
            reportPrimary = primary;
        }
        return String.format(Locale.ROOT, "x0=%.3f,x1=%d", Math.floor(reportPosition) / 1e3, reportPrimary ? 1 : 0);
    }

    /** One connection. Each piece is written to the socket when the network has carried it. */
    class Connection {
        final Socket socket;
        /** What the host has, but has not begun; guarded by this. */
        private final ArrayDeque<Wire.Message> waiting = new ArrayDeque<>();
        private final ArrayDeque<byte[]> pieces = new ArrayDeque<>();
        private boolean busy;
        private long lastIn;
        private long lastOut;

        Connection(Socket socket) {
            this.socket = socket;
        }

        void open() {
            Threads.start(id + "-in", () -> {
                try (socket) {
                    DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
                    byte[] startup = new byte[in.readInt() - 4];
                    in.readFully(startup);
                    lastIn = System.nanoTime() + travel();
                    Threads.at(lastIn, this::welcome);
                    while (true) {
                        Wire.Message message = Wire.read(in);
                        if (message.type() == 'X') {
                            return;
                        }
                        lastIn = Math.max(lastIn, System.nanoTime() + travel());
                        Threads.at(lastIn, () -> arrive(message));
                    }
                } finally {
                    ended();
                }
            });
        }

        /** The router has closed the connection, or it broke. */
        void ended() {
        }

        void welcome() throws Exception {
            write(Wire.welcome());
        }

        private long travel() {
            synchronized (random) {
                return (long) (oneWayMillis * (1 + jitter * (2 * random.nextDouble() - 1)) * 1e6);
            }
        }

        private void arrive(Wire.Message message) throws Exception {
            synchronized (this) {
                waiting.add(message);
                if (busy) {
                    return;
                }
                busy = true;
            }
            begin();
        }

        private void begin() throws Exception {
            Wire.Message next;
            synchronized (this) {
                next = waiting.poll();
                busy = next != null;
            }
            if (next != null) {
                handle(next);
            }
        }

        /** Hands a piece to the network; pieces stay in their order. */
        synchronized void write(byte[] bytes) {
            lastOut = Math.max(lastOut, System.nanoTime() + travel());
            pieces.add(bytes);
            Threads.at(lastOut, () -> {
                synchronized (pieces) {
                    byte[] piece;
                    synchronized (this) {
                        piece = pieces.poll();
                    }
                    socket.getOutputStream().write(piece);
                }
            });
        }

        /** Whether no further message has arrived at the host. */
        synchronized boolean nothingWaits() {
            return waiting.isEmpty();
        }

        /** Writes the last piece of an answer and begins what waits. */
        void answer(byte[] bytes) throws Exception {
            write(bytes);
            begin();
        }

        void handle(Wire.Message message) throws Exception {
            String sql = message.text();
            Map<String, String> fields = Wire.comment(sql);
            if (sql.equals("SHOW stats")) {
                Threads.after(probeMillis, () -> good(
                    Wire.join(Wire.row("stats", Wire.ascii(report()), false, "SHOW"), mode(), Wire.ready())));
            } else if (message.type() != 'Q' || fields == null || !fields.containsKey("id")) {
                answer(Wire.join(Wire.error("08P01", "not a statement of a client"), Wire.ready()));
            } else {
                request(fields, sql);
            }
        }

        void request(Map<String, String> fields, String sql) throws Exception {
            String request = fields.get("id");
            boolean write = sql.contains("INSERT");
            if (write && !primary) {
                record.add("%s turned write %s away: no primary", id, request);
                answer(Wire.join(Wire.error("25006", "no primary"), mode(), Wire.ready()));
                return;
            }
            Long bound = boundMillis.get(fields.get("c"));
            if (refusesStaleReads && bound != null && position() < Replica.unixMillis() - bound) {
                answer(Wire.join(Wire.error("72000", "too far behind"), mode(), Wire.ready()));
                return;
            }
            record.add("%s began %s %s", id, write ? "write" : "read", request);
            Threads.after(workMillis(), () -> finish(request, write));
        }

        void finish(String request, boolean write) throws Exception {
            byte[] position = write || tellsPositions
                ? Wire.parameter("wal_time", Long.toString((long) Math.floor(write ? Replica.unixMillis() + 1 : position())))
                : new byte[0];
            good(Wire.join(Wire.row("data", Wire.ascii(valueOf(request)), true, write ? "INSERT 0 1" : "SELECT 1"), mode(),
                position, Wire.ready()));
        }

        byte[] mode() {
            return Wire.parameter("mode", primary ? "read-write" : "read-only");
        }

        /** Writes a good answer. */
        void good(byte[] bytes) throws Exception {
            answer(bytes);
        }
    }

    double workMillis() {
        synchronized (random) {
            return Math.min(10 * meanWorkMillis, -meanWorkMillis * Math.log(1 - random.nextDouble()));
        }
    }

    /** The value that a host makes for a request: no other request has it. */
    String valueOf(String request) {
        return "value of " + request;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
