package ledgewall.expression;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The tables of the reference page must have exactly the rows that are generated from the code, in the same order. */
class ReferenceTest {
    @Test
    void pageTablesMatchTheCode() throws IOException {
        List<String> expectedRows = new ArrayList<>(Reference.attributeRows(Schema.ofRequests()));
        expectedRows.addAll(Reference.functionRows());
        List<String> pageRows = Files.readAllLines(Path.of("docs/expression-reference.md")).stream()
            .filter(line -> expectedRows.contains(line) || line.matches("\\| (function|method|operator) \\| .*")).toList();
        assertEquals(String.join("\n", expectedRows), String.join("\n", pageRows));
    }
}
