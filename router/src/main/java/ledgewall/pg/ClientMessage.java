package ledgewall.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** What a client may say, as far as this router tells it apart. */
public sealed interface ClientMessage {
    int SSL_REQUEST = 80877103;
    int GSS_REQUEST = 80877104;
    int CANCEL_REQUEST = 80877102;
    int VERSION_3 = 3;
    int MOST_PARAMETERS = 32;

    /** Asks for encryption before anything else. */
    record EncryptionRequest() implements ClientMessage { }

    /** Asks, on a connection of its own, to cancel what another one runs. */
    record CancelRequest() implements ClientMessage { }

    /** With the parameters that it names, such as user and database. */
    record Startup(int minor, Map<String, String> parameters) implements ClientMessage { }

    record EmptyQuery() implements ClientMessage { }

    record Query(Statement statement) implements ClientMessage { }

    /** A query, or a message of another sub-protocol, that gets an ordinary error. */
    record Unserved(String sqlState, String reason) implements ClientMessage { }

    /** A message of the extended protocol: one error, then all is skipped up to Sync. */
    record Extended() implements ClientMessage { }

    record Sync() implements ClientMessage { }

    /** A message that needs no answer. */
    record Passed() implements ClientMessage { }

    record Terminate() implements ClientMessage { }

    /** Where the client's speech stops being protocol: nothing after it can be read. */
    record Broken(String reason) implements ClientMessage { }

    static ClientMessage of(Frame frame) throws ProtocolException {
        return of(frame, false);
    }

    /**
     * Reads a message.
     *
     * @param plain whether statements are taken that do not bring the comment
     */
    static ClientMessage of(Frame frame, boolean plain) throws ProtocolException {
        return switch (frame.type()) {
            case Frame.UNTYPED -> opening(frame);
            case 'Q' -> query(frame, plain);
            case 'X' -> new Terminate();
            case 'S' -> new Sync();
            case 'P', 'B', 'D', 'E', 'C' -> new Extended();
            case 'H', 'd', 'c', 'f' -> new Passed(); // Flush, and what may still come of a copy
            case 'F' -> new Unserved(SqlState.NOT_SUPPORTED, "function calls are not supported");
            default -> throw new ProtocolException("unknown message type " + (int) frame.type());
        };
    }

    private static ClientMessage opening(Frame frame) throws ProtocolException {
        if (frame.bodyLength() < Integer.BYTES) {
            throw new ProtocolException("a startup message without a version");
        }
        int code = ByteBuffer.wrap(frame.bytes()).getInt(frame.bodyStart());
        return switch (code) {
            case SSL_REQUEST, GSS_REQUEST -> new EncryptionRequest();
            case CANCEL_REQUEST -> new CancelRequest();
            default -> {
                if (code >>> 16 != VERSION_3) {
                    throw new ProtocolException("unsupported protocol " + (code >>> 16) + "." + (code & 0xffff));
                }
                yield new Startup(code & 0xffff, parameters(frame));
            }
        };
    }

    /** Names and values up to an empty name; what is cut off before is none. */
    private static Map<String, String> parameters(Frame frame) {
        Map<String, String> parameters = new HashMap<>();
        byte[] bytes = frame.bytes();
        String name = null;
        int start = frame.bodyStart() + Integer.BYTES;
        for (int at = start; at < bytes.length && parameters.size() < MOST_PARAMETERS; at++) {
            if (bytes[at] != 0) {
                continue;
            }
            String text = new String(bytes, start, at - start, StandardCharsets.UTF_8);
            if (name == null && text.isEmpty()) {
                break;
            }
            if (name != null) {
                parameters.put(name, text);
            }
            name = name == null ? text : null;
            start = at + 1;
        }
        return parameters;
    }

    private static ClientMessage query(Frame frame, boolean plain) throws ProtocolException {
        byte[] bytes = frame.bytes();
        if (frame.bodyLength() < 1 || bytes[bytes.length - 1] != 0) {
            throw new ProtocolException("a query without its end");
        }
        if (Statement.isEmpty(bytes, frame.bodyStart(), bytes.length - 1)) {
            return new EmptyQuery();
        }
        try {
            Statement statement = plain ? Statement.parseAny(bytes) : Statement.parse(bytes);
            return plain && statement.summary().needsSession() ? new Unserved(SqlState.NOT_SUPPORTED,
                statement.summary().keyword() + " needs a connection of its own to a member") : new Query(statement);
        } catch (Statement.Malformed e) {
            return new Unserved(SqlState.SYNTAX_ERROR, e.getMessage());
        }
    }
}
