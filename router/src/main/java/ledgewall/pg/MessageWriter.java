package ledgewall.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the messages that the router itself says, to clients and to hosts. */
public final class MessageWriter {
    private static final int PROTOCOL_3_0 = 3 << 16;
    private static final int FIXED_FIELDS_OF_A_COLUMN = 18;
    private static final byte[] READY = typed('Z', new byte[] {'I'});
    private static final byte[] EMPTY = typed('I', new byte[0]);
    private static final byte[] WELCOME = join(
        typed('R', new byte[Integer.BYTES]), parameter("server_version", "16.0 (ledgewall)"),
        parameter("client_encoding", "UTF8"), parameter("server_encoding", "UTF8"),
        parameter("standard_conforming_strings", "on"), parameter("DateStyle", "ISO, MDY"),
        parameter("integer_datetimes", "on"), typed('K', new byte[2 * Integer.BYTES]), READY);

    private MessageWriter() {
    }

    /** Authentication, parameters and ReadyForQuery in one. */
    public static byte[] welcome() {
        return WELCOME;
    }

    public static byte[] readyForQuery() {
        return READY;
    }

    public static byte[] emptyQueryResponse() {
        return EMPTY;
    }

    /** Tells a client that asked for a newer minor version that 3.0 is spoken. */
    public static byte[] negotiateVersion() {
        return typed('v', ByteBuffer.allocate(2 * Integer.BYTES).putInt(PROTOCOL_3_0).putInt(0).array());
    }

    public static byte[] error(String sqlState, String text) {
        return error("ERROR", sqlState, text, null);
    }

    public static byte[] error(String sqlState, String text, String detail) {
        return error("ERROR", sqlState, text, detail);
    }

    /** An error after which the connection ends. */
    public static byte[] fatal(String sqlState, String text) {
        return error("FATAL", sqlState, text, null);
    }

    private static byte[] error(String severity, String sqlState, String text, String detail) {
        return typed('E', join(field('S', severity), field('V', severity), field('C', sqlState), field('M', text),
            detail == null ? new byte[0] : field('D', detail), new byte[1]));
    }

    public static byte[] startup(String user, String database) {
        byte[] body = join(ByteBuffer.allocate(Integer.BYTES).putInt(PROTOCOL_3_0).array(), string("user"),
            string(user), string("database"), string(database), new byte[1]);
        return join(ByteBuffer.allocate(Integer.BYTES).putInt(body.length + Integer.BYTES).array(), body);
    }

    public static byte[] query(String sql) {
        return typed('Q', string(sql));
    }

    /** A row of one column in binary, with its description and completion. */
    public static byte[] row(String column, byte[] value) {
        byte[] description = ByteBuffer.allocate(Short.BYTES + column.length() + 1 + FIXED_FIELDS_OF_A_COLUMN)
            .putShort((short) 1).put(string(column)).array();
        byte[] row = ByteBuffer.allocate(Short.BYTES + Integer.BYTES + value.length)
            .putShort((short) 1).putInt(value.length).put(value).array();
        return join(typed('T', description), typed('D', row), typed('C', string("SELECT 1")));
    }

    public static byte[] parameter(String name, String value) {
        return typed('S', join(string(name), string(value)));
    }

    private static byte[] field(char type, String value) {
        return join(new byte[] {(byte) type}, string(value));
    }

    private static byte[] string(String value) {
        return (value + '\0').getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] typed(char type, byte[] body) {
        return ByteBuffer.allocate(1 + Integer.BYTES + body.length).put((byte) type)
            .putInt(Integer.BYTES + body.length).put(body).array();
    }

    /** The given pieces as one. */
    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }
}
