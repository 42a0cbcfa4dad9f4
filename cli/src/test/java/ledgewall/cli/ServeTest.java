package ledgewall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs {@code serve --rules} as a process and reloads the rules with SIGHUP. */
@Timeout(60)
class ServeTest {
    private static void awaitLine(BufferedReader log, String expectedPart) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(expectedPart)) {
            line = log.readLine();
        }
        assertNotNull(line, "no line with '" + expectedPart + "'");
    }

    private static void sendSignal(Process router, String name) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, "" + router.pid()).start().waitFor());
    }

    /**
     * Runs with the default disposition of SIGHUP, and with SIGHUP ignored from the start, as under nohup: a handler that
     * is installed later then never gets the signal.
     */
    @ParameterizedTest
    @ValueSource(strings = {"exec \"$@\"", "trap '' HUP; exec \"$@\""})
    void reloadAppliesValidRulesAndKeepsTheOldRulesOnErrors(String shellCommand, @TempDir Path folder)
            throws IOException, InterruptedException {
        Path config = folder.resolve("router.json");
        Path rules = folder.resolve("rules.hcl");
        String rulesText = Files.readString(Path.of("deploy/rules.hcl"));
        Files.writeString(config, Files.readString(Path.of("deploy/parking.json")).replace("127.0.0.1:5433", "127.0.0.1:0"));
        Files.writeString(rules, rulesText);
        Process router = new ProcessBuilder("/bin/sh", "-c", shellCommand, "sh",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Dorg.slf4j.simpleLogger.defaultLogLevel=info",
            "-cp", System.getProperty("java.class.path"),
            "ledgewall.cli.Ledgewall", "serve", "--rules", rules.toString(), config.toString())
            .redirectErrorStream(true).start();
        // kills the process if an expected line never appears, which ends the log
        CompletableFuture.delayedExecutor(40, TimeUnit.SECONDS).execute(router::destroyForcibly);
        try (BufferedReader log = new BufferedReader(new InputStreamReader(router.getInputStream(), StandardCharsets.UTF_8))) {
            awaitLine(log, "rules=5 rules are read");
            awaitLine(log, "listens on");
            Files.writeString(rules, rulesText.replace("sql.writes", "sql.writs"));
            sendSignal(router, "HUP");
            awaitLine(log, "the rules stay as they are: rules.hcl: rule \"booking\", match:1:1: unknown name 'sql.writs'");
            Files.delete(rules);
            sendSignal(router, "HUP");
            awaitLine(log, "no such file");
            Files.writeString(rules, rulesText);
            sendSignal(router, "HUP");
            awaitLine(log, "the rules are taken over");
            sendSignal(router, "TERM");
            awaitLine(log, "closed");
            assertTrue(router.waitFor(20, TimeUnit.SECONDS));
        } finally {
            router.destroyForcibly();
        }
    }
}
