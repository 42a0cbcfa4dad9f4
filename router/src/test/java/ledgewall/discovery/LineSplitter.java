package ledgewall.discovery;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Splits a response body at line breaks and passes each line to a consumer, without the line break. */
public final class LineSplitter implements HttpResponseParser.BodySink {
    /** Enough for a list of about ten thousand members. */
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<byte[]> consumer;

    public LineSplitter(Consumer<byte[]> consumer) {
        this.consumer = consumer;
    }

    @Override
    public void body(byte[] bytes, int offset, int length) throws HttpException {
        for (int i = offset; i < offset + length; i++) {
            if (bytes[i] == '\n') {
                flush();
            } else if (line.size() == MAX_LINE_BYTES) {
                throw new HttpException("line is too long");
            } else {
                line.write(bytes[i]);
            }
        }
    }

    /** The number of bytes received since the last line break. */
    public int pendingBytes() {
        return line.size();
    }

    /** Passes on the bytes received since the last line break as a line. */
    public void flush() {
        consumer.accept(line.toByteArray());
        line.reset();
    }
}
