package ledgewall.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client of the router, on a blocking socket. */
public final class Client implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;

    public Client(InetSocketAddress router) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PATIENCE_MS);
        socket.connect(router);
        in = new DataInputStream(socket.getInputStream());
    }

    /** A client that has been welcomed. */
    public static Client started(InetSocketAddress router) throws IOException {
        Client client = new Client(router);
        client.send(Wire.startup("user", "u", "database", "d"));
        client.untilReady();
        return client;
    }

    /** How long a read waits from now on. */
    public void patience(long millis) throws IOException {
        socket.setSoTimeout((int) millis);
    }

    public void send(byte[]... parts) throws IOException {
        socket.getOutputStream().write(Wire.join(parts));
        socket.getOutputStream().flush();
    }

    /** The next message, or null at the end. */
    public Message read() throws IOException {
        return Message.read(in, true);
    }

    public int readByte() throws IOException {
        return in.read();
    }

    /** All messages up to ReadyForQuery, without it. */
    public List<Message> untilReady() throws IOException {
        List<Message> messages = new ArrayList<>();
        for (Message message = read(); message.type() != 'Z'; message = read()) {
            messages.add(message);
        }
        return messages;
    }

    /** The types of all messages of a query's answer, past a welcome that comes first; empty where the router ends before. */
    public String typesOfAnswer() throws IOException {
        StringBuilder types = new StringBuilder();
        boolean answer = false;
        for (Message message = read(); message != null; message = read()) {
            answer |= "TDCEI".indexOf(message.type()) >= 0;
            types.append(answer ? "" + message.type() : "");
            if (answer && (message.type() == 'Z' || message.type() == 'E' && "FATAL".equals(message.field('S')))) {
                return types.toString();
            }
        }
        return "";
    }

    /** The types of all messages up to ReadyForQuery, without it. */
    public String types() throws IOException {
        StringBuilder types = new StringBuilder();
        untilReady().forEach(message -> types.append(message.type()));
        return types.toString();
    }

    /** Whether the router has ended the connection, possibly by a reset. */
    public boolean atEnd() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
