package ledgewall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import ledgewall.settings.FormatException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListParserTest {
    private static ListUpdate parse(String json) {
        return ListParser.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void allFieldsOfAnEntryAreRead() {
        ListUpdate update = parse("{\"revision\":43,\"complete\":true,\"later\":{\"a\":[1]},\"members\":[{\"id\":\"s-1\","
            + "\"host_port\":\"127.0.0.9:7000\",\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":3,"
            + "\"phase\":\"Terminating\",\"size\":1.5,\"up_since_ms\":1767225600123}]}");
        assertEquals(43, update.revision());
        assertTrue(update.complete());
        assertEquals(new Member("s-1", "127.0.0.9:7000", "a", "m2", 3, Member.Phase.TERMINATING, 1.5, false,
            1_767_225_600_123L), update.members().get(0));
    }

    @Test
    void entryThatIsGoneNeedsNoAddress() {
        ListUpdate update = parse("{\"revision\":44,\"members\":[{\"id\":\"s-1\",\"phase\":\"Gone\"}]}");
        assertFalse(update.complete());
        assertEquals(Member.Phase.GONE, update.members().get(0).phase());
    }

    @Test
    void deeplyNestedInputIsRejected() {
        String nestedArrays = "[".repeat(900) + "]".repeat(900);
        assertThrows(FormatException.class, () -> parse("{\"revision\":1,\"members\":[],\"x\":" + nestedArrays + "}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "", "[]", "{", "{}", "{\"revision\":1}", "{\"members\":[]}", "{\"revision\":\"x\",\"members\":[]}",
        "{\"revision\":1,\"members\":[{}]}", "{\"revision\":1,\"members\":[3]}", "{\"revision\":1,\"members\":[]} 1",
        "{\"revision\":1,\"members\":[{\"id\":\"a\",\"phase\":\"Lost\"}]}"})
    void malformedListIsRejected(String json) {
        assertThrows(FormatException.class, () -> parse(json));
    }
}
