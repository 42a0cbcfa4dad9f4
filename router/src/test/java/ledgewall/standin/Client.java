package ledgewall.standin;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A PostgreSQL client of the router, on a blocking socket. */
public final class Client implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;

    public Client(InetSocketAddress router) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.connect(router);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Connects and completes the startup. */
    public static Client connect(InetSocketAddress router) throws IOException {
        Client client = new Client(router);
        client.send(Wire.startup("user", "u", "database", "d"));
        client.readUntilReady();
        return client;
    }

    /** Sets how long each later read may block. */
    public void setReadTimeout(long millis) throws IOException {
        socket.setSoTimeout((int) millis);
    }

    public void send(byte[]... parts) throws IOException {
        socket.getOutputStream().write(Wire.join(parts));
        socket.getOutputStream().flush();
    }

    /** The next message, or null at the end of the stream. */
    public Message read() throws IOException {
        return Message.read(in, true);
    }

    public int readByte() throws IOException {
        return in.read();
    }

    /** Reads all messages up to ReadyForQuery, which is left out; fails if the connection ends before it. */
    public List<Message> readUntilReady() throws IOException {
        List<Message> messages = new ArrayList<>();
        for (Message message = read(); message != null; message = read()) {
            if (message.type() == 'Z') {
                return messages;
            }
            messages.add(message);
        }
        throw new EOFException("closed before ReadyForQuery");
    }

    /**
     * Reads a query's reply, which may follow the reply to a startup message, and returns the types of its messages; empty if
     * the router closes the connection before the reply is complete.
     */
    public String readReplyTypes() throws IOException {
        StringBuilder types = new StringBuilder();
        boolean inReply = false;
        for (Message message = read(); message != null; message = read()) {
            inReply |= "TDCEI".indexOf(message.type()) >= 0;
            types.append(inReply ? "" + message.type() : "");
            if (inReply && (message.type() == 'Z' || message.type() == 'E' && "FATAL".equals(message.field('S')))) {
                return types.toString();
            }
        }
        return "";
    }

    /** Reads all messages up to ReadyForQuery, which is left out, and returns their types. */
    public String readTypesUntilReady() throws IOException {
        StringBuilder types = new StringBuilder();
        readUntilReady().forEach(message -> types.append(message.type()));
        return types.toString();
    }

    /** Waits for the next byte; true if the router has closed or reset the connection instead. */
    public boolean endOfStream() throws IOException {
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
