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
    void eachOtherContentIsToldOnceWhateverItsTimeSays(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "one");
        FileTime time = Files.getLastModifiedTime(file);
        AtomicInteger told = new AtomicInteger();
        ConfigurationWatcher watch = new ConfigurationWatcher(file, told::incrementAndGet);
        watch.look();
        assertEquals(0, told.get());
        Files.writeString(file, "two");
        Files.setLastModifiedTime(file, time);
        watch.look();
        watch.look();
        assertEquals(1, told.get());
        Files.delete(file);
        watch.look();
        watch.look();
        assertEquals(2, told.get());
        Files.writeString(file, "two");
        watch.look();
        assertEquals(3, told.get());
    }
}
