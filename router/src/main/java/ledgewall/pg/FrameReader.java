package ledgewall.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits a byte stream into messages, whatever the sizes of the pieces it arrives in. Buffers at most one message. */
public final class FrameReader {
    private static final int PROTOCOL_MAJOR = 3;
    private static final int INITIAL_BUFFER_BYTES = 512;
    /** Room for what comes next: little, since hundreds of clients may stop in the middle of a message. */
    private static final int BUFFER_GROWTH_BYTES = 8 * 1024;
    /** PostgreSQL's own limit for packets up to the startup message. */
    private static final int MAX_STARTUP_BYTES = 10_000;

    /** Rejects a message by its header, before its body has arrived. */
    public interface HeaderValidator {
        void validate(char type, int bodyLength) throws ProtocolException;
    }

    /** The largest value accepted in a message's length field. */
    private final int maxLength;
    private final HeaderValidator headerValidator;
    /** Whether messages begin with a type byte: a client's do after its startup message, a host's always. */
    private boolean hasTypeByte;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** How many bytes of {@link #buffer} hold data. */
    private int buffered;
    /** The size of the message with its header, in bytes; 0 until the header is complete. */
    private int messageSize;

    private FrameReader(int maxLength, boolean hasTypeByte, HeaderValidator headerValidator) {
        this.maxLength = maxLength;
        this.headerValidator = headerValidator;
        this.hasTypeByte = hasTypeByte;
    }

    /** A reader of what a client sends: packets without a type byte up to and including the startup message. */
    public static FrameReader ofClient(int maxLength) {
        return new FrameReader(maxLength, false, new ClientHeaderValidator());
    }

    /** A reader of what a host sends. */
    public static FrameReader ofHost(int maxLength) {
        return new FrameReader(maxLength, true, new HostHeaderValidator());
    }

    /** Consumes all bytes of {@code in} and passes on each completed message; unusable after an exception. */
    public void feed(ByteBuffer in, Consumer<Frame> out) throws ProtocolException {
        while (in.hasRemaining()) {
            int headerSize = hasTypeByte ? 1 + Frame.LENGTH_BYTES : Frame.LENGTH_BYTES;
            fill(in, messageSize == 0 ? headerSize : messageSize);
            if (messageSize == 0 && buffered == headerSize) {
                messageSize = messageSize(headerSize);
            }
            if (messageSize != 0 && buffered == messageSize) {
                out.accept(takeFrame());
            }
        }
    }

    private void fill(ByteBuffer in, int targetSize) {
        int count = Math.min(in.remaining(), targetSize - buffered);
        if (buffered + count > buffer.length) { // grows with the bytes received, not with the announced length
            buffer = Arrays.copyOf(buffer, Math.min(targetSize, buffered + count + BUFFER_GROWTH_BYTES));
        }
        in.get(buffer, buffered, count);
        buffered += count;
    }

    /** How many bytes of an incomplete message are buffered. */
    public int bufferedBytes() {
        return buffered;
    }

    /** The size of the buffer for incomplete messages: what has been received of one, and some room. */
    public int capacity() {
        return buffer.length;
    }

    private int messageSize(int headerSize) throws ProtocolException {
        int length = ByteBuffer.wrap(buffer, headerSize - Frame.LENGTH_BYTES, Frame.LENGTH_BYTES).getInt();
        if (length < Frame.LENGTH_BYTES || length > (hasTypeByte ? maxLength : MAX_STARTUP_BYTES)) {
            throw new ProtocolException("a message announces a length of " + length);
        }
        if (hasTypeByte) {
            headerValidator.validate((char) (buffer[0] & 0xff), length - Frame.LENGTH_BYTES);
        }
        return headerSize - Frame.LENGTH_BYTES + length;
    }

    private Frame takeFrame() {
        Frame frame = new Frame(hasTypeByte ? (char) (buffer[0] & 0xff) : Frame.UNTYPED, Arrays.copyOf(buffer, messageSize));
        // a startup message begins with the major version; encryption requests carry another code and leave the type byte out
        hasTypeByte |= frame.bodyLength() >= Short.BYTES
            && ByteBuffer.wrap(frame.bytes()).getShort(Frame.LENGTH_BYTES) == PROTOCOL_MAJOR;
        buffer = buffer.length > INITIAL_BUFFER_BYTES ? new byte[INITIAL_BUFFER_BYTES] : buffer;
        buffered = 0;
        messageSize = 0;
        return frame;
    }
}
