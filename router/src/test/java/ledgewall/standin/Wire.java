package ledgewall.standin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import ledgewall.pg.Frame;

/** Builds protocol messages as clients and hosts send them, independently of the code under test. */
public final class Wire {
    private Wire() {
    }

    public static byte[] message(char type, byte[]... parts) {
        byte[] body = join(parts);
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    /** A string that a zero byte ends. */
    public static byte[] text(String text) {
        return (text + "\0").getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    public static byte[] int16(int value) {
        return ByteBuffer.allocate(2).putShort((short) value).array();
    }

    public static byte[] int32(int value) {
        return ByteBuffer.allocate(4).putInt(value).array();
    }

    public static byte[] startup(String... namesAndValues) {
        byte[] body = int32(3 << 16);
        for (String string : namesAndValues) {
            body = join(body, text(string));
        }
        body = join(body, new byte[1]);
        return join(int32(4 + body.length), body);
    }

    /** A packet without a type byte, such as an encryption request: a length and a code. */
    public static byte[] untypedPacket(int code) {
        return join(int32(8), int32(code));
    }

    public static byte[] query(String sql) {
        return message('Q', text(sql));
    }

    /** A whole result of one row with one binary column: RowDescription, DataRow and CommandComplete. */
    public static byte[] row(byte[] value) {
        return join(rowDescription(), dataRow(value), message('C', text("SELECT 1")));
    }

    /** A whole result whose value is a text. */
    public static byte[] row(String value) {
        return row(value.getBytes(StandardCharsets.US_ASCII));
    }

    /** A host's whole reply to a probe: its position, in Unix milliseconds, and its role. */
    public static byte[] report(long positionMs, boolean primary) {
        int primaryFlag = primary ? 1 : 0;
        return join(row(String.format(Locale.ROOT, "x0=%d.%03d,x1=%d", positionMs / 1_000, positionMs % 1_000, primaryFlag)),
            ready());
    }

    public static byte[] rowDescription() {
        return message('T', int16(1), text("data"), int32(0), int16(0), int32(17), int16(-1), int32(-1), int16(1));
    }

    public static byte[] dataRow(byte[] value) {
        return message('D', int16(1), int32(value.length), value);
    }

    /** An ErrorResponse with an SQLSTATE. */
    public static byte[] error(String code) {
        return message('E', text("SERROR"), text("C" + code), text("Mno"), new byte[1]);
    }

    /** A ParameterStatus message. */
    public static byte[] param(String name, String value) {
        return message('S', text(name), text(value));
    }

    /** An EmptyQueryResponse message. */
    public static byte[] emptyQueryResponse() {
        return message('I');
    }

    /** A ReadyForQuery message. */
    public static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    /** A host's whole reply to a startup message. */
    public static byte[] startupReply() {
        return join(message('R', int32(0)), param("server_version", "15.0"), ready());
    }

    /** A ParameterStatus message as a received frame. */
    public static Frame paramFrame(String name, String value) {
        return new Frame('S', param(name, value));
    }
}
