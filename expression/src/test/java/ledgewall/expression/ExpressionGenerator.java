package ledgewall.expression;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Generates random expressions that are mostly well typed, corrupts sources and generates random requests. */
final class ExpressionGenerator {
    static final Schema SCHEMA = new Schema()
        .with("flag", Type.BOOL, Size.ONE, "")
        .with("count", Type.INT, Size.ONE, "")
        .with("ratio", Type.DOUBLE, Size.ONE, "")
        .with("name", Type.STRING, Size.chars(40), "")
        .with("peer.address", Type.STRING, Size.chars(45), "")
        .with("raw", Type.BYTES, Size.chars(20), "")
        .with("span", Type.DURATION, Size.ONE, "")
        .with("now", Type.TIMESTAMP, Size.ONE, "")
        .with("words", Type.listOf(Type.STRING), Size.list(6, Size.chars(12)), "")
        .with("counts", Type.listOf(Type.INT), Size.list(6, Size.ONE), "")
        .with("headers", Type.mapOf(Type.STRING), Size.map(5, 12, Size.chars(20)), "")
        .with("server", Type.optionalOf(Type.STRING), new Size(1, Size.chars(30), 0), "");
    private static final List<Type> SCALAR_TYPES = List.of(Type.BOOL, Type.INT, Type.DOUBLE, Type.STRING, Type.BYTES,
        Type.DURATION, Type.TIMESTAMP);
    private static final String[] TEXTS = {"", "a", "facts", "book-bay", "Bay Status", "é\u0000ü", "😀", "10.1.2.3", "::1", "-42",
        "1.5e3", "2026-12-01T00:00:00Z", "90m", "a,b,,c", "9223372036854775808", "\ud800"};
    private static final long[] LONGS = {0, 1, -1, 2, 7, 255, Long.MAX_VALUE, Long.MIN_VALUE, 1_000_000_000L};
    private static final double[] DOUBLES = {0, -0.0, 1, -1.5, Double.NaN, Double.POSITIVE_INFINITY, 1e300, 0x1p63};
    private static final String[] REGEXES = {"^a+", "b.*y", "[0-9]{1,3}", "(a|b)*c", "x(y)?", "^$", "(?i)BOOK"};

    private final SplittableRandom random;
    private final List<String> variableNames = new ArrayList<>();
    private final List<Type> variableTypes = new ArrayList<>();

