package ledgewall.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads one HTTP/1.1 answer, however its bytes come: chunked, of a stated length, or up to the connection's
 * end. The body goes on piece by piece; a line of the head is bounded.
 */
public final class HttpReader {
    private static final int LONGEST_LINE = 8 * 1024;
    private static final int MOST_HEADERS = 100;
    private static final int OK = 200;
    private static final long UNTIL_CLOSE = -1;

    private enum State { STATUS, HEADERS, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, BODY, DONE }

    /** Takes pieces of the body, in order. */
    public interface Sink {
        void body(byte[] bytes, int start, int length) throws HttpException;
    }

    private final Sink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private State state = State.STATUS;
    private boolean chunked;
    private long left = UNTIL_CLOSE;
    private int headers;

    public HttpReader(Sink sink) {
        this.sink = sink;
    }

    /** Takes all bytes of {@code in}; after an exception the reader is of no more use. */
    public void feed(ByteBuffer in) throws HttpException {
        while (in.hasRemaining() && state != State.DONE) {
            if (state == State.CHUNK || state == State.BODY) {
                takeBody(in);
            } else if (takeLine(in)) {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                onLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            }
        }
    }

    /** Whether the head has come whole. */
    public boolean headDone() {
        return state != State.STATUS && state != State.HEADERS;
    }

    /** Whether the answer has come whole. */
    public boolean done() {
        return state == State.DONE;
    }

    /** Whether the answer is whole now that the connection has ended. */
    public boolean doneAtClose() {
        return state == State.DONE || state == State.BODY && left == UNTIL_CLOSE;
    }

    private boolean takeLine(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return true;
            }
            if (line.size() == LONGEST_LINE) {
                throw new HttpException("a line is too long");
            }
            line.write(b);
        }
        return false;
    }

    private void onLine(String text) throws HttpException {
        switch (state) {
            case STATUS -> onStatus(text);
            case HEADERS -> onHeader(text);
            case CHUNK_SIZE -> onChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException("a chunk does not end where it should");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> state = text.isEmpty() ? State.DONE : State.TRAILERS;
            default -> throw new IllegalStateException("no line belongs to " + state);
        }
    }

    private void onStatus(String text) throws HttpException {
        String[] parts = text.split(" ", 3);
        if (!parts[0].startsWith("HTTP/1.") || parts.length < 2) {
            throw new HttpException("no HTTP/1.1 status line");
        }
        if (!parts[1].equals(Integer.toString(OK))) {
            throw new HttpException("status " + parts[1]);
        }
        state = State.HEADERS;
    }

    private void onHeader(String text) throws HttpException {
        if (text.isEmpty()) {
            state = chunked ? State.CHUNK_SIZE : left == 0 ? State.DONE : State.BODY;
            return;
        }
        int colon = text.indexOf(':');
        if (colon <= 0 || ++headers > MOST_HEADERS) {
            throw new HttpException("a bad header, or too many");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "transfer-encoding" -> {
                chunked = value.equalsIgnoreCase("chunked");
                if (!chunked) {
                    throw new HttpException("transfer encoding " + value);
                }
            }
            case "content-length" -> left = number(value, 10);
            default -> { }
        }
    }

    private void onChunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        left = number((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
        state = left == 0 ? State.TRAILERS : State.CHUNK;
    }

    private static long number(String text, int radix) throws HttpException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && text.charAt(0) != '+') {
                return value;
            }
        } catch (NumberFormatException e) {
            // falls through to the same complaint
        }
        throw new HttpException("no length: '" + text + "'");
    }

    private void takeBody(ByteBuffer in) throws HttpException {
        int count = left == UNTIL_CLOSE ? in.remaining() : (int) Math.min(left, in.remaining());
        byte[] piece = new byte[count];
        in.get(piece);
        sink.body(piece, 0, count);
        if (left == UNTIL_CLOSE) {
            return;
        }
        left -= count;
        if (left == 0) {
            state = state == State.CHUNK ? State.CHUNK_END : State.DONE;
        }
    }
}
