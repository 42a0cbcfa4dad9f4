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
 * Evaluates random expressions for random requests. Nothing may crash, the cost must stay within its bound, the value must have
 * the declared type and fit the maximum size, and compiled code must return what the interpreter returns. The default is 20,000
 * expressions from a fixed seed; {@code -Dledgewall.fuzz=1000000 -Dledgewall.seed=7} makes a long run.
 */
class FuzzTest {
    private static final Limits LIMITS = Limits.DEFAULT;
    private static final int REQUESTS_PER_EXPRESSION = 3;

    private final Map<String, Long> outcomeCounts = new TreeMap<>();

    private void countOutcome(String outcome) {
        outcomeCounts.merge(outcome, 1L, Long::sum);
    }

    @Test
    void randomExpressionsAreRejectedOrStayWithinTheirCostBound() {
        int expressionCount = Integer.getInteger("ledgewall.fuzz", 20_000);
        long seed = Long.getLong("ledgewall.seed", 7);
        SplittableRandom random = new SplittableRandom(seed);
        long startNs = System.nanoTime();
        for (int i = 0; i < expressionCount; i++) {
            SplittableRandom expressionRandom = random.split();
            ExpressionGenerator generator = new ExpressionGenerator(expressionRandom);
            String source = generator.expression(generator.randomType(), 1 + expressionRandom.nextInt(5));
            if (expressionRandom.nextInt(3) == 0) {
                source = generator.corrupt(source);
            }
            try {
                checkExpression(source, generator);
            } catch (RuntimeException | StackOverflowError e) {
                fail("expression " + i + " of seed " + seed + ": " + source, e);
            }
        }
        System.out.println(expressionCount + " expressions, seed " + seed + ", "
            + (System.nanoTime() - startNs) / 1_000_000_000 + " s: " + outcomeCounts);
        assertEquals(expressionCount, outcomeCounts.get("accepted") + outcomeCounts.get("rejected"));
        assertTrue(outcomeCounts.get("accepted") > expressionCount / 4, "more than a quarter of the expressions must compile");
    }

    /** Typical conditions of rules, which are compiled to bytecode: errors, negations and nesting in random combinations. */
    @Test
    void bytecodeConditionsMatchTheInterpreter() {
        SplittableRandom random = new SplittableRandom(13);
        for (int i = 0; i < 5_000; i++) {
            String source = randomCondition(random, 3);
            checkExpression(source, new ExpressionGenerator(random.split()));
        }
        assertEquals(5_000, outcomeCounts.get("accepted") + outcomeCounts.getOrDefault("rejected", 0L));
        assertTrue(outcomeCounts.get("value") > 5_000 && outcomeCounts.get("error: ABSENT") > 500
            && outcomeCounts.get("error: NO_SUCH_KEY") > 500);
    }

    private static String randomCondition(SplittableRandom random, int depth) {
        if (depth == 0 || random.nextInt(4) == 0) {
            String operand = List.of("name", "peer.address", "headers['a']", "headers['ab,']").get(random.nextInt(4));
            String literal = "'" + List.of("", "a", "ab,", "facts", "10.1").get(random.nextInt(5)) + "'";
            String comparison = switch (random.nextInt(7)) {
                case 0 -> operand + " == " + literal;
                case 1 -> operand + " != " + literal;
                case 2 -> operand + " in [" + literal + ", 'b']";
                case 3 -> operand + ".startsWith(" + literal + ")";
                case 4 -> operand + ".endsWith(" + literal + ")";
                case 5 -> operand + ".contains(" + literal + ")";
                default -> random.nextBoolean() ? "flag" : "count / (count - 1) > 0";
            };
            return random.nextInt(3) == 0 ? "!(" + comparison + ")" : comparison;
        }
        StringBuilder operands = new StringBuilder(randomCondition(random, depth - 1));
        String operator = random.nextBoolean() ? " && " : " || ";
        for (int i = random.nextInt(4); i >= 0; i--) {
            operands.append(operator).append(randomCondition(random, depth - 1));
        }
        return (random.nextInt(4) == 0 ? "!" : "") + "(" + operands + ")";
    }

    private void checkExpression(String source, ExpressionGenerator generator) {
        Program program;
        Program shared;
        try {
            ExpressionEnvironment environment = new ExpressionEnvironment(ExpressionGenerator.SCHEMA, LIMITS);
            program = environment.compile(source);
            shared = environment.shareCommonSubexpressions(List.of(program, environment.compile(source))).get(1);
        } catch (ExpressionException e) {
            countOutcome("rejected");
            countOutcome("rejected: " + e.reason().replaceAll("['\"0-9].*|[;:].*|,.*", "").trim()
                .replaceAll("^(\\w+ \\w+).*", "$1"));
            assertTrue(e.formatWithSource("x", source).contains("^"));
            return;
        }
        countOutcome("accepted");
        for (int i = 0; i < REQUESTS_PER_EXPRESSION; i++) {
            Frame request = generator.randomRequest();
            Program.Evaluation interpreted = program.evaluateAndCount(request);
            Object compiledValue = program.evaluate(request);
            assertTrue(sameValue(interpreted.value(), compiledValue),
                () -> source + ": " + interpreted.value() + " when interpreted, compiled: " + compiledValue);
            assertTrue(interpreted.cost().steps() <= program.cost().steps()
                    && interpreted.cost().bytes() <= program.cost().bytes(),
                () -> source + " took " + interpreted.cost() + ", bound " + program.cost());
            assertTrue(sameValue(compiledValue, shared.evaluate(request)), () -> source + ": other value when shared");
            assertTrue(shared.evaluateAndCount(request).cost().steps() <= shared.cost().steps(), source);
            countOutcome(compiledValue instanceof ErrorKind error ? "error: " + error : "value");
            if (!(compiledValue instanceof ErrorKind)) {
                assertTrue(Values.isOfType(compiledValue, program.type()),
                    () -> source + ": " + compiledValue + " is not a value of " + program.type());
                assertTrue(Values.within(Values.measure(compiledValue), program.size()),
                    () -> source + ": " + compiledValue + " is larger than " + program.size());
            }
            if (program.type() == Type.BOOL) {
                assertEquals(Boolean.TRUE.equals(compiledValue), program.matches(request), source);
            }
        }
    }

    /** Whether two values are equal; NaN equals itself, also inside a list, a map or an optional. */
    private static boolean sameValue(Object a, Object b) {
        return a.equals(b) || a.toString().equals(b.toString()) && a.getClass().equals(b.getClass()) || Values.equal(a, b);
    }
}
