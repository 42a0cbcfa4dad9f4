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

class HttpReaderTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nab\nc\r\nA\r\nd\n\nefghijk\r\n0\r\nTrailer: 1\r\n\r\n";

    private final List<String> lines = new ArrayList<>();
    private final LineCutter cutter = new LineCutter(line -> lines.add(new String(line, StandardCharsets.UTF_8)));
    private final HttpReader reader = new HttpReader(cutter);

    private void feed(String text) throws HttpException {
        reader.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void chunksMayBeCutAnywhere() throws HttpException {
        for (int cut = 0; cut <= CHUNKED.length(); cut++) {
            List<String> got = new ArrayList<>();
            LineCutter pieces = new LineCutter(line -> got.add(new String(line, StandardCharsets.UTF_8)));
            HttpReader http = new HttpReader(pieces);
            http.feed(ByteBuffer.wrap(CHUNKED.substring(0, cut).getBytes(StandardCharsets.US_ASCII)));
            http.feed(ByteBuffer.wrap(CHUNKED.substring(cut).getBytes(StandardCharsets.US_ASCII)));
            assertTrue(http.done());
            pieces.finish();
            assertEquals(List.of("ab", "cd", "", "efghijk"), got, "cut at " + cut);
        }
    }

    @Test
    void aStatedLengthEndsTheAnswer() throws HttpException {
        feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
        assertFalse(reader.done());
        feed("c and what follows");
        assertTrue(reader.done());
        cutter.finish();
        assertEquals(List.of("abc"), lines);
    }

    @Test
    void withoutALengthTheAnswerEndsWithItsConnection() throws HttpException {
        feed("HTTP/1.0 200 OK\n\nabc\nd");
        assertFalse(reader.done());
        assertTrue(reader.doneAtClose());
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
    void whatIsNoAnswerIsTold(String text) {
        assertThrows(HttpException.class, () -> feed(text));
    }

    @Test
    void linesWithoutEndAreBounded() {
        char[] flood = new char[20_000];
        Arrays.fill(flood, 'x');
        assertThrows(HttpException.class, () -> feed("HTTP/1.1 200 OK\r\nX: " + new String(flood)));
    }

    @Test
    void randomBytesEndInItsOwnExceptionAtMost() {
        Random random = new Random(3);
        int refused = 0;
        for (int round = 0; round < 2_000; round++) {
            byte[] noise = new byte[100];
            random.nextBytes(noise);
            byte[] head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            HttpReader http = new HttpReader((bytes, start, length) -> { });
            try {
                if (round % 2 == 0) {
                    http.feed(ByteBuffer.wrap(head));
                }
                http.feed(ByteBuffer.wrap(noise));
            } catch (HttpException e) {
                refused++;
            }
        }
        assertTrue(refused > 500, "noise with a line's end is refused: " + refused);
    }
}
