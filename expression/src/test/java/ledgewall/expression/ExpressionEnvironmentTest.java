package ledgewall.expression;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Results of compiled expressions, and expressions that must be rejected at load. */
class ExpressionEnvironmentTest {
    private final Schema schema = Schema.ofRequests();

    private Program compile(String source) throws ExpressionException {
        return new ExpressionEnvironment(schema, Limits.DEFAULT).compile(source);
    }

    private ExpressionException assertRejected(String source) {
        return assertThrows(ExpressionException.class, () -> compile(source), source);
    }

    private Frame request(Object... namesAndValues) {
        Frame frame = new Frame(schema);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            frame.set(schema.attribute((String) namesAndValues[i]), namesAndValues[i + 1]);
        }
        return frame;
    }

    private Frame bookingRequest() {
        return request("sql.keyword", "INSERT", "sql.tables", List.of("bookings", "bays"), "user", "kiosk-7", "path", "/v1/bays",
            "comment", Map.of("c", "book-bay", "cluster", "2"), "peer.address", "10.1.2.3", "headers", Map.of("x-lot", "A"),
            "now", 1_764_576_000_000_000_000L, "tls.name", Optional.empty());
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "sql.keyword in ['INSERT', 'UPDATE'] && 'bookings' in sql.tables", "sql.tables.exists(t, t.startsWith('boo'))",
        "!sql.tables.all(t, t == 'bays') && sql.tables.exists_one(t, t == 'bays')",
        "size(sql.tables.filter(t, t != 'bays')) == 1",
        "sql.tables.map(t, size(t)) == [8, 4]", "int(comment['cluster']) + 1 == 3", "comment[?'none'].orValue('x') == 'x'",
        "comment.c == 'book-bay' ? true : 1 / int(comment.cluster) == 0", "peer.address.inCidr('10.0.0.0/8')",
        "!peer.address.inCidr('2001:db8::/32')", "path.matches(r'^/v[0-9]+/') && !path.matches('x$')",
        "path.extract('^/(v[0-9]+)/').value() == 'v1'",
        "now < timestamp('2026-12-01T00:00:00Z') + duration('1d'.replace('d','h'))",
        "now.getHours() == 8 && now.getDayOfWeek() == 1", "duration('1h30m') - duration('90m') == duration('0s')",
        "bucket(user, 16) == bucket('kiosk-7', 16) && hash(user) == hash('kiosk-7')", "!tls.name.hasValue()",
        "tls.name.orValue('none') == 'none'", "user.split('-') == ['kiosk', '7'] && ['a', 'b'].join('-') == 'a-b'",
        "'\\u00e9\\x41\\101\\U0001F600' == 'éAA😀' && r'\\n' == '\\\\n'", "b'\\xff\\x00' != b'\\xff' && size(bytes('é')) == 2",
        "-9223372036854775808 < 0 && 0x7f == 127", "0.1 + 0.2 != 0.3 && 0.0 == -0.0 && !(0.0 / 0.0 == 0.0 / 0.0)",
        "{'a': 1, 'b': 2}['b'] == 2 && 'a' in {'a': 1}", "headers['x-lot'] == 'A' || headers['none'] == 'B'",
        "headers['none'] == 'B' || headers['x-lot'] == 'A'", "true || user == 'x' // a comment"})
    void evaluatesToTrue(String source) throws ExpressionException {
        Program program = compile(source);
        assertEquals(true, program.evaluate(bookingRequest()), source);
        Program.Evaluation interpreted = program.evaluateAndCount(bookingRequest());
        assertEquals(true, interpreted.value());
        assertTrue(interpreted.cost().steps() <= program.cost().steps(), source);
    }

    @ParameterizedTest
    @CsvSource(delimiterString = " ~ ", quoteCharacter = '`', value = {
        "headers['none'] == 'B' ~ NO_SUCH_KEY", "headers['none'] == 'B' && headers['x-lot'] == 'A' ~ NO_SUCH_KEY",
        "int(user) == 7 ~ BAD_CONVERSION", "int('9223372036854775807') + size(user) > 0 ~ OVERFLOW",
        "-9223372036854775808 - size(user) < 0 ~ OVERFLOW", "size(user) * 9223372036854775807 > 0 ~ OVERFLOW",
        "-(-9223372036854775807 - size(sql.tables) + 1) > 0 ~ OVERFLOW",
        "(-9223372036854775807 - size(sql.tables) + 1) / -1 > 0 ~ OVERFLOW",
        "5 / (size(user) - 7) > 0 ~ DIVISION_BY_ZERO", "5 % (size(user) - 7) > 0 ~ DIVISION_BY_ZERO",
        "now + duration('2500000h') > now ~ OVERFLOW", "sql.tables[size(user)] == 'x' ~ OUT_OF_RANGE",
        "user.substring(99) == 'x' ~ OUT_OF_RANGE", "tls.name.value() == 'x' ~ ABSENT", "method == 'GET' ~ ABSENT",
        "user.inCidr('10.0.0.0/8') ~ BAD_CONVERSION", "string(bytes(user) + bytes('x')) == '' ~ -"})
    void evaluationErrorIsReturnedAndDoesNotMatch(String source, String kind) throws ExpressionException {
        if (kind.equals("-")) {
            assertRejected(source);
            return;
        }
        Program program = compile(source);
        assertEquals(ErrorKind.valueOf(kind), program.evaluate(bookingRequest()));
        assertEquals(ErrorKind.valueOf(kind), program.evaluateAndCount(bookingRequest()).value());
        assertEquals(false, program.matches(bookingRequest()));
    }

    @ParameterizedTest
    @CsvSource(delimiterString = " ~ ", quoteCharacter = '`', value = {
        "sql.keywrd == 'X' ~ 1:1: unknown name 'sql.keywrd'; did you mean 'sql.keyword'?",
        "user.startWith('x') ~ 1:6: unknown method 'startWith'; did you mean 'startsWith'?",
        "true || user == 5 ~ 1:14: no '==' for string and int",
        "false && 1 / 0 == 1 ~ 1:14: division by zero", "path.matches('(') ~ 1:14: no regular expression",
        "path.matches(user) ~ 1:14: the regular expression must be a constant",
        "9223372036854775808 == 1 ~ 1:1: the integer does not fit in 64 bits",
        "1 + ~ 1:4: unexpected end of expression", "user = 'x' ~ 1:6: unexpected '='",
        "bucket(user, 0) == 0 ~ 1:14: a count of buckets under 1",
        "duration('5 parsecs') > duration('1s') ~ 1:1: this constant evaluates to an error: bad conversion",
        "peer.address.inCidr('10.0.0.0/99') ~ 1:21: no address range", "user ? 1 : 2 ~ 1:1: a condition must be a bool",
        "true ? 1 : 'x' ~ 1:12: both branches must have the same type",
        "sql.tables.all(t, size(t)) ~ 1:19: the body of 'all' must be a bool",
        "sql.tables.all(t, sql.tables.all(t, true)) ~ 1:34: 't' is already the variable of",
        "[] == [] ~ 1:1: an empty list has no element type",
        "[1, 'a'] == [1] ~ 1:5: all values in a list must have the same type",
        "'\\ud800' == 'x' ~ 1:1: the escape is not a valid character", "'abc ~ 1:1: unexpected",
        "user.name == 'x' ~ 1:6: string has no field 'name'"})
    void compileErrorHasMessageAndPosition(String source, String expectedPrefix) {
        ExpressionException exception = assertRejected(source);
        assertTrue(exception.getMessage().startsWith(expectedPrefix), exception.getMessage());
        String[] lines = exception.formatWithSource("rules.hcl", source).split("\n");
        assertEquals(exception.position().column() - 1 + 2, lines[2].indexOf('^'));
    }

    /** Deep nesting, long chains, large regular expressions and growing strings must fail fast, without a stack overflow. */
    @Test
    void oversizedExpressionsAreRejectedWithinTheTimeout() {
        String list = "sql.tables";
        String nested = "true";
        for (int i = 0; i < 12; i++) {
            nested = list + ".all(v" + i + ", " + nested + ")";
        }
        String doubled = "user";
        for (int i = 0; i < 12; i++) {
            doubled = "(" + doubled + " + " + doubled.replace("(", "").replace(")", "").substring(0, 4) + ").replace('a', user)";
        }
        List<String> rejectedSources = List.of("(".repeat(100_000) + "1" + ")".repeat(100_000), "!".repeat(100_000) + "true",
            "-".repeat(10_000) + "1", "x".repeat(1_000_000), "[".repeat(10_000), "true ? ".repeat(10_000), nested,
            doubled + " == ''", "path.matches('((a{100}){100}){100}')", "path.matches('" + "(a*)*".repeat(200) + "')",
            "'a'" + ".replace('a', 'aaaaaaaaaa')".repeat(100) + " == ''", "a.".repeat(900) + "b",
            "1" + " + 1".repeat(1_000) + " == 1",
            "user" + ".trim()".repeat(500) + " == ''", "'\u0000", "\ud800", "true" + " && true".repeat(100_000));
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            for (String source : rejectedSources) {
                assertNotNull(assertRejected(source).getMessage());
            }
        });
    }

    /** Each definition uses the one before twice: the cost must grow linearly, but strings that double must be rejected. */
    @Test
    void chainedNamedExpressionsAreEvaluatedOnce() throws ExpressionException {
        ExpressionEnvironment environment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        environment.define("n0", "size(user) > 3");
        for (int i = 1; i <= 60; i++) {
            environment.define("n" + i, "n" + (i - 1) + " && n" + (i - 1));
        }
        Program program = environment.compile("n60");
        assertTrue(program.cost().steps() < 500, program.cost().toString());
        assertEquals(true, program.evaluate(bookingRequest()));
        assertEquals(true, program.evaluateAndCount(bookingRequest()).value());
        assertThrows(ExpressionException.class, () -> environment.define("n1", "true"));
        assertThrows(ExpressionException.class, () -> environment.define("later", "later"));
        ExpressionEnvironment stringEnvironment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        stringEnvironment.define("s0", "user + user");
        assertThrows(ExpressionException.class, () -> {
            for (int i = 1; i < 64; i++) {
                stringEnvironment.define("s" + i, "s" + (i - 1) + " + s" + (i - 1));
            }
        });
    }

    /** A search in several conditions is shared; a subexpression that depends on a comprehension variable is not. */
    @Test
    void commonSubexpressionsAreSharedWithoutChangingResults() throws ExpressionException {
        ExpressionEnvironment environment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        String search = "sql.text.matches('(book|cancel)[ (]')";
        List<Program> separate = List.of(environment.compile("user == 'x' && " + search), environment.compile("!" + search),
            environment.compile("sql.tables.exists(t, t.contains(user))"),
                environment.compile("sql.tables.all(t, t.contains(user))"));
        List<Program> shared = environment.shareCommonSubexpressions(separate);
        Frame frame = request("user", "x", "sql.text", "SELECT book (7)", "sql.tables", List.of("bays"));
        for (int i = 0; i < separate.size(); i++) {
            assertEquals(separate.get(i).evaluate(frame), shared.get(i).evaluate(frame));
            assertEquals(separate.get(i).evaluate(frame), shared.get(i).evaluateAndCount(frame).value());
        }
        List<String> plan = Reference.plan(shared.get(1));
        assertTrue(plan.get(1).contains("shared part"), plan::toString);
        assertTrue(Reference.plan(shared.get(2)).stream().noneMatch(line -> line.contains("shared")));
        frame.set(schema.attribute("sql.text"), "SELECT 1");
        assertEquals(true, shared.get(1).evaluate(frame));
        assertEquals(true, shared.get(0).requirements().size() == 1 && separate.get(0).covers(shared.get(0)));
    }

    /** Two environments use the same slots in a frame, so values that one has shared must not be read by the other. */
    @Test
    void sharedValuesAreNotReusedAcrossEnvironments() throws ExpressionException {
        Frame frame = bookingRequest();
        ExpressionEnvironment firstEnvironment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        firstEnvironment.define("a", "user == 'kiosk-7'");
        ExpressionEnvironment secondEnvironment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        secondEnvironment.define("a", "user == 'desk'");
        assertTrue(firstEnvironment.compile("a").matches(frame));
        assertEquals(false, secondEnvironment.compile("a").matches(frame));
        assertTrue(firstEnvironment.compile("a").matches(frame));
    }

    /** Hashes decide on keys and buckets across versions of the router, so their values must never change. */
    @Test
    void hashValuesAreStable() throws ExpressionException {
        assertEquals(List.of(HASH_OF_STRING, HASH_OF_BYTES, HASH_OF_INT, HASH_OF_EMPTY_STRING), List.of(
            compile("hash('kiosk-7')").evaluate(bookingRequest()), compile("hash(b'\\x00\\xff')").evaluate(bookingRequest()),
            compile("hash(42)").evaluate(bookingRequest()), compile("hash('')").evaluate(bookingRequest())));
    }

    private static final long HASH_OF_STRING = -7984907972854531823L;
    private static final long HASH_OF_BYTES = -6225377411875435533L;
    private static final long HASH_OF_INT = -3051478158665635896L;
    private static final long HASH_OF_EMPTY_STRING = 3244421341483603138L;

    @Test
    void oversizedAttributeIsAnErrorAndWrongTypeThrows() throws ExpressionException {
        Frame frame = request("user", "x".repeat(129));
        assertEquals(ErrorKind.TOO_LARGE, compile("user == 'x'").evaluate(frame));
        assertThrows(IllegalArgumentException.class, () -> frame.set(schema.attribute("user"), 5L));
        frame.clear();
        assertEquals(ErrorKind.ABSENT, compile("user == 'x'").evaluate(frame));
    }

    @Test
    void clearedFrameKeepsNoSharedValues() throws ExpressionException {
        ExpressionEnvironment environment = new ExpressionEnvironment(schema, Limits.DEFAULT);
        environment.define("kiosk", "user.startsWith('kiosk')");
        Program program = environment.compile("kiosk");
        Frame frame = bookingRequest();
        assertTrue(program.matches(frame));
        frame.clear();
        frame.set(schema.attribute("user"), "desk");
        assertEquals(false, program.matches(frame));
        assertNull(program.error(frame));
    }
}
