import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time in milliseconds since the run began. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long begin = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Milliseconds since the run began. */
    double now() {
        return (System.nanoTime() - begin) / 1e6;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%10.3f ", now());
        out.printf(Locale.ROOT, format, values);
        out.print('\n');
    }

    /** Adds a line and prints it too. */
    void say(String format, Object... values) {
        add(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
