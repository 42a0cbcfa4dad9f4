package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationWatcherTest {
    @Test
    void reportsEachChangeOfContentsOnceEvenIfTheModificationTimeStays(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "one");
        FileTime time = Files.getLastModifiedTime(file);
        AtomicInteger changes = new AtomicInteger();
        ConfigurationWatcher watcher = new ConfigurationWatcher(file, changes::incrementAndGet);
        watcher.check();
        assertEquals(0, changes.get());
        Files.writeString(file, "two");
        Files.setLastModifiedTime(file, time);
        watcher.check();
        watcher.check();
        assertEquals(1, changes.get());
        Files.delete(file);
        watcher.check();
        watcher.check();
        assertEquals(2, changes.get());
        Files.writeString(file, "two");
        watcher.check();
        assertEquals(3, changes.get());
    }
}
