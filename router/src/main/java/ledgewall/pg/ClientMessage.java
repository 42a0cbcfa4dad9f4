package ledgewall.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A message from a client. Types that this router handles alike share one record. */
public sealed interface ClientMessage {
    /** With the next two, the codes that packets without a type byte carry in place of a protocol version. */
    int SSL_REQUEST = 80877103;
    int GSS_REQUEST = 80877104;
    int CANCEL_REQUEST = 80877102;
    int PROTOCOL_MAJOR_VERSION = 3;
    int MAX_PARAMETERS = 32;

    /** Asks to encrypt the connection; sent before the startup message. */
    record EncryptionRequest() implements ClientMessage { }

    /** Asks to cancel the query that runs on another connection; sent instead of a startup message. */
    record CancelRequest() implements ClientMessage { }

    /** A startup message with its parameters, such as user and database. */
    record Startup(int minorVersion, Map<String, String> parameters) implements ClientMessage { }

    record EmptyQuery() implements ClientMessage { }

    record Query(Statement statement) implements ClientMessage { }

    /** A query or function call that is answered with an error; the connection stays usable. */
    record Rejected(String sqlState, String reason) implements ClientMessage { }

    /** A message of the extended query protocol: answered with one error, after which all messages up to Sync are skipped. */
    record ExtendedQuery() implements ClientMessage { }

    record Sync() implements ClientMessage { }

    /** A message that is dropped without an answer. */
    record Ignored() implements ClientMessage { }

    record Terminate() implements ClientMessage { }

    /** Marks where the stream violates the protocol; the bytes after it cannot be parsed. */
    record ProtocolViolation(String reason) implements ClientMessage { }

    /** The messages without content: a client may send thousands of them in one read. */
    ClientMessage EMPTY_QUERY = new EmptyQuery();
    ClientMessage EXTENDED_QUERY = new ExtendedQuery();
    ClientMessage SYNC = new Sync();
    ClientMessage IGNORED = new Ignored();

    static ClientMessage parse(Frame frame) throws ProtocolException {
        return parse(frame, false);
    }

    /**
     * Parses a message.
     *
     * @param acceptUncommented whether to accept statements without a complete routing comment
     */
    static ClientMessage parse(Frame frame, boolean acceptUncommented) throws ProtocolException {
        return switch (frame.type()) {
            case Frame.UNTYPED -> untypedPacket(frame);
            case 'Q' -> query(frame, acceptUncommented);
            case 'X' -> new Terminate();
            case 'S' -> SYNC;
            case 'P', 'B', 'D', 'E', 'C' -> EXTENDED_QUERY;
            case 'H', 'd', 'c', 'f' -> IGNORED; // Flush, and what a client may still send of a COPY
            case 'F' -> new Rejected(SqlState.FEATURE_NOT_SUPPORTED, "function calls are not supported");
            default -> throw new ProtocolException("unknown message type " + (int) frame.type());
        };
    }

    private static ClientMessage untypedPacket(Frame frame) throws ProtocolException {
        if (frame.bodyLength() < Integer.BYTES) {
            throw new ProtocolException("a startup message without a version");
        }
        int code = ByteBuffer.wrap(frame.bytes()).getInt(frame.bodyStart());
        return switch (code) {
            case SSL_REQUEST, GSS_REQUEST -> new EncryptionRequest();
            case CANCEL_REQUEST -> new CancelRequest();
            default -> {
                if (code >>> 16 != PROTOCOL_MAJOR_VERSION) {
                    throw new ProtocolException("unsupported protocol " + (code >>> 16) + "." + (code & 0xffff));
                }
                yield new Startup(code & 0xffff, parameters(frame));
            }
        };
    }

    /** Names and values up to an empty name; a name without a complete value is ignored. */
    private static Map<String, String> parameters(Frame frame) {
        Map<String, String> parameters = new HashMap<>();
        byte[] bytes = frame.bytes();
        String name = null;
        int start = frame.bodyStart() + Integer.BYTES;
        for (int index = start; index < bytes.length && parameters.size() < MAX_PARAMETERS; index++) {
            if (bytes[index] != 0) {
                continue;
            }
            String text = new String(bytes, start, index - start, StandardCharsets.UTF_8);
            if (name == null && text.isEmpty()) {
                break;
            }
            if (name != null) {
                parameters.put(name, text);
            }
            name = name == null ? text : null;
            start = index + 1;
        }
        return parameters;
    }

    private static ClientMessage query(Frame frame, boolean acceptUncommented) throws ProtocolException {
        byte[] bytes = frame.bytes();
        if (frame.bodyLength() < 1 || bytes[bytes.length - 1] != 0) {
            throw new ProtocolException("a query without its end");
        }
        if (Statement.isEmpty(bytes, frame.bodyStart(), bytes.length - 1)) {
            return EMPTY_QUERY;
        }
        try {
            Statement statement = acceptUncommented ? Statement.parseWithOptionalComment(bytes) : Statement.parse(bytes);
            return acceptUncommented && statement.summary().needsSession() ? new Rejected(SqlState.FEATURE_NOT_SUPPORTED,
                statement.summary().keyword() + " needs a connection of its own to a member") : new Query(statement);
        } catch (Statement.MalformedException e) {
            return new Rejected(SqlState.SYNTAX_ERROR, e.getMessage());
        }
    }
}
