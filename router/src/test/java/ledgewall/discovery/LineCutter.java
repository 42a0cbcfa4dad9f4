package ledgewall.discovery;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Cuts a body into lines and passes them on without their ends; the last one may lack it. */
public final class LineCutter implements HttpReader.Sink {
    /** Room for a list of some ten thousand members. */
    private static final int LONGEST_LINE = 4 * 1024 * 1024;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<byte[]> out;

    public LineCutter(Consumer<byte[]> out) {
        this.out = out;
    }

    @Override
    public void body(byte[] bytes, int start, int length) throws HttpException {
        for (int at = start; at < start + length; at++) {
            if (bytes[at] == '\n') {
                finish();
            } else if (line.size() == LONGEST_LINE) {
                throw new HttpException("a line of the list is too long");
            } else {
                line.write(bytes[at]);
            }
        }
    }

    /** Bytes of a line that has begun and not ended. */
    public int holds() {
        return line.size();
    }

    /** Passes on what has come since the last line's end. */
    public void finish() {
        out.accept(line.toByteArray());
        line.reset();
    }
}
