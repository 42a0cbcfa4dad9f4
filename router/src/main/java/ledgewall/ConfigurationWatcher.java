package ledgewall;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Looks at a file now and then and says when it is another than before. It compares what the file holds, since times
 * of change are too coarse to tell a file caught half written from the whole one; so it is for small files.
 */
final class ConfigurationWatcher {
    /** A discovery that moves is gone at its old address after a second or more. */
    static final long EVERY_MILLIS = 500;

    private final Path file;
    private final Runnable changed;
    private byte[] last;

    ConfigurationWatcher(Path file, Runnable changed) {
        this.file = file;
        this.changed = changed;
        this.last = read();
    }

    /** Watches until the process ends. */
    static void start(Path file, Runnable changed) {
        ConfigurationWatcher watch = new ConfigurationWatcher(file, changed);
        Thread thread = new Thread(watch::run, "ledgewall-file");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(EVERY_MILLIS);
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One look: says so if the file holds something else than at the last one, or is missing since. */
    void look() {
        byte[] now = read();
        if (!Arrays.equals(now, last)) {
            last = now;
            changed.run();
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return null; // missing, or not to be read: whoever is told finds out why
        }
    }
}
