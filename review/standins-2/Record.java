import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, each line with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Writes one line, formatted as by {@link String#format}. */
    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startedAt) / 1e6, String.format(Locale.ROOT, format, arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
