package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ledgewall.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A started process and the signals that it is sent. */
@Timeout(60)
class SignalsTest {
    private final BlockingQueue<Integer> asked = new LinkedBlockingQueue<>();

    private StandInServer discovery(int number) throws IOException {
        return new StandInServer(connection -> {
            asked.add(number);
            connection.awaitEnd();
        });
    }

    private static String awaitLine(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        return line;
    }

    private static void signal(Process router, String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, "" + router.pid()).start().waitFor());
    }

    /** A router's process, begun by a shell that prepares what it inherits. */
    private static Process serve(String shell, Path file) throws IOException {
        Process router = new ProcessBuilder("/bin/sh", "-c", shell, "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=info", "-cp", System.getProperty("java.class.path"),
            "ledgewall.Main", "serve", file.toString())
            .redirectErrorStream(true).start();
        // a log that never says what is awaited ends with its process
        CompletableFuture.delayedExecutor(30, TimeUnit.SECONDS).execute(router::destroyForcibly);
        return router;
    }

    /** Started as nohup and some supervisors do, with SIGHUP ignored: no handler can ever hear it. */
    @Test
    void whereSighupIsIgnoredFromTheStartTheFileIsTakenOverAsItChanges(@TempDir Path folder)
            throws IOException, InterruptedException {
        try (StandInServer first = discovery(1); StandInServer second = discovery(2)) {
            String rehearsal = Files.readString(Path.of("deploy/rehearsal.json"));
            String before = "\"discovery\": \"127.0.0.1:9\"";
            Path file = folder.resolve("config.json");
            Files.writeString(file, rehearsal.replace(before, "\"discovery\": \"" + first.address() + "\""));
            Process router = serve("trap '' HUP; exec \"$@\"", file);
            try (BufferedReader log = new BufferedReader(
                    new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8))) {
                assertNotNull(awaitLine(log, "SIGHUP was ignored"));
                assertNotNull(awaitLine(log, "listens on"));
                assertEquals(1, asked.poll(20, TimeUnit.SECONDS));
                Files.writeString(file, rehearsal.substring(0, rehearsal.length() / 2));
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: config.json"));
                Files.writeString(file, rehearsal.replace(before, "\"discovery\": \"" + second.address() + "\""));
                assertNotNull(awaitLine(log, "discovery is at"));
                while (asked.poll(20, TimeUnit.SECONDS) != 2) {
                    continue; // the first is asked again now and then until the second has answered
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }

    @Test
    void aHangUpReloadsTheFileAndATerminationEndsTheProcess(@TempDir Path folder) throws IOException, InterruptedException {
        try (StandInServer first = discovery(1); StandInServer second = discovery(2)) {
            String rehearsal = Files.readString(Path.of("deploy/rehearsal.json"));
            String before = "\"discovery\": \"127.0.0.1:9\"";
            Path file = folder.resolve("config.json");
            Files.writeString(file, rehearsal.replace(before, "\"discovery\": \"" + first.address() + "\""));
            Process router = serve("exec \"$@\"", file);
            try (BufferedReader log = new BufferedReader(
                    new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8))) {
                assertNotNull(awaitLine(log, "listens on"));
                assertEquals(1, asked.poll(20, TimeUnit.SECONDS));
                Files.writeString(file, rehearsal.substring(0, rehearsal.length() / 2));
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: config.json"));
                Files.delete(file);
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: no such file"));
                Files.writeString(file, rehearsal.replace(before, "\"discovery\": \"" + second.address() + "\""));
                signal(router, "HUP");
                while (asked.poll(20, TimeUnit.SECONDS) != 2) {
                    continue; // the first is asked now and then, as it says nothing
                }
                signal(router, "TERM");
                assertNotNull(awaitLine(log, "closed"));
                assertTrue(router.waitFor(20, TimeUnit.SECONDS));
            } finally {
                router.destroyForcibly();
            }
        }
    }
}
