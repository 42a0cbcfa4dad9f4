package ledgewall.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Incremental parser for one HTTP/1.x response. The body may be chunked, have a Content-Length, or end when the
 * connection is closed. Body bytes are passed to a {@link BodySink} as they arrive and are not buffered; the length of a
 * line and the number of headers are limited.
 */
public final class HttpResponseParser {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADERS = 100;
    private static final int STATUS_OK = 200;
    /** Value of {@link #remainingBytes} if the body ends when the connection is closed. */
    private static final long UNTIL_CLOSE = -1;

    private enum State { STATUS, HEADERS, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, BODY, DONE }

    /** Receives the response body in order, in pieces of any size. */
    public interface BodySink {
        void body(byte[] bytes, int offset, int length) throws HttpException;
    }

    private final BodySink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private State state = State.STATUS;
    private boolean chunked;
    /** Bytes that are left of the body, or of the current chunk. */
    private long remainingBytes = UNTIL_CLOSE;
    private int headerCount;

    public HttpResponseParser(BodySink sink) {
        this.sink = sink;
    }

    /** Parses the bytes of {@code in} up to the end of the response. After an exception the parser must not be used any more. */
    public void feed(ByteBuffer in) throws HttpException {
        while (in.hasRemaining() && state != State.DONE) {
            if (state == State.CHUNK || state == State.BODY) {
                readBody(in);
            } else if (readLine(in)) {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                parseLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            }
        }
    }

    /** Whether the status line and all headers have been read. */
    public boolean headersComplete() {
        return state != State.STATUS && state != State.HEADERS;
    }

    /** Whether the response has been read to its end. */
    public boolean isComplete() {
        return state == State.DONE;
    }

    /** Whether the response is complete if the connection was closed at this point. */
    public boolean isCompleteAtClose() {
        return state == State.DONE || state == State.BODY && remainingBytes == UNTIL_CLOSE;
    }

    private boolean readLine(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                return true;
            }
            if (line.size() == MAX_LINE_BYTES) {
                throw new HttpException("line is too long");
            }
            line.write(b);
        }
        return false;
    }

    private void parseLine(String text) throws HttpException {
        switch (state) {
            case STATUS -> parseStatusLine(text);
            case HEADERS -> parseHeader(text);
            case CHUNK_SIZE -> parseChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException("chunk is longer than its stated size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> state = text.isEmpty() ? State.DONE : State.TRAILERS;
            default -> throw new IllegalStateException("unexpected line in state " + state);
        }
    }

    private void parseStatusLine(String text) throws HttpException {
        String[] parts = text.split(" ", 3);
        if (!parts[0].startsWith("HTTP/1.") || parts.length < 2) {
            throw new HttpException("not an HTTP/1.x status line");
        }
        if (!parts[1].equals(Integer.toString(STATUS_OK))) {
            throw new HttpException("unexpected status " + parts[1]);
        }
        state = State.HEADERS;
    }

    private void parseHeader(String text) throws HttpException {
        if (text.isEmpty()) {
            state = chunked ? State.CHUNK_SIZE : remainingBytes == 0 ? State.DONE : State.BODY;
            return;
        }
        int colon = text.indexOf(':');
        if (colon <= 0 || ++headerCount > MAX_HEADERS) {
            throw new HttpException("malformed header, or too many headers");
        }
        String value = text.substring(colon + 1).trim();
        switch (text.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "transfer-encoding" -> {
                chunked = value.equalsIgnoreCase("chunked");
                if (!chunked) {
                    throw new HttpException("unsupported transfer encoding " + value);
                }
            }
            case "content-length" -> remainingBytes = parseLength(value, 10);
            default -> { }
        }
    }

    private void parseChunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        remainingBytes = parseLength((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
    }

    private static long parseLength(String text, int radix) throws HttpException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && text.charAt(0) != '+') {
                return value;
            }
        } catch (NumberFormatException e) {
            // falls through to the exception below
        }
        throw new HttpException("invalid length '" + text + "'");
    }

    private void readBody(ByteBuffer in) throws HttpException {
        int count = remainingBytes == UNTIL_CLOSE ? in.remaining() : (int) Math.min(remainingBytes, in.remaining());
        byte[] piece = new byte[count];
        in.get(piece);
        sink.body(piece, 0, count);
        if (remainingBytes == UNTIL_CLOSE) {
            return;
        }
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = state == State.CHUNK ? State.CHUNK_END : State.DONE;
        }
    }
}
