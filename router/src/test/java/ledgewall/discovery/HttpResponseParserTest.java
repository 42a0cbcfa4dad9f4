package ledgewall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpResponseParserTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nab\nc\r\nA\r\nd\n\nefghijk\r\n0\r\nTrailer: 1\r\n\r\n";

    private final List<String> lines = new ArrayList<>();
    private final LineSplitter splitter = new LineSplitter(line -> lines.add(new String(line, StandardCharsets.UTF_8)));
    private final HttpResponseParser parser = new HttpResponseParser(splitter);

    private void feed(String text) throws HttpException {
        parser.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void chunkedBodyIsReadWhereverTheInputIsSplit() throws HttpException {
        for (int splitAt = 0; splitAt <= CHUNKED.length(); splitAt++) {
            List<String> parsedLines = new ArrayList<>();
            LineSplitter lineSplitter = new LineSplitter(line -> parsedLines.add(new String(line, StandardCharsets.UTF_8)));
            HttpResponseParser responseParser = new HttpResponseParser(lineSplitter);
            responseParser.feed(ByteBuffer.wrap(CHUNKED.substring(0, splitAt).getBytes(StandardCharsets.US_ASCII)));
            responseParser.feed(ByteBuffer.wrap(CHUNKED.substring(splitAt).getBytes(StandardCharsets.US_ASCII)));
            assertTrue(responseParser.isComplete());
            lineSplitter.flush();
            assertEquals(List.of("ab", "cd", "", "efghijk"), parsedLines, "split at " + splitAt);
        }
    }

    @Test
    void contentLengthEndsTheResponse() throws HttpException {
        feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
        assertFalse(parser.isComplete());
        feed("c and what follows");
        assertTrue(parser.isComplete());
        splitter.flush();
        assertEquals(List.of("abc"), lines);
    }

    @Test
    void responseWithoutLengthEndsWhenTheConnectionIsClosed() throws HttpException {
        feed("HTTP/1.0 200 OK\n\nabc\nd");
        assertFalse(parser.isComplete());
        assertTrue(parser.isCompleteAtClose());
        assertEquals(List.of("abc"), lines);
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 503 Busy\r\n", "SSH-2.0-x\r\n", "HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nno header\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", "HTTP/1.1 200 OK\r\nContent-Length: many\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"})
    void malformedResponseIsRejected(String text) {
        assertThrows(HttpException.class, () -> feed(text));
    }

    @Test
    void lineLengthIsLimited() {
        char[] longValue = new char[20_000];
        Arrays.fill(longValue, 'x');
        assertThrows(HttpException.class, () -> feed("HTTP/1.1 200 OK\r\nX: " + new String(longValue)));
    }

    @Test
    void randomBytesCauseNoOtherExceptionThanHttpException() {
        Random random = new Random(3);
        int rejected = 0;
        for (int round = 0; round < 2_000; round++) {
            byte[] randomBytes = new byte[100];
            random.nextBytes(randomBytes);
            byte[] header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            HttpResponseParser responseParser = new HttpResponseParser((bytes, offset, length) -> { });
            try {
                if (round % 2 == 0) {
                    responseParser.feed(ByteBuffer.wrap(header));
                }
                responseParser.feed(ByteBuffer.wrap(randomBytes));
            } catch (HttpException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 500, "random bytes that contain a line break are rejected: " + rejected);
    }
}
