package ledgewall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Tests the commands, and the errors for invalid settings files. */
class CliTest {
    private static final String CONFIG = "deploy/parking.json";
    private final StringWriter out = new StringWriter();

    /** Runs a command and returns its exit code. */
    private int run(String... args) {
        CommandLine commandLine = Ledgewall.commandLine();
        commandLine.setOut(new PrintWriter(out));
        commandLine.setErr(new PrintWriter(out));
        return commandLine.execute(args);
    }

    /** Returns and clears what was printed. */
    private String takeOutput() {
        String text = out.toString();
        out.getBuffer().setLength(0);
        return text;
    }

    @Test
    void deployedExamplesAreValidAndPassTheirCases() {
        assertEquals(0, run("check", CONFIG, "deploy/rules.hcl"), out::toString);
        assertTrue(takeOutput().contains("deploy/rules.hcl: ok, 5 rules"));
        assertEquals(0, run("rules", "test", "--config", CONFIG, "deploy/rules.hcl", "deploy/rules-cases.hcl"), out::toString);
        assertTrue(takeOutput().contains("7 passed, 0 failed"));
        assertEquals(0, run("rules", "explain", "--config", CONFIG, "deploy/rules.hcl"));
        assertTrue(takeOutput().contains("booking                  book-bay         equality"));
    }

    @Test
    void failingCaseIsReported(@TempDir Path folder) throws IOException {
        Path cases = folder.resolve("cases.hcl");
        Files.writeString(cases, "case \"x\" {\n sql = \"SELECT 1\"\n expect {\n class = \"book-bay\"\n }\n}\n");
        assertEquals(1, run("rules", "test", "--config", CONFIG, "deploy/rules.hcl", cases.toString()));
        assertTrue(takeOutput().contains("case \"x\": class is 'bay-status', not 'book-bay'"));
        Files.writeString(cases, "case \"x\" {\n sql = \"SELECT 1\"\n expect {\n klass = \"book-bay\"\n }\n}\n");
        assertEquals(1, run("rules", "test", "--config", CONFIG, "deploy/rules.hcl", cases.toString()));
        assertTrue(takeOutput().contains("unknown expectation 'klass'"));
    }

    @Test
    void expressionsAreCheckedEvaluatedAndExplained() {
        assertEquals(0, run("expression", "eval", "now.getHours() + size(sql.tables) + size(headers)", "now=2026-12-01T08:00:00Z",
            "sql.tables=a,b", "headers=x=1,y=2"));
        assertEquals("12", takeOutput().strip());
        assertEquals(1, run("expression", "eval", "headers['z'] == ''", "headers="));
        assertEquals("error: no_such_key", takeOutput().strip());
        assertEquals(1, run("expression", "check", "usr == 'x'"));
        assertTrue(takeOutput().contains("did you mean 'user'?\n  usr == 'x'\n  ^"));
        assertEquals(0, run("expression", "explain", "user == 'x' && path.startsWith('/v')"));
        assertTrue(takeOutput().contains("index: user in [x]; path begins with '/v'"));
        assertEquals(1, run("expression", "eval", "true", "now=yesterday"));
        assertTrue(takeOutput().contains("'now' is to be timestamp"));
        assertEquals(2, run("expression", "chek", "true"));
        assertEquals(2, run());
        takeOutput();
        assertEquals(0, run("help", "serve"));
        assertTrue(takeOutput().contains("--rules"));
        assertEquals(1, run("serve", "nowhere.json"));
        assertTrue(takeOutput().contains("ledgewall: no such file: nowhere.json"));
    }

