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
    private static String complaint(int status, String... args) {
        PrintStream before = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            assertEquals(status, Main.run(args));
        } finally {
            System.setErr(before);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void unknownCommandsGetTheUsage() {
        assertTrue(complaint(2).contains("serve"));
        assertTrue(complaint(2, "fly").contains("simhost"));
        assertTrue(complaint(2, "serve", "twice", "over").contains("usage"));
    }

    @Test
    void aMissingOrBrokenConfigurationIsAPlainMessage(@TempDir Path folder) throws IOException {
        assertTrue(complaint(1, "serve", folder.resolve("none.json").toString()).contains("none.json"));
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\"listen\":");
        String text = complaint(1, "serve", broken.toString());
        assertTrue(text.startsWith("ledgewall: broken.json: no JSON"), text);
        assertEquals(1, text.lines().count());
    }
}
