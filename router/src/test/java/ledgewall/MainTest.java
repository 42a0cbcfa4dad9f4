package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private static String stderrOf(int expectedStatus, String... args) {
        PrintStream original = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            assertEquals(expectedStatus, Main.run(args));
        } finally {
            System.setErr(original);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void printsTheUsageForUnknownCommands() {
        assertTrue(stderrOf(2).contains("serve"));
        assertTrue(stderrOf(2, "fly").contains("simhost"));
        assertTrue(stderrOf(2, "serve", "twice", "over").contains("usage"));
    }

    @Test
    void reportsAMissingOrInvalidConfigurationInOneLine(@TempDir Path folder) throws IOException {
        assertTrue(stderrOf(1, "serve", folder.resolve("none.json").toString()).contains("none.json"));
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\"listen\":");
        String text = stderrOf(1, "serve", broken.toString());
        assertTrue(text.startsWith("ledgewall: broken.json: no JSON"), text);
        assertEquals(1, text.lines().count());
    }
}
