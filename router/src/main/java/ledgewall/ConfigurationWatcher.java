package ledgewall;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Polls a file and reports when its contents change. It compares the contents, not the modification times, which are too
 * coarse to tell a file read while half written from the complete one. It is therefore meant for small files.
 */
final class ConfigurationWatcher {
    /** Short enough to learn a new discovery address in time: the old one stops answering a second or more after a move. */
    static final long INTERVAL_MILLIS = 500;

    private final Path file;
    private final Runnable onChange;
    private byte[] lastContents;

    ConfigurationWatcher(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.lastContents = read();
    }

    /** Polls the file on a daemon thread until the process ends. */
    static void start(Path file, Runnable onChange) {
        ConfigurationWatcher watcher = new ConfigurationWatcher(file, onChange);
        Thread thread = new Thread(watcher::run, "ledgewall-file");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                check();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reports a change if the contents differ from those of the last check, also if the file has disappeared or reappeared. */
    void check() {
        byte[] contents = read();
        if (!Arrays.equals(contents, lastContents)) {
            lastContents = contents;
            onChange.run();
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            return null; // missing or unreadable: the reload reports why
        }
    }
}
