package ledgewall.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the messages that the router itself sends to clients and hosts. */
public final class MessageWriter {
    private static final int PROTOCOL_3_0 = 3 << 16;
    /** Size of what follows a column's name in a RowDescription. */
    private static final int COLUMN_FIXED_FIELD_BYTES = 18;
    private static final byte[] READY_FOR_QUERY = message('Z', new byte[] {'I'});
    private static final byte[] EMPTY_QUERY_RESPONSE = message('I', new byte[0]);
    private static final byte[] STARTUP_REPLY = join(
        message('R', new byte[Integer.BYTES]), parameterStatus("server_version", "16.0 (ledgewall)"),
        parameterStatus("client_encoding", "UTF8"), parameterStatus("server_encoding", "UTF8"),
        parameterStatus("standard_conforming_strings", "on"), parameterStatus("DateStyle", "ISO, MDY"),
        parameterStatus("integer_datetimes", "on"), message('K', new byte[2 * Integer.BYTES]), READY_FOR_QUERY);

    private MessageWriter() {
    }

    /** The whole reply to a startup message: AuthenticationOk, parameters, BackendKeyData and ReadyForQuery. */
    public static byte[] startupReply() {
        return STARTUP_REPLY;
    }

    public static byte[] readyForQuery() {
        return READY_FOR_QUERY;
    }

    public static byte[] emptyQueryResponse() {
        return EMPTY_QUERY_RESPONSE;
    }

    /** Tells a client that asked for a newer minor version that only 3.0 is supported. */
    public static byte[] negotiateProtocolVersion() {
        return message('v', ByteBuffer.allocate(2 * Integer.BYTES).putInt(PROTOCOL_3_0).putInt(0).array());
    }

    public static byte[] error(String sqlState, String message) {
        return error("ERROR", sqlState, message, null);
    }

    /**
     * An error that leaves the connection usable.
     *
     * @param detail the value of field {@code D}, the milliseconds to wait before a retry; null for no such field
     */
    public static byte[] error(String sqlState, String message, String detail) {
        return error("ERROR", sqlState, message, detail);
    }

    /** An error after which the connection is closed. */
    public static byte[] fatal(String sqlState, String message) {
        return error("FATAL", sqlState, message, null);
    }

    private static byte[] error(String severity, String sqlState, String message, String detail) {
        return message('E', join(errorField('S', severity), errorField('V', severity), errorField('C', sqlState),
            errorField('M', message), detail == null ? new byte[0] : errorField('D', detail), new byte[1]));
    }

    public static byte[] startup(String user, String database) {
        byte[] body = join(ByteBuffer.allocate(Integer.BYTES).putInt(PROTOCOL_3_0).array(), cString("user"),
            cString(user), cString("database"), cString(database), new byte[1]);
        return join(ByteBuffer.allocate(Integer.BYTES).putInt(body.length + Integer.BYTES).array(), body);
    }

    public static byte[] query(String sql) {
        return message('Q', cString(sql));
    }

    /** The result of a query, of one row with one binary column: RowDescription, DataRow and CommandComplete. */
    public static byte[] result(String column, byte[] value) {
        byte[] description = ByteBuffer.allocate(Short.BYTES + column.length() + 1 + COLUMN_FIXED_FIELD_BYTES)
            .putShort((short) 1).put(cString(column)).array();
        byte[] dataRow = ByteBuffer.allocate(Short.BYTES + Integer.BYTES + value.length)
            .putShort((short) 1).putInt(value.length).put(value).array();
        return join(message('T', description), message('D', dataRow), message('C', cString("SELECT 1")));
    }

    public static byte[] parameterStatus(String name, String value) {
        return message('S', join(cString(name), cString(value)));
    }

    private static byte[] errorField(char type, String value) {
        return join(new byte[] {(byte) type}, cString(value));
    }

    private static byte[] cString(String value) {
        return (value + '\0').getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(1 + Integer.BYTES + body.length).put((byte) type)
            .putInt(Integer.BYTES + body.length).put(body).array();
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }
}
