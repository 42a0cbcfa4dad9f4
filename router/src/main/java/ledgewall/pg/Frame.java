package ledgewall.pg;

import java.nio.charset.StandardCharsets;

/**
 * One message as received, header included, so that it can be forwarded unchanged.
 *
 * @param type its type byte, or {@link #UNTYPED} for the packets that a client sends up to its startup message
 */
public record Frame(char type, byte[] bytes) {
    public static final char UNTYPED = 0;
    /** Size of the length field, which counts itself but not the type byte. */
    static final int LENGTH_BYTES = 4;

    /** The index in {@link #bytes} of the body's first byte. */
    public int bodyStart() {
        return type == UNTYPED ? LENGTH_BYTES : LENGTH_BYTES + 1;
    }

    public int bodyLength() {
        return bytes.length - bodyStart();
    }

    BodyReader body() {
        return new BodyReader(bytes, bodyStart());
    }

    /** Reads the fields of a body in order; a field that reaches beyond the body is a protocol violation. */
    static final class BodyReader {
        private final byte[] bytes;
        private int position;

        BodyReader(byte[] bytes, int position) {
            this.bytes = bytes;
            this.position = position;
        }

        /** How many bytes of the body are unread. */
        int remaining() {
            return bytes.length - position;
        }

        int int8() throws ProtocolException {
            requireRemaining(1);
            return bytes[position++] & 0xff;
        }

        int int16() throws ProtocolException {
            return int8() << 8 | int8();
        }

        int int32() throws ProtocolException {
            return int16() << 16 | int16();
        }

        void skip(int count) throws ProtocolException {
            requireRemaining(count);
            position += count;
        }

        /** A string that a zero byte ends. */
        String cString() throws ProtocolException {
            int start = position;
            while (int8() != 0) {
                continue;
            }
            return new String(bytes, start, position - 1 - start, StandardCharsets.UTF_8);
        }

        String fixedLengthString(int length) throws ProtocolException {
            requireRemaining(length);
            position += length;
            return new String(bytes, position - length, length, StandardCharsets.UTF_8);
        }

        private void requireRemaining(int count) throws ProtocolException {
            if (count < 0 || remaining() < count) {
                throw new ProtocolException("a message is shorter than its fields");
            }
        }
    }
}
