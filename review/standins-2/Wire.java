import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Messages of version 3 of PostgreSQL's protocol, as far as the protocol page uses them. */
final class Wire {
    private static final int PROTOCOL_VERSION = 3 << 16;
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    /** What follows the name of a column in a RowDescription: a binary value of the type bytea (17). */
    private static final byte[] COLUMN_FIELDS = ByteBuffer.allocate(18).putInt(0).putShort((short) 0).putInt(17)
        .putShort((short) -1).putInt(-1).putShort((short) 1).array();

    /** A message with its type, or a startup message with the type 0. */
    record Message(char type, byte[] body) {
        /** The body as text without the byte that ends it. */
        String text() {
            return new String(body, 0, Math.max(0, body.length - 1), StandardCharsets.UTF_8);
        }
    }

    private Wire() {
    }

    /** Reads the rest of a message whose type has been read. */
    static byte[] readBody(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < Integer.BYTES || length > MAX_MESSAGE_BYTES) {
            throw new IOException("a message of " + length + " bytes");
        }
        return in.readNBytes(length - Integer.BYTES);
    }

    static Message read(DataInputStream in) throws IOException {
        char type = (char) in.readUnsignedByte();
        return new Message(type, readBody(in));
    }

    static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(1 + Integer.BYTES + body.length).put((byte) type).putInt(Integer.BYTES + body.length)
            .put(body).array();
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    private static byte[] text(String text) {
        return (text + "\0").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] startup() {
        byte[] parameters = text("user\0portal\0database\0crm\0");
        return ByteBuffer.allocate(2 * Integer.BYTES + parameters.length).putInt(2 * Integer.BYTES + parameters.length)
            .putInt(PROTOCOL_VERSION).put(parameters).array();
    }

    static byte[] query(String sql) {
        return message('Q', text(sql));
    }

    static byte[] authenticationOk() {
        return message('R', new byte[Integer.BYTES]);
    }

    static byte[] readyForQuery() {
        return message('Z', new byte[] {'I'});
    }

    static byte[] emptyQueryResponse() {
        return message('I', new byte[0]);
    }

    static byte[] commandComplete(String tag) {
        return message('C', text(tag));
    }

    static byte[] parameterStatus(String name, String value) {
        return message('S', text(name + "\0" + value));
    }

    static byte[] error(String sqlState) {
        return message('E', text("SERROR\0C" + sqlState + "\0Mno\0"));
    }

    /** RowDescription, one DataRow of one column, CommandComplete. */
    static byte[] row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] column = text("data");
        return join(
            message('T', ByteBuffer.allocate(Short.BYTES + column.length + COLUMN_FIELDS.length).putShort((short) 1).put(column)
                .put(COLUMN_FIELDS).array()),
            message('D', ByteBuffer.allocate(Short.BYTES + Integer.BYTES + bytes.length).putShort((short) 1)
                .putInt(bytes.length).put(bytes).array()),
            commandComplete("SELECT 1"));
    }

    /** The value of a DataRow with one column. */
    static String value(Message dataRow) {
        int header = Short.BYTES + Integer.BYTES;
        return new String(dataRow.body(), header, dataRow.body().length - header, StandardCharsets.UTF_8);
    }

    /** The SQLSTATE of an ErrorResponse. */
    static String sqlState(Message error) {
        for (String field : error.text().split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** A field of a statement's comment, or null. */
    static String field(String statement, String name) {
        Matcher matcher = Pattern.compile("[ ,*]" + name + "=([^, ]+)").matcher(statement);
        return matcher.find() ? matcher.group(1) : null;
    }
}
