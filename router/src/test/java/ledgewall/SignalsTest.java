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
import ledgewall.standin.StubServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals to a router that runs as a process. */
@Timeout(60)
class SignalsTest {
    private final BlockingQueue<Integer> discoveryRequests = new LinkedBlockingQueue<>();

    private StubServer discovery(int number) throws IOException {
        return new StubServer(connection -> {
            discoveryRequests.add(number);
            connection.awaitClose();
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

    /** Starts a router through a shell script, which sets up the signal handling that the process inherits. */
    private static Process startRouter(String shellScript, Path file) throws IOException {
        Process router = new ProcessBuilder("/bin/sh", "-c", shellScript, "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=info", "-cp", System.getProperty("java.class.path"),
            "ledgewall.Main", "serve", file.toString())
            .redirectErrorStream(true).start();
        // ends the log, and with it the wait for a line that never comes
        CompletableFuture.delayedExecutor(30, TimeUnit.SECONDS).execute(router::destroyForcibly);
        return router;
    }

    /** The process starts with SIGHUP ignored, as under nohup and some supervisors, so that its handler is never called. */
    @Test
    void reloadsTheFileWhenItChangesIfSighupIsIgnored(@TempDir Path folder)
            throws IOException, InterruptedException {
        try (StubServer first = discovery(1); StubServer second = discovery(2)) {
            String template = Files.readString(Path.of("deploy/rehearsal.json"));
            String discoverySetting = "\"discovery\": \"127.0.0.1:9\"";
            Path file = folder.resolve("config.json");
            Files.writeString(file, template.replace(discoverySetting, "\"discovery\": \"" + first.address() + "\""));
            Process router = startRouter("trap '' HUP; exec \"$@\"", file);
            try (BufferedReader log = new BufferedReader(
                    new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8))) {
                assertNotNull(awaitLine(log, "SIGHUP was ignored"));
                assertNotNull(awaitLine(log, "listens on"));
                assertEquals(1, discoveryRequests.poll(20, TimeUnit.SECONDS));
                Files.writeString(file, template.substring(0, template.length() / 2));
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: config.json"));
                Files.writeString(file, template.replace(discoverySetting, "\"discovery\": \"" + second.address() + "\""));
                assertNotNull(awaitLine(log, "discovery is at"));
                while (discoveryRequests.poll(20, TimeUnit.SECONDS) != 2) {
                    continue; // the first address is still tried until the second has answered
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }

    @Test
    void sighupReloadsTheFileAndSigtermEndsTheProcess(@TempDir Path folder) throws IOException, InterruptedException {
        try (StubServer first = discovery(1); StubServer second = discovery(2)) {
            String template = Files.readString(Path.of("deploy/rehearsal.json"));
            String discoverySetting = "\"discovery\": \"127.0.0.1:9\"";
            Path file = folder.resolve("config.json");
            Files.writeString(file, template.replace(discoverySetting, "\"discovery\": \"" + first.address() + "\""));
            Process router = startRouter("exec \"$@\"", file);
            try (BufferedReader log = new BufferedReader(
                    new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8))) {
                assertNotNull(awaitLine(log, "listens on"));
                assertEquals(1, discoveryRequests.poll(20, TimeUnit.SECONDS));
                Files.writeString(file, template.substring(0, template.length() / 2));
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: config.json"));
                Files.delete(file);
                signal(router, "HUP");
                assertNotNull(awaitLine(log, "nothing changes: no such file"));
                Files.writeString(file, template.replace(discoverySetting, "\"discovery\": \"" + second.address() + "\""));
                signal(router, "HUP");
                while (discoveryRequests.poll(20, TimeUnit.SECONDS) != 2) {
                    continue; // the first address is still tried, as it never answers
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
