package ledgewall.expression;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Random expressions over random requests: nothing crashes, no evaluation takes more than its bound, a value has the type
 * and the size that were promised, and the compiled form says what the interpreter says. In CI some thousands from a fixed
 * seed; {@code -Dledgewall.fuzz=1000000 -Dledgewall.seed=7} for a long run.
 */
class FuzzTest {
    private static final Limits LIMITS = Limits.USUAL;
    private static final int REQUESTS = 3;

    private final Map<String, Long> counts = new TreeMap<>();

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    @Test
    void whateverIsWrittenIsRefusedAtLoadOrKeepsItsBound() {
        int expressions = Integer.getInteger("ledgewall.fuzz", 20_000);
        long seed = Long.getLong("ledgewall.seed", 7);
        SplittableRandom random = new SplittableRandom(seed);
        long start = System.nanoTime();
        for (int i = 0; i < expressions; i++) {
            SplittableRandom own = random.split();
            Generator generator = new Generator(own);
            String source = generator.expression(generator.type(), 1 + own.nextInt(5));
            if (own.nextInt(3) == 0) {
                source = generator.damaged(source);
            }
            try {
                one(source, generator);
            } catch (RuntimeException | StackOverflowError e) {
                fail("expression " + i + " of seed " + seed + ": " + source, e);
            }
        }
        System.out.println(expressions + " expressions, seed " + seed + ", "
            + (System.nanoTime() - start) / 1_000_000_000 + " s: " + counts);
        assertEquals(expressions, counts.get("accepted") + counts.get("refused"));
        assertTrue(counts.get("accepted") > expressions / 4, "most of what is generated is to be worth evaluating");
    }

    /** Conditions as rules have them, which become classes of their own: errors, negations and nesting in each mixture. */
    @Test
    void conditionsOfPlainPartsSayWhatTheInterpreterSays() {
        SplittableRandom random = new SplittableRandom(13);
        for (int i = 0; i < 5_000; i++) {
            String source = condition(random, 3);
            one(source, new Generator(random.split()));
        }
        assertEquals(5_000, counts.get("accepted") + counts.getOrDefault("refused", 0L));
        assertTrue(counts.get("value") > 5_000 && counts.get("error: ABSENT") > 500 && counts.get("error: NO_SUCH_KEY") > 500);
    }

    private static String condition(SplittableRandom random, int depth) {
        if (depth == 0 || random.nextInt(4) == 0) {
            String read = List.of("name", "peer.address", "headers['a']", "headers['ab,']").get(random.nextInt(4));
            String text = "'" + List.of("", "a", "ab,", "facts", "10.1").get(random.nextInt(5)) + "'";
            String part = switch (random.nextInt(7)) {
                case 0 -> read + " == " + text;
                case 1 -> read + " != " + text;
                case 2 -> read + " in [" + text + ", 'b']";
                case 3 -> read + ".startsWith(" + text + ")";
                case 4 -> read + ".endsWith(" + text + ")";
                case 5 -> read + ".contains(" + text + ")";
                default -> random.nextBoolean() ? "flag" : "count / (count - 1) > 0";
            };
            return random.nextInt(3) == 0 ? "!(" + part + ")" : part;
        }
        StringBuilder all = new StringBuilder(condition(random, depth - 1));
        String sign = random.nextBoolean() ? " && " : " || ";
        for (int i = random.nextInt(4); i >= 0; i--) {
            all.append(sign).append(condition(random, depth - 1));
        }
        return (random.nextInt(4) == 0 ? "!" : "") + "(" + all + ")";
    }

    private void one(String source, Generator generator) {
        Program program;
        Program shared;
        try {
            Expressions expressions = new Expressions(Generator.SCHEMA, LIMITS);
            program = expressions.compile(source);
            shared = expressions.share(List.of(program, expressions.compile(source))).get(1);
        } catch (ExpressionException e) {
            count("refused");
            count("refused: " + e.reason().replaceAll("['\"0-9].*|[;:].*|,.*", "").trim().replaceAll("^(\\w+ \\w+).*", "$1"));
            assertTrue(e.show("x", source).contains("^"));
            return;
        }
        count("accepted");
        for (int i = 0; i < REQUESTS; i++) {
            Frame request = generator.request();
            Program.Evaluation counted = program.evaluateAndCount(request);
            Object value = program.evaluate(request);
            assertTrue(same(counted.value(), value), () -> source + ": " + counted.value() + " and compiled " + value);
            assertTrue(counted.cost().steps() <= program.cost().steps() && counted.cost().bytes() <= program.cost().bytes(),
                () -> source + " took " + counted.cost() + ", bound " + program.cost());
            assertTrue(same(value, shared.evaluate(request)), () -> source + " is another value where it is shared");
            assertTrue(shared.evaluateAndCount(request).cost().steps() <= shared.cost().steps(), source);
            count(value instanceof ErrorKind error ? "error: " + error : "value");
            if (!(value instanceof ErrorKind)) {
                assertTrue(Values.isOfType(value, program.type()), () -> source + ": " + value + " is no " + program.type());
                assertTrue(Values.within(Values.measure(value), program.size()), () -> source + ": " + value + " is larger than "
                    + program.size());
            }
            if (program.type() == Type.BOOL) {
                assertEquals(Boolean.TRUE.equals(value), program.matches(request), source);
            }
        }
    }

    /** Equal, NaN included, wherever it stands. */
    private static boolean same(Object a, Object b) {
        return a.equals(b) || a.toString().equals(b.toString()) && a.getClass().equals(b.getClass()) || Values.equal(a, b);
    }
}
