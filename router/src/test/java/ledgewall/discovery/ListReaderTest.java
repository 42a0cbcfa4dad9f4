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

class ListReaderTest {
    private static final String TWO = "{\n  \"revision\": 7,\n  \"complete\": true,\n  \"members\": [\n    {\n"
        + "      \"id\": \"a\",\n      \"host_port\": \"127.0.0.1:1\"\n    }, "
        + "{\"id\":\"b\",\"host_port\":\"127.0.0.1:2\",\"more\":[{}]}\n  ]\n}\n\n"
        + "{\"revision\":8,\"members\":[]}";

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 4_096})
    void listsMayStandOnManyLinesAndComeInPieces(int piece) {
        ListReader reader = new ListReader();
        byte[] bytes = TWO.getBytes(StandardCharsets.UTF_8);
        List<ListUpdate> updates = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += piece) {
            reader.body(bytes, at, Math.min(piece, bytes.length - at));
            updates.addAll(reader.take());
        }
        assertEquals(List.of(7L, 8L), updates.stream().map(ListUpdate::revision).toList());
        assertEquals(List.of("a", "b"), updates.get(0).members().stream().map(Member::id).toList());
        assertFalse(reader.isPartial());
    }

    @Test
    void aListIsPartialUntilItsLastByte() {
        ListReader reader = new ListReader();
        byte[] bytes = "{\"revision\":8,\"members\":[]}".getBytes(StandardCharsets.UTF_8);
        reader.body(bytes, 0, bytes.length - 1);
        assertTrue(reader.isPartial());
        assertEquals(List.of(), reader.take());
        reader.body(bytes, bytes.length - 1, 1);
        assertEquals(1, reader.take().size());
    }

    @Test
    void aListWithoutEndIsEnded() {
        ListReader reader = new ListReader();
        byte[] begin = "{\"revision\":1,\"members\":[".getBytes(StandardCharsets.UTF_8);
        reader.body(begin, 0, begin.length);
        byte[] spaces = " ".repeat(1 << 20).getBytes(StandardCharsets.UTF_8);
        assertThrows(FormatException.class, () -> {
            for (int i = 0; i < 5; i++) {
                reader.body(spaces, 0, spaces.length);
            }
        });
    }
}
