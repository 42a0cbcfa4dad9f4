package ledgewall.pg;

import java.nio.charset.StandardCharsets;

/**
 * One message as it came, header included, so that it can go on unchanged.
 *
 * @param type its type byte, or {@link #UNTYPED} for the packets that open a connection
 */
public record Frame(char type, byte[] bytes) {
    public static final char UNTYPED = 0;
    static final int LENGTH_BYTES = 4;

    /** Where the body begins. */
    public int bodyStart() {
        return type == UNTYPED ? LENGTH_BYTES : LENGTH_BYTES + 1;
    }

    public int bodyLength() {
        return bytes.length - bodyStart();
    }

    Body body() {
        return new Body(bytes, bodyStart());
    }

    /** Reads a body from front to back; running off its end is a fault of the sender. */
    static final class Body {
        private final byte[] bytes;
        private int at;

        Body(byte[] bytes, int at) {
            this.bytes = bytes;
            this.at = at;
        }

        int left() {
            return bytes.length - at;
        }

        int int8() throws ProtocolException {
            need(1);
            return bytes[at++] & 0xff;
        }

        int int16() throws ProtocolException {
            return int8() << 8 | int8();
        }

        int int32() throws ProtocolException {
            return int16() << 16 | int16();
        }

        void skip(int count) throws ProtocolException {
            need(count);
            at += count;
        }

        String string() throws ProtocolException {
            int start = at;
            while (int8() != 0) {
                continue;
            }
            return new String(bytes, start, at - 1 - start, StandardCharsets.UTF_8);
        }

        String text(int length) throws ProtocolException {
            need(length);
            at += length;
            return new String(bytes, at - length, length, StandardCharsets.UTF_8);
        }

        private void need(int count) throws ProtocolException {
            if (count < 0 || left() < count) {
                throw new ProtocolException("a message is shorter than its fields");
            }
        }
    }
}
