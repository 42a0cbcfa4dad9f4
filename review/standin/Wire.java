import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Messages of PostgreSQL's protocol, version 3, as far as the stand-ins use them. */
final class Wire {
    private Wire() {
    }

    /** One typed message. */
    record Message(char type, byte[] body) {
        String text() {
            int end = body.length > 0 && body[body.length - 1] == 0 ? body.length - 1 : body.length;
            return new String(body, 0, end, StandardCharsets.UTF_8);
        }
    }

    static Message read(DataInputStream in) throws IOException {
        char type = (char) in.readUnsignedByte();
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        return new Message(type, body);
    }

    static byte[] message(char type, byte[] body) {
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] startup() {
        byte[] body = join(ByteBuffer.allocate(4).putInt(3 << 16).array(), ascii("user\0portal\0database\0crm\0\0"));
        return join(ByteBuffer.allocate(4).putInt(4 + body.length).array(), body);
    }

    static byte[] query(String sql) {
        return message('Q', ascii(sql + "\0"));
    }

    static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    static byte[] welcome() {
        return join(message('R', new byte[4]), ready());
    }

    static byte[] parameter(String name, String value) {
        return message('S', ascii(name + "\0" + value + "\0"));
    }

    static byte[] error(String code, String text) {
        return message('E', ascii("SERROR\0VERROR\0C" + code + "\0M" + text + "\0\0"));
    }

    /** One row of one column, with CommandComplete. */
    static byte[] row(String column, byte[] value, boolean binary, String tag) {
        byte[] description = ByteBuffer.allocate(2 + column.length() + 1 + 18).putShort((short) 1).put(ascii(column))
            .put((byte) 0).putInt(0).putShort((short) 0).putInt(binary ? 17 : 25).putShort((short) -1).putInt(-1)
            .putShort((short) (binary ? 1 : 0)).array();
        byte[] data = ByteBuffer.allocate(6 + value.length).putShort((short) 1).putInt(value.length).put(value).array();
        return join(message('T', description), message('D', data), message('C', ascii(tag + "\0")));
    }

    /** The value of a DataRow of one column. */
    static String value(Message dataRow) {
        ByteBuffer body = ByteBuffer.wrap(dataRow.body());
        body.getShort();
        int length = body.getInt();
        return length < 0 ? "" : new String(dataRow.body(), 6, length, StandardCharsets.UTF_8);
    }

    static String sqlState(Message error) {
        for (String field : error.text().split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** The fields of the comment that precedes a statement; null where there is none. */
    static Map<String, String> comment(String sql) {
        if (!sql.startsWith("/*") || !sql.contains("*/")) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        for (String pair : sql.substring(2, sql.indexOf("*/")).split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                fields.put(pair.substring(0, equals).trim(), pair.substring(equals + 1).trim());
            }
        }
        return fields;
    }
}
