package ledgewall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.settings.FormatException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListStreamParserTest {
    private static final String TWO_UPDATES = "{\n  \"revision\": 7,\n  \"complete\": true,\n  \"members\": [\n    {\n"
        + "      \"id\": \"a\",\n      \"host_port\": \"127.0.0.1:1\"\n    }, "
        + "{\"id\":\"b\",\"host_port\":\"127.0.0.1:2\",\"more\":[{}]}\n  ]\n}\n\n"
        + "{\"revision\":8,\"members\":[]}";

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 4_096})
    void updatesMaySpanLinesAndArriveInPieces(int pieceLength) {
        ListStreamParser parser = new ListStreamParser();
        byte[] bytes = TWO_UPDATES.getBytes(StandardCharsets.UTF_8);
        List<ListUpdate> updates = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += pieceLength) {
            parser.body(bytes, offset, Math.min(pieceLength, bytes.length - offset));
            updates.addAll(parser.takeUpdates());
        }
        assertEquals(List.of(7L, 8L), updates.stream().map(ListUpdate::revision).toList());
        assertEquals(List.of("a", "b"), updates.get(0).members().stream().map(Member::id).toList());
        assertFalse(parser.isPartial());
    }

    @Test
    void updateIsPartialUntilItsLastByte() {
        ListStreamParser parser = new ListStreamParser();
        byte[] bytes = "{\"revision\":8,\"members\":[]}".getBytes(StandardCharsets.UTF_8);
        parser.body(bytes, 0, bytes.length - 1);
        assertTrue(parser.isPartial());
        assertEquals(List.of(), parser.takeUpdates());
        parser.body(bytes, bytes.length - 1, 1);
        assertEquals(1, parser.takeUpdates().size());
    }

    @Test
    void listWithoutEndIsRejectedAtTheSizeLimit() {
        ListStreamParser parser = new ListStreamParser();
        byte[] beginning = "{\"revision\":1,\"members\":[".getBytes(StandardCharsets.UTF_8);
        parser.body(beginning, 0, beginning.length);
        byte[] spaces = " ".repeat(1 << 20).getBytes(StandardCharsets.UTF_8);
        assertThrows(FormatException.class, () -> {
            for (int i = 0; i < 5; i++) {
                parser.body(spaces, 0, spaces.length);
            }
        });
    }
}
