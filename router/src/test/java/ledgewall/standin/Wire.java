package ledgewall.standin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import ledgewall.pg.Frame;

/** Messages of the protocol as the other side of a test says them, built apart from the code under test. */
public final class Wire {
    private Wire() {
    }

    public static byte[] message(char type, byte[]... parts) {
        byte[] body = join(parts);
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

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
        for (String word : namesAndValues) {
            body = join(body, text(word));
        }
        body = join(body, new byte[1]);
        return join(int32(4 + body.length), body);
    }

    /** A packet without a type: a length and a code. */
    public static byte[] packet(int code) {
        return join(int32(8), int32(code));
    }

    public static byte[] query(String sql) {
        return message('Q', text(sql));
    }

    /** A row of one column in binary, whole. */
    public static byte[] row(byte[] value) {
        return join(description(), dataRow(value), message('C', text("SELECT 1")));
    }

    public static byte[] description() {
        return message('T', int16(1), text("data"), int32(0), int16(0), int32(17), int16(-1), int32(-1), int16(1));
    }

    public static byte[] dataRow(byte[] value) {
        return message('D', int16(1), int32(value.length), value);
    }

    public static byte[] error(String code) {
        return message('E', text("SERROR"), text("C" + code), text("Mno"), new byte[1]);
    }

    public static byte[] set(String name, String value) {
        return message('S', text(name), text(value));
    }

    public static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    public static byte[] welcome() {
        return join(message('R', int32(0)), set("server_version", "15.0"), ready());
    }

    public static Frame parameter(String name, String value) {
        return new Frame('S', set(name, value));
    }
}
