package ledgewall.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts a stream of bytes into messages, however the bytes come. Holds at most one message's bytes. */
public final class FrameReader {
    private static final int PROTOCOL_MAJOR = 3;
    private static final int FIRST_ROOM = 512;
    /** As the servers of this protocol have it. */
    private static final int LONGEST_STARTUP = 10_000;

    /** Judges a message by its header, before its body has come. */
    public interface HeaderCheck {
        void check(char type, int bodyLength) throws ProtocolException;
    }

    private final int longest;
    private final HeaderCheck headers;
    private boolean typed;
    private byte[] bytes = new byte[FIRST_ROOM];
    private int filled;
    private int size;

    private FrameReader(int longest, boolean typed, HeaderCheck headers) {
        this.longest = longest;
        this.headers = headers;
        this.typed = typed;
    }

    /** For what a client sends: packets without a type until its startup message. */
    public static FrameReader ofClient(int longest) {
        return new FrameReader(longest, false, new ClientGrammar());
    }

    /** For what a host sends. */
    public static FrameReader ofHost(int longest) {
        return new FrameReader(longest, true, new HostGrammar());
    }

    /** Takes all bytes of {@code in}; after an exception the reader is of no more use. */
    public void feed(ByteBuffer in, Consumer<Frame> out) throws ProtocolException {
        while (in.hasRemaining()) {
            int header = typed ? 1 + Frame.LENGTH_BYTES : Frame.LENGTH_BYTES;
            fill(in, size == 0 ? header : size);
            if (size == 0 && filled == header) {
                size = size(header);
            }
            if (size != 0 && filled == size) {
                out.accept(finish());
            }
        }
    }

    private void fill(ByteBuffer in, int upTo) {
        int count = Math.min(in.remaining(), upTo - filled);
        if (filled + count > bytes.length) { // grows with what has come, not with what was announced
            bytes = Arrays.copyOf(bytes, Math.min(upTo, Math.max(2 * bytes.length, filled + count)));
        }
        in.get(bytes, filled, count);
        filled += count;
    }

    /** Bytes of a message that has not come whole. */
    public int held() {
        return filled;
    }

    private int size(int header) throws ProtocolException {
        int length = ByteBuffer.wrap(bytes, header - Frame.LENGTH_BYTES, Frame.LENGTH_BYTES).getInt();
        if (length < Frame.LENGTH_BYTES || length > (typed ? longest : LONGEST_STARTUP)) {
            throw new ProtocolException("a message announces a length of " + length);
        }
        if (typed) {
            headers.check((char) (bytes[0] & 0xff), length - Frame.LENGTH_BYTES);
        }
        return header - Frame.LENGTH_BYTES + length;
    }

    private Frame finish() {
        Frame frame = new Frame(typed ? (char) (bytes[0] & 0xff) : Frame.UNTYPED, Arrays.copyOf(bytes, size));
        typed |= frame.bodyLength() >= Short.BYTES
            && ByteBuffer.wrap(frame.bytes()).getShort(Frame.LENGTH_BYTES) == PROTOCOL_MAJOR;
        bytes = bytes.length > FIRST_ROOM ? new byte[FIRST_ROOM] : bytes;
        filled = 0;
        size = 0;
        return frame;
    }
}