    ExpressionGenerator(SplittableRandom random) {
        this.random = random;
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    Type randomType() {
        return switch (random.nextInt(10)) {
            case 0 -> Type.listOf(pick(SCALAR_TYPES));
            case 1 -> Type.mapOf(pick(SCALAR_TYPES));
            case 2 -> Type.optionalOf(Type.STRING);
            default -> pick(SCALAR_TYPES);
        };
    }

    String expression(Type type, int depth) {
        if (oneIn(60)) {
            return expression(randomType(), depth - 1); // most likely a type error
        }
        List<String> candidates = new ArrayList<>();
        for (int i = 0; i < variableNames.size(); i++) {
            if (variableTypes.get(i).equals(type)) {
                candidates.add(variableNames.get(i));
            }
        }
        SCHEMA.attributes().stream().filter(a -> a.type().equals(type)).forEach(a -> candidates.add(a.name()));
        if (depth <= 0 || oneIn(5)) {
            return candidates.isEmpty() || oneIn(3) ? literal(type) : pick(candidates);
        }
        return switch (random.nextInt(8)) {
            case 0 -> "(" + expression(Type.BOOL, depth - 1) + " ? " + expression(type, depth - 1) + " : "
                + expression(type, depth - 1) + ")";
            case 1 -> "[" + expression(type, depth - 1) + ", " + expression(type, depth - 1) + "]["
                + expression(Type.INT, depth - 2) + "]";
            case 2 -> "{'k': " + expression(type, depth - 1) + "}[" + expression(Type.STRING, depth - 2) + "]";
            default -> operationOfType(type, depth - 1);
        };
    }

    private String operationOfType(Type type, int depth) {
        return switch (type.kind()) {
            case BOOL -> boolExpression(depth);
            case INT -> intExpression(depth);
            case DOUBLE -> oneIn(2) ? "double(" + expression(oneIn(2) ? Type.INT : Type.STRING, depth) + ")"
                : binaryOperation(Type.DOUBLE, depth, "+", "-", "*", "/");
            case STRING -> stringExpression(depth);
            case BYTES -> "bytes(" + expression(Type.STRING, depth) + ")";
            case DURATION -> oneIn(2) ? "duration(" + expression(Type.STRING, depth) + ")"
                : oneIn(2) ? "(" + expression(Type.TIMESTAMP, depth) + " - " + expression(Type.TIMESTAMP, depth) + ")"
                : binaryOperation(Type.DURATION, depth, "+", "-");
            case TIMESTAMP -> oneIn(2) ? "timestamp(" + expression(Type.STRING, depth) + ")"
                : "(" + expression(Type.TIMESTAMP, depth) + " + " + expression(Type.DURATION, depth) + ")";
            case LIST -> listExpression(type, depth);
            case MAP -> "{'a': " + expression(type.element(), depth) + ", 'b': " + expression(type.element(), depth) + "}";
            case OPTIONAL -> oneIn(2) ? expression(Type.mapOf(type.element()), depth) + "[?"
                + expression(Type.STRING, depth) + "]"
                : expression(Type.STRING, depth) + ".extract('" + REGEXES[random.nextInt(REGEXES.length)] + "')";
        };
    }

    private String binaryOperation(Type type, int depth, String... operators) {
        return "(" + expression(type, depth) + " " + operators[random.nextInt(operators.length)] + " "
            + expression(type, depth) + ")";
    }

    private String boolExpression(int depth) {
        Type type = pick(SCALAR_TYPES);
        return switch (random.nextInt(12)) {
            case 0 -> "!" + expression(Type.BOOL, depth);
            case 1, 2 -> binaryOperation(Type.BOOL, depth, "&&", "||");
            case 3 -> binaryOperation(type == Type.BOOL ? Type.INT : type, depth, "<", "<=", ">", ">=");
            case 4 -> binaryOperation(randomType(), depth, "==", "!=");
            case 5 -> "(" + expression(type, depth) + " in " + expression(Type.listOf(type), depth) + ")";
            case 6 -> "(" + expression(Type.STRING, depth) + " in headers)";
            case 7 -> expression(Type.STRING, depth) + "." + pick(List.of("startsWith", "endsWith", "contains")) + "("
                + expression(Type.STRING, depth) + ")";
            case 8 -> expression(Type.STRING, depth) + ".matches(r'" + REGEXES[random.nextInt(REGEXES.length)] + "')";
            case 9 -> expression(Type.STRING, depth) + ".inCidr('" + pick(List.of("10.0.0.0/8", "::/0", "127.0.0.1")) + "')";
            case 10 -> expression(Type.optionalOf(Type.STRING), depth) + ".hasValue()";
            default -> comprehension(pick(List.of("all", "exists", "exists_one")), type, Type.BOOL, depth);
        };
    }

    private String comprehension(String macro, Type element, Type result, int depth) {
        String list = expression(Type.listOf(element), depth);
        String variableName = "v" + variableNames.size();
        variableNames.add(variableName);
        variableTypes.add(element);
        String body = expression(result, depth);
        variableNames.remove(variableNames.size() - 1);
        variableTypes.remove(variableTypes.size() - 1);
        return list + "." + macro + "(" + variableName + ", " + body + ")";
    }

    private String intExpression(int depth) {
        return switch (random.nextInt(9)) {
            case 0 -> "size(" + expression(pick(List.of(Type.STRING, Type.BYTES, Type.listOf(Type.INT))), depth) + ")";
            case 1 -> "int(" + expression(oneIn(2) ? Type.STRING : Type.DOUBLE, depth) + ")";
            case 2 -> "hash(" + expression(pick(List.of(Type.STRING, Type.BYTES, Type.INT)), depth) + ")";
            case 3 -> "bucket(" + expression(Type.STRING, depth) + ", " + expression(Type.INT, depth) + ")";
            case 4 -> expression(Type.TIMESTAMP, depth) + "." + pick(List.of("getHours", "getDayOfWeek", "getFullYear")) + "()";
            case 5 -> expression(Type.DURATION, depth) + ".getSeconds()";
            case 6 -> pick(List.of("min", "max")) + "(" + expression(Type.INT, depth) + ", " + expression(Type.INT, depth) + ")";
            case 7 -> expression(Type.STRING, depth) + ".indexOf(" + expression(Type.STRING, depth) + ")";
            default -> binaryOperation(Type.INT, depth, "+", "-", "*", "/", "%");
        };
    }

    private String stringExpression(int depth) {
        return switch (random.nextInt(9)) {
            case 0 -> "string(" + expression(pick(SCALAR_TYPES), depth) + ")";
            case 1 -> expression(Type.STRING, depth) + pick(List.of(".lowerAscii()", ".upperAscii()", ".trim()"));
            case 2 -> expression(Type.STRING, depth) + ".substring(" + expression(Type.INT, depth) + ")";
            case 3 -> expression(Type.STRING, depth) + ".replace(" + expression(Type.STRING, depth) + ", "
                + expression(Type.STRING, depth) + ")";
            case 4 -> expression(Type.listOf(Type.STRING), depth) + ".join(" + expression(Type.STRING, depth) + ")";
            case 5 -> "headers[" + expression(Type.STRING, depth) + "]";
            case 6 -> "headers[?" + expression(Type.STRING, depth) + "].orValue(" + expression(Type.STRING, depth) + ")";
            case 7 -> expression(Type.optionalOf(Type.STRING), depth) + ".value()";
            default -> binaryOperation(Type.STRING, depth, "+");
        };
    }

    private String listExpression(Type type, int depth) {
        return switch (random.nextInt(5)) {
            case 0 -> comprehension("filter", type.element(), Type.BOOL, depth);
            case 1 -> comprehension("map", pick(SCALAR_TYPES), type.element(), depth);
            case 2 -> binaryOperation(type, depth, "+");
            case 3 -> type.element() == Type.STRING
                ? expression(Type.STRING, depth) + ".split(" + expression(Type.STRING, depth) + ")"
                : literal(type);
            default -> "[" + expression(type.element(), depth) + "]";
        };
    }

    private String literal(Type type) {
        return switch (type.kind()) {
            case BOOL -> oneIn(2) ? "true" : "false";
            case INT -> Long.toString(LONGS[random.nextInt(LONGS.length)]);
            case DOUBLE -> pick(List.of("0.0", "-1.5", "1e300", "2.0", "0.1"));
            case STRING -> "'" + pick(List.of("", "a", "facts", "x-lot", "10.0.0.1", "-7", "é", "\\u0000", "\\n", "90m")) + "'";
            case BYTES -> "b'" + pick(List.of("", "a", "\\xff\\x00", "é")) + "'";
            case DURATION -> "duration('" + pick(List.of("1s", "-90m", "250ms", "1h30m")) + "')";
            case TIMESTAMP -> "timestamp('" + pick(List.of("2026-12-01T08:00:00Z", "1970-01-01T00:00:00Z")) + "')";
            case LIST -> "[" + literal(type.element()) + ", " + literal(type.element()) + "]";
            case MAP -> "{'a': " + literal(type.element()) + "}";
            case OPTIONAL -> "headers[?'a']";
        };
    }

    /** Deletes, duplicates, overwrites or inserts characters. */
    String corrupt(String source) {
        StringBuilder text = new StringBuilder(source);
        for (int edits = random.nextInt(3) + 1; edits > 0 && text.length() > 0; edits--) {
            int start = random.nextInt(text.length());
            int end = Math.min(text.length(), start + random.nextInt(6) + 1);
            switch (random.nextInt(4)) {
                case 0 -> text.delete(start, end);
                case 1 -> text.insert(start, text.substring(start, end));
                case 2 -> text.setCharAt(start, (char) random.nextInt(oneIn(4) ? 0x10000 : 128));
                default -> text.insert(start, pick(List.of("(", ")", "[", "]", "?", ":", ".", "&&", "!", "-", "'", "\\", "in",
                    "1", "{")));
            }
        }
        return text.toString();
    }

    /** Generates a request without some of the attributes; a few values exceed the maximum sizes of the schema. */
    Frame randomRequest() {
        Frame frame = new Frame(SCHEMA);
        for (Schema.Attribute attribute : SCHEMA.attributes()) {
            if (!oneIn(12)) {
                frame.set(attribute, randomValue(attribute.type(), attribute.size()));
            }
        }
        return frame;
    }

    private Object randomValue(Type type, Size size) {
        return switch (type.kind()) {
            case BOOL -> oneIn(2);
            case INT, DURATION, TIMESTAMP -> oneIn(2) ? LONGS[random.nextInt(LONGS.length)] : random.nextLong(-1_000, 1_000);
            case DOUBLE -> DOUBLES[random.nextInt(DOUBLES.length)];
            case STRING -> randomText(size.count());
            case BYTES -> Bytes.of(new byte[random.nextInt((int) size.count() + (oneIn(30) ? 5 : 1))]);
            case LIST -> {
                List<Object> list = new ArrayList<>();
                for (int i = random.nextInt((int) size.count() + 1); i > 0; i--) {
                    list.add(randomValue(type.element(), size.element()));
                }
                yield list;
            }
            case MAP -> {
                Map<String, Object> map = new LinkedHashMap<>();
                for (int i = random.nextInt((int) size.count() + 1); i > 0; i--) {
                    map.put(randomText(size.keyChars()), randomValue(type.element(), size.element()));
                }
                yield map;
            }
            case OPTIONAL -> oneIn(3) ? Optional.empty() : Optional.of(randomValue(type.element(), size.element()));
        };
    }

    private String randomText(long maxChars) {
        String text = TEXTS[random.nextInt(TEXTS.length)];
        int length = oneIn(3) ? (int) maxChars : random.nextInt((int) maxChars + 1);
        return text.length() <= maxChars && oneIn(2) ? text
            : "ab,".repeat(length / 3 + 1).substring(0, length) + (oneIn(60) ? "beyond" : "");
    }
}