    @Test
    void requestCanBeReadFromJson(@TempDir Path folder) throws IOException {
        Path request = folder.resolve("request.json");
        Files.writeString(request, "{\"user\": \"kiosk-7\", \"sql.tables\": [\"bays\"], \"sql.writes\": true,"
            + " \"comment\": {\"c\": \"x\"}, \"tls.name\": null, \"now\": \"2026-12-01T08:00:00Z\"}");
        assertEquals(0, run("expression", "eval", "--request", request.toString(),
            "sql.writes && 'bays' in sql.tables && comment.c == 'x' && !tls.name.hasValue() && now.getHours() == 8"));
        assertEquals("true", takeOutput().strip());
        for (String invalidJson : new String[] {"", "[]", "{\"user\": 5}", "{\"usr\": \"x\"}", "{\"now\": \"noon\"}", "{} {}",
            "{\"sql.tables\": [[]]}"}) {
            Files.writeString(request, invalidJson);
            assertEquals(1, run("expression", "eval", "--request", request.toString(), "true"), invalidJson);
            assertTrue(takeOutput().startsWith("ledgewall: "), invalidJson);
        }
    }

    /** The message of the error that a rules file is rejected with. */
    private static String parseError(String text) {
        return assertThrows(SettingsException.class, () -> RulesFile.parse("rules.hcl", text, Set.of("book-bay", "bay-status")))
            .getMessage();
    }

    /** A rules file with one valid rule and these additional settings in it. */
    private static String rule(String settings) {
        return "rule \"a\" {\n match = \"true\"\n class = \"book-bay\"\n " + settings + "\n}\n";
    }

    @ParameterizedTest
    @CsvSource(delimiterString = " ~ ", quoteCharacter = '`', value = {
        "tennant = \"'x'\" ~ rules.hcl, rule \"a\": unknown setting 'tennant'",
        "wait = 5 ~ rules.hcl, rule \"a\": 'wait' is to be a string",
        "limit { } ~ neither a rate nor a number at once", "limit { rate = -1 } ~ a rate is from 0",
        "limit { rate = \"x\" } ~ 'rate' is to be a number",
        "limit { rte = 1 } ~ unknown setting 'rte'",
        "tenant = \"usr\" ~ rule \"a\", tenant:1:1: unknown name 'usr'; did you mean 'user'?",
        "group = \"'x'\" ~ is to be int, this is string", "limit { concurrent = 1.5 } ~ to be a whole number"})
    void invalidSettingIsReportedWithItsLocation(String setting, String message) {
        String error = parseError(rule(setting.replace("{ ", "{\n").replace(" }", "\n}")));
        assertTrue(error.contains(message), error);
    }

    @Test
    void invalidFileIsRejected() {
        assertTrue(parseError("").contains("no rule"));
        assertTrue(parseError("commments = \"win\"\n" + rule("")).contains("unknown setting 'commments'"));
        assertTrue(parseError("comments = \"maybe\"\n" + rule("")).contains("\"win\" or \"lose\""));
        assertTrue(parseError(rule("") + rule("")).contains("two blocks are rule \"a\""));
        assertTrue(parseError("rule {\n match = \"true\"\n}\n").contains("need a name"));
        assertTrue(parseError("rule \"a\" {\n match = \"true\"\n}\n").contains("lacks 'class'"));
        assertTrue(parseError("expressions {\n a = \"b\"\n b = \"true\"\n}\n" + rule(""))
            .contains("expression \"a\":1:1: unknown name 'b'"));
        assertTrue(parseError("limits {\n steps = 0\n}\n" + rule("")).contains("can take 1 steps"));
    }

    /**
     * A file that is truncated or has a changed character is either accepted or rejected with a SettingsException; no
     * unchecked error of the HCL parser escapes.
     */
    @Test
    void damagedFilesAreAcceptedOrRejectedWithASettingsError() throws IOException {
        String original = Files.readString(Path.of("deploy/rules.hcl"));
        SplittableRandom random = new SplittableRandom(9);
        int rejected = 0;
        for (int i = 0; i < 2_000; i++) {
            StringBuilder text = new StringBuilder(original);
            int position = random.nextInt(text.length());
            if (random.nextBoolean()) {
                text.setLength(position);
            } else {
                text.setCharAt(position, "{}\"=[](\\$\n#x<".charAt(random.nextInt(13)));
            }
            try {
                RulesFile.parse("rules.hcl", text.toString(), Set.of("book-bay", "bay-status", "trip-history"));
            } catch (SettingsException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 500, rejected + " rejected");
    }
}
