import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client with one connection to a router, which sends one request at a time. */
final class Client implements AutoCloseable {
    private static final int GRACE_MILLIS = 600;

    /** How a request ended: served with a value, refused, failed, or without an answer. */
    record Answer(String kind, String value) {
        boolean served() {
            return kind.equals("served");
        }
    }

    private final Socket socket;
    private final DataInputStream in;

    Client(String address) throws IOException {
        int colon = address.indexOf(':');
        socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        socket.getOutputStream().write(Wire.startup());
        socket.setSoTimeout(5_000);
        while (Wire.read(in).type() != 'Z') {
            continue;
        }
    }

    /** Whether the router answers an empty query, as the front asks before it takes the router in. */
    boolean isReady() throws IOException {
        socket.getOutputStream().write(Wire.query(""));
        boolean empty = Wire.read(in).type() == 'I';
        return empty && Wire.read(in).type() == 'Z';
    }

    /** Sends a statement and waits for its answer as long as the statement says, and a little longer. */
    Answer ask(String statement) throws IOException {
        socket.setSoTimeout(Integer.parseInt(Wire.field(statement, "d")) + GRACE_MILLIS);
        socket.getOutputStream().write(Wire.query(statement));
        Answer answer = new Answer("failed", "");
        try {
            while (true) {
                Wire.Message message = Wire.read(in);
                switch (message.type()) {
                    case 'D' -> answer = new Answer("served", Wire.value(message));
                    case 'E' -> answer = errorAnswer(Wire.sqlState(message));
                    case 'Z' -> {
                        return answer;
                    }
                    default -> { }
                }
            }
        } catch (SocketTimeoutException e) {
            close();
            return new Answer("unanswered", "");
        }
    }

    private static Answer errorAnswer(String sqlState) {
        boolean refused = sqlState.equals("53300") || sqlState.equals("57P03");
        return new Answer(refused ? "refused" : "failed", sqlState);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
