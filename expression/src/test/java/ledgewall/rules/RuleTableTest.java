package ledgewall.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Schema;
import ledgewall.rules.Rule.Output;
import org.junit.jupiter.api.Test;

class RuleTableTest {
    private static final Set<String> CLASSES = Set.of("bay-status", "book-bay", "trip-history");
    private final Schema schema = Schema.ofRequests();

    private static Rule rule(String name, String match, String requestClass) {
        return new Rule(name, match, requestClass, Map.of(), null, null);
    }

    private RuleTable table(Rule... rules) throws RuleException {
        return RuleTable.of(schema, Limits.DEFAULT, Map.of(), List.of(rules), CLASSES);
    }

    private Frame frame(Object... namesAndValues) {
        Frame frame = new Frame(schema);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            frame.set(schema.attribute((String) namesAndValues[i]), namesAndValues[i + 1]);
        }
        return frame;
    }

    private static Decision decide(RuleTable table, Frame frame) {
        Decision decision = new Decision();
        table.decide(frame, decision);
        return decision;
    }

    @Test
    void firstMatchingRuleDecides() throws RuleException {
        Map<String, String> namedExpressions = new LinkedHashMap<>();
        namedExpressions.put("writes", "sql.keyword in ['INSERT', 'UPDATE', 'DELETE']");
        namedExpressions.put("books", "writes && 'bookings' in sql.tables");
        Rule booking = new Rule("booking", "books", "book-bay", Map.of(Output.TENANT, "user.split('-')[0]", Output.GROUP,
            "bucket(user, 4)", Output.SESSION, "user", Output.WAIT, "duration('5s')", Output.RETRY, "comment.r == '1'"),
            new Limiter.Config(10, 20, 0, 100), "user");
        RuleTable table = RuleTable.of(schema, Limits.DEFAULT, namedExpressions, List.of(booking,
            rule("status", "!writes", "bay-status"), rule("rest", "true", "trip-history")), CLASSES);
        Decision first = decide(table, frame("sql.keyword", "INSERT", "sql.tables", List.of("bookings"), "user", "kiosk-7"));
        assertEquals("book-bay", first.requestClass());
        assertEquals("booking", first.ruleName());
        assertEquals("kiosk", first.tenant());
        assertTrue(first.group() >= 0 && first.group() < 4);
        assertEquals("kiosk-7", first.session());
        assertEquals(5_000_000_000L, first.maxWaitNs());
        assertEquals("kiosk-7", first.limitKey());
        assertFalse(first.retry());
        assertEquals(1, table.errorCount(0, ErrorKind.ABSENT)); // the request has no comment, so comment.r is absent
        assertEquals("bay-status", decide(table, frame("sql.keyword", "SELECT")).requestClass());
        assertEquals("trip-history", decide(table, frame()).requestClass());
        assertEquals(List.of(1L, 1L, 1L), List.of(table.matchCount(0), table.matchCount(1), table.matchCount(2)));
        assertEquals(List.of(), table.warnings());
    }

    @Test
    void requestWithoutMatchingRuleHasNoDecision() throws RuleException {
        RuleTable table = table(rule("a", "user == 'x'", "bay-status"));
        assertFalse(decide(table, frame("user", "y")).matched());
        assertEquals(1, table.unmatchedCount());
        assertTrue(table.warnings().get(0).startsWith("no rule matches every request"));
    }

    @Test
    void anyInvalidRuleRejectsTheWholeTable() {
        RuleException typeError = assertThrows(RuleException.class, () -> table(rule("first", "true", "bay-status"),
            rule("unreachable", "false && (user == 'a' || size(user) == 'b')", "bay-status")));
        assertTrue(typeError.detailedMessage().startsWith("rule \"unreachable\", match:1:37: no '==' for int and string"),
            typeError.detailedMessage());
        assertTrue(assertThrows(RuleException.class, () -> table(rule("a", "true", "book-boy"))).getMessage()
            .contains("no class 'book-boy'; there are bay-status, book-bay, trip-history"));
        assertTrue(assertThrows(RuleException.class, () -> table(rule("a", "user", "book-bay"))).getMessage()
            .contains("is to be bool, this is string"));
        assertThrows(RuleException.class, () -> table(rule("a", "true", "book-bay"), rule("a", "true", "book-bay")));
        assertThrows(RuleException.class, () -> table(new Rule("a", "true", "book-bay", Map.of(Output.WAIT, "5"), null, null)));
        assertThrows(RuleException.class, () -> table(new Rule("a", "true", "book-bay", Map.of(),
            new Limiter.Config(0, 0, 0, 10), null)));
    }

    @Test
    void rulesThatCannotMatchAreReported() throws RuleException {
        RuleTable table = table(
            rule("a", "sql.keyword in ['INSERT', 'UPDATE']", "book-bay"),
            rule("b", "user.startsWith('k') && sql.keyword == 'UPDATE'", "book-bay"),
            rule("c", "sql.tables.exists(t, t == 'x')", "book-bay"),
            rule("d", "user == 'y' && sql.tables.exists(u, u == 'x')", "book-bay"),
            rule("e", "path.startsWith('/v1')", "bay-status"),
            rule("f", "path.startsWith('/v1/bays')", "bay-status"),
            rule("g", "path.startsWith('/v')", "bay-status"),
            rule("h", "user == 'q' && false", "bay-status"),
            rule("i", "true", "bay-status"), rule("j", "user == 'z'", "bay-status"));
        List<String> names = table.warnings().stream().map(w -> w.substring(6, 7)).toList();
        assertEquals(List.of("b", "d", "f", "h", "j"), names.stream().distinct().toList());
    }

    /** Random tables and requests: the index and a linear scan must find the same rule. */
    @Test
    void indexFindsTheSameRuleAsALinearScan() throws RuleException {
        SplittableRandom random = new SplittableRandom(11);
        int matched = 0;
        Set<String> lookups = new TreeSet<>();
        for (int round = 0; round < 60; round++) {
            List<Rule> rules = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(120); i++) {
                StringBuilder match = new StringBuilder(randomCondition(random));
                for (int j = random.nextInt(3); j > 0; j--) {
                    match.append(random.nextInt(6) == 0 ? " || " : " && ").append(randomCondition(random));
                }
                rules.add(rule("r" + i, match.toString(), "bay-status"));
            }
            RuleTable table = RuleTable.of(schema, Limits.DEFAULT, Map.of(), rules, CLASSES);
            for (int i = 0; i < rules.size(); i++) {
                lookups.add(table.lookup(i));
            }
            for (int i = 0; i < 100; i++) {
                Frame frame = frame("user", "u" + random.nextInt(30), "path", "/a/b/c/d".substring(0, random.nextInt(9)),
                    "now", (long) random.nextInt(40), "headers", Map.of("x", "h" + random.nextInt(6)));
                if (random.nextBoolean()) {
                    frame.set(schema.attribute("sql.writes"), random.nextBoolean());
                }
                if (random.nextInt(3) > 0) {
                    frame.set(schema.attribute("database"), "d" + random.nextInt(4));
                }
                Decision decision = decide(table, frame);
                assertEquals(table.firstMatchByScan(frame), decision.ruleIndex());
                matched += decision.matched() ? 1 : 0;
            }
        }
        assertTrue(matched > 1_000, "only " + matched + " matched");
        assertEquals(Set.of("equality", "prefix", "range", "scan"), lookups);
    }

    private static String randomCondition(SplittableRandom random) {
        int number = random.nextInt(40);
        return switch (random.nextInt(12)) {
            case 0 -> "user == 'u" + number % 30 + "'";
            case 1 -> "user in ['u" + number % 30 + "', 'u" + number % 7 + "']";
            case 2 -> "path.startsWith('" + "/a/b/c/d".substring(0, number % 9) + "')";
            case 3 -> "now >= timestamp('1970-01-01T00:00:00Z') + duration('" + number + "ns')";
            case 4 -> "now < timestamp('1970-01-01T00:00:00.00000000" + number % 10 + "Z')";
            case 5 -> "headers['x'] == 'h" + number % 6 + "'";
            case 6 -> "(database == 'd1' || 'd" + number % 4 + "' == database)";
            case 7 -> "!(user == 'u" + number % 30 + "')";
            case 8 -> "headers['y'] == 'h'";
            case 9 -> number % 2 == 0 ? "sql.writes" : "!sql.writes && size(path) > " + number % 9;
            case 10 -> "timestamp('1970-01-01T00:00:00.00000002Z') > now";
            default -> "headers[?'x'].orValue('h1') == 'h1'";
        };
    }
}
