package ledgewall.expression;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Function.Implementation;
import ledgewall.expression.Function.ConstantCheck;
import ledgewall.expression.Function.Form;
import ledgewall.expression.Function.CostFormula;
import ledgewall.expression.Function.SizeRule;
import ledgewall.expression.Function.TypeRule;
import ledgewall.expression.Type.Kind;

/**
 * Every function, method and operator of the language. In the lambdas below, t are the types of the arguments, s their sizes,
 * a their values, and c those that are constants, with null for the others.
 */
final class Functions {
    /**
     * Limits on a regular expression: characters of its source, and instructions of its compiled program, which counted
     * repetition can make much larger than the source.
     */
    private static final int MAX_PATTERN_CHARS = 512;
    private static final int MAX_PROGRAM_INSTRUCTIONS = 2_000;
    /** Upper bound on the length of a number, duration, timestamp or address in text form, in characters. */
    private static final long MAX_FORMATTED_CHARS = 64;

    // sizes of results, steps and allocated bytes of a call, and the check of constant arguments
    private static final SizeRule FIXED_SIZE = sizes -> Size.ONE;
    private static final CostFormula ONE_STEP = (sizes, result) -> 1;
    private static final CostFormula NO_BYTES = (sizes, result) -> 0;
    private static final CostFormula ONE_OBJECT = (sizes, result) -> Size.OBJECT_BYTES;
    private static final CostFormula NEW_STRING = (sizes, result) -> Costs.stringBytes(result.count());
    private static final ConstantCheck NO_CHECK = constants -> null;

    /** Functions by form and name, in the order of their declaration. */
    private static final Map<String, List<Function>> BY_FORM_AND_NAME = new LinkedHashMap<>();

    // each of these methods adds the functions of one group
    static {
        operators();
        strings();
        conversions();
        times();
        keysAndRanges();
        optionals();
    }

    private Functions() {
    }

    /** The overloads of a name in the order in which they are tried; empty if there are none. */
    static List<Function> named(String name, Form form) {
        List<Function> overloads = BY_FORM_AND_NAME.get(form + name);
        return overloads == null ? List.of() : overloads;
    }

    static List<Function> all() {
        return BY_FORM_AND_NAME.values().stream().flatMap(List::stream).toList();
    }

    private static void add(Function function) {
        BY_FORM_AND_NAME.computeIfAbsent(function.form() + function.name(), key -> new ArrayList<>()).add(function);
    }

    /** The typing of a function with exactly these parameter types. */
    private static TypeRule exactly(Type result, Type... parameters) {
        List<Type> expected = List.of(parameters);
        return arguments -> arguments.equals(expected) ? result : null;
    }

    /** Steps to compare two strings or byte strings up to the length of the shorter one, plus a fixed number. */
    private static CostFormula compareShorter(int extraSteps) {
        return (sizes, result) -> Costs.charSteps(Math.min(sizes.get(0).count(), sizes.get(1).count())) + extraSteps;
    }

    // ---- Operators

    private static void operators() {
        for (String name : List.of("==", "!=")) {
            boolean isEqual = name.equals("==");
            add(new Function(name, Form.OPERATOR, "T, T: bool", isEqual ? "whether two values of one type are equal"
                : "whether they are not", "1 and the smaller of both walked through",
                types -> types.get(0).equals(types.get(1)) ? Type.BOOL : null, FIXED_SIZE,
                (sizes, result) -> Math.min(traversalSteps(sizes.get(0)), traversalSteps(sizes.get(1))), NO_BYTES,
                arguments -> Values.equal(arguments[0], arguments[1]) == isEqual, NO_CHECK));
        }
        addComparison("<", order -> order < 0, "whether the first comes before the second");
        addComparison("<=", order -> order <= 0, "whether the first comes no later than the second");
        addComparison(">", order -> order > 0, "whether the first comes after the second");
        addComparison(">=", order -> order >= 0, "whether the first comes no earlier than the second");
        arithmetic();
        add(new Function("!", Form.OPERATOR, "bool: bool", "not", "1", exactly(Type.BOOL, Type.BOOL), FIXED_SIZE, ONE_STEP,
            NO_BYTES, a -> !(Boolean) a[0], NO_CHECK));
        add(new Function("+", Form.OPERATOR, "string, string: string", "one after the other", "1 and a 16th of the result",
            exactly(Type.STRING, Type.STRING, Type.STRING), s -> Size.chars(Size.plus(s.get(0).count(), s.get(1).count())),
            (s, result) -> Costs.charSteps(result.count()), NEW_STRING, a -> (String) a[0] + a[1], NO_CHECK));
        add(new Function("+", Form.OPERATOR, "list(T), list(T): list(T)", "one after the other", "1 and its elements",
            t -> t.get(0).kind() == Kind.LIST && t.get(0).equals(t.get(1)) ? t.get(0) : null,
            s -> Size.list(Size.plus(s.get(0).count(), s.get(1).count()), s.get(0).element().max(s.get(1).element())),
            (s, result) -> Size.plus(1, result.count()), (s, result) -> Costs.containerBytes(result.count()), a -> {
                List<Object> concatenated = new ArrayList<>((List<?>) a[0]);
                concatenated.addAll((List<?>) a[1]);
                return concatenated;
            }, NO_CHECK));
        add(new Function("in", Form.OPERATOR, "T, list(T): bool", "whether a list holds a value",
            "1 and each comparison; in a list of constants as much",
            t -> t.get(1).kind() == Kind.LIST && t.get(0).equals(t.get(1).element()) ? Type.BOOL : null, FIXED_SIZE,
            (s, result) -> Size.plus(1, Size.times(s.get(1).count(), traversalSteps(s.get(0)))), NO_BYTES, a -> {
                for (Object element : (List<?>) a[1]) {
                    if (Values.equal(a[0], element)) {
                        return true;
                    }
                }
                return false;
            }, NO_CHECK));
        add(new Function("in", Form.OPERATOR, "string, map(string, T): bool", "whether a map has a key",
            "1 and a 16th of the key", t -> t.get(1).kind() == Kind.MAP && t.get(0) == Type.STRING ? Type.BOOL : null, FIXED_SIZE,
            (s, result) -> Costs.charSteps(s.get(0).count()), NO_BYTES, a -> ((Map<?, ?>) a[1]).containsKey(a[0]), NO_CHECK));
        indexes();
    }

    /** Steps to visit a whole value of this size, nested values and map keys included. */
    private static long traversalSteps(Size size) {
        long ownSteps = Costs.charSteps(size.count());
        return size.element() == null ? ownSteps
            : Size.plus(1, Size.times(size.count(), Size.plus(traversalSteps(size.element()), Costs.charSteps(size.keyChars()))));
    }

    /** Decides a comparison from the result of {@link Values#compare}. */
    private interface OrderTest {
        boolean holds(int order);
    }

    private static void addComparison(String name, OrderTest test, String meaning) {
        add(new Function(name, Form.OPERATOR, "T, T: bool, T ordered", meaning, "1 and a 16th of the shorter",
            t -> t.get(0).equals(t.get(1)) && t.get(0).isOrdered() ? Type.BOOL : null, FIXED_SIZE, compareShorter(0), NO_BYTES,
            a -> {
                if (a[0] instanceof Double x && a[1] instanceof Double y && (x.isNaN() || y.isNaN())) {
                    return false;
                }
                if (a[0] instanceof Double x && x.equals(-((Double) a[1])) && x == 0) {
                    return test.holds(0); // 0.0 and -0.0 are equal, unlike in Double.compareTo
                }
                return test.holds(Values.compare(a[0], a[1]));
            }, NO_CHECK));
    }

    private interface LongOperation {
        long of(long a, long b);
    }

    private interface DoubleOperation {
        double of(double a, double b);
    }

    /** An operation on two longs whose overflow is an error value. */
    private static Implementation checked(LongOperation operation) {
        return a -> {
            try {
                return operation.of((Long) a[0], (Long) a[1]);
            } catch (ArithmeticException e) {
                return ErrorKind.OVERFLOW;
            }
        };
    }

    private static void addIntegerOperator(String name, String meaning, LongOperation operation, Type a, Type b, Type result) {
        add(new Function(name, Form.OPERATOR, a + ", " + b + ": " + result, meaning, "1", exactly(result, a, b), FIXED_SIZE,
            ONE_STEP, ONE_OBJECT, checked(operation), NO_CHECK));
    }

    private static void addDoubleOperator(String name, String meaning, DoubleOperation operation) {
        add(new Function(name, Form.OPERATOR, "double, double: double", meaning, "1",
            exactly(Type.DOUBLE, Type.DOUBLE, Type.DOUBLE), FIXED_SIZE, ONE_STEP, ONE_OBJECT,
            a -> operation.of((Double) a[0], (Double) a[1]), NO_CHECK));
    }

    private static void arithmetic() {
        addIntegerOperator("+", "sum", Math::addExact, Type.INT, Type.INT, Type.INT);
        addIntegerOperator("+", "sum", Math::addExact, Type.DURATION, Type.DURATION, Type.DURATION);
        addIntegerOperator("+", "later by that", Math::addExact, Type.TIMESTAMP, Type.DURATION, Type.TIMESTAMP);
        addIntegerOperator("-", "difference", Math::subtractExact, Type.INT, Type.INT, Type.INT);
        addIntegerOperator("-", "difference", Math::subtractExact, Type.DURATION, Type.DURATION, Type.DURATION);
        addIntegerOperator("-", "earlier by that", Math::subtractExact, Type.TIMESTAMP, Type.DURATION, Type.TIMESTAMP);
        addIntegerOperator("-", "from the second to the first", Math::subtractExact, Type.TIMESTAMP, Type.TIMESTAMP,
            Type.DURATION);
        addIntegerOperator("*", "product", Math::multiplyExact, Type.INT, Type.INT, Type.INT);
        for (String name : List.of("/", "%")) {
            boolean isDivision = name.equals("/");
            add(new Function(name, Form.OPERATOR, "int, int: int", isDivision ? "quotient, towards zero" : "its remainder", "1",
                exactly(Type.INT, Type.INT, Type.INT), FIXED_SIZE, ONE_STEP, ONE_OBJECT, a -> {
                    long divisor = (Long) a[1];
                    if (divisor == 0) {
                        return ErrorKind.DIVISION_BY_ZERO;
                    }
                    if (divisor == -1) {
                        return !isDivision ? Long.valueOf(0)
                            : (Long) a[0] == Long.MIN_VALUE ? ErrorKind.OVERFLOW : (Object) (-(Long) a[0]);
                    }
                    return isDivision ? (Long) a[0] / divisor : (Long) a[0] % divisor;
                }, constants -> Long.valueOf(0).equals(constants[1]) ? "division by zero" : null));
        }
        addDoubleOperator("+", "sum", (a, b) -> a + b);
        addDoubleOperator("-", "difference", (a, b) -> a - b);
        addDoubleOperator("*", "product", (a, b) -> a * b);
        addDoubleOperator("/", "quotient, by IEEE 754", (a, b) -> a / b);
        for (Type type : List.of(Type.INT, Type.DURATION)) {
            add(new Function("-", Form.OPERATOR, type + ": " + type, "the negative", "1", exactly(type, type), FIXED_SIZE,
                ONE_STEP, ONE_OBJECT, a -> (Long) a[0] == Long.MIN_VALUE ? ErrorKind.OVERFLOW : (Object) (-(Long) a[0]),
                NO_CHECK));
        }
        add(new Function("-", Form.OPERATOR, "double: double", "the negative", "1", exactly(Type.DOUBLE, Type.DOUBLE), FIXED_SIZE,
            ONE_STEP, ONE_OBJECT, a -> -(Double) a[0], NO_CHECK));
    }

    private static void indexes() {
        add(new Function("[]", Form.OPERATOR, "map(string, T), string: T", "the value of a key; an error if it has none",
            "1 and a 16th of the key", t -> t.get(0).kind() == Kind.MAP && t.get(1) == Type.STRING ? t.get(0).element() : null,
            s -> s.get(0).element(), (s, result) -> Costs.charSteps(s.get(1).count()), NO_BYTES, a -> {
                Object value = ((Map<?, ?>) a[0]).get(a[1]);
                return value == null ? ErrorKind.NO_SUCH_KEY : value;
            }, NO_CHECK));
        add(new Function("[]", Form.OPERATOR, "list(T), int: T", "the element, counted from 0; an error beyond them", "1",
            t -> t.get(0).kind() == Kind.LIST && t.get(1) == Type.INT ? t.get(0).element() : null, s -> s.get(0).element(),
            ONE_STEP,
            NO_BYTES, a -> {
                List<?> list = (List<?>) a[0];
                long index = (Long) a[1];
                return index < 0 || index >= list.size() ? ErrorKind.OUT_OF_RANGE : list.get((int) index);
            }, c -> c[1] instanceof Long index && index < 0 ? "elements are counted from 0" : null));
        add(new Function("[?]", Form.OPERATOR, "map(string, T), string: optional(T)", "the value of a key, if it has one",
            "1 and a 16th of the key",
            t -> t.get(0).kind() == Kind.MAP && t.get(1) == Type.STRING ? Type.optionalOf(t.get(0).element()) : null,
            s -> new Size(1, s.get(0).element(), 0), (s, result) -> Costs.charSteps(s.get(1).count()), ONE_OBJECT,
            a -> Optional.ofNullable(((Map<?, ?>) a[0]).get(a[1])), NO_CHECK));
        add(new Function("[?]", Form.OPERATOR, "list(T), int: optional(T)", "the element, if there is one", "1",
            t -> t.get(0).kind() == Kind.LIST && t.get(1) == Type.INT ? Type.optionalOf(t.get(0).element()) : null,
            s -> new Size(1, s.get(0).element(), 0), ONE_STEP, ONE_OBJECT, a -> {
                List<?> list = (List<?>) a[0];
                long index = (Long) a[1];
                return index < 0 || index >= list.size() ? Optional.empty() : Optional.of(list.get((int) index));
            }, NO_CHECK));
    }

    // ---- Strings

    /** A function of two strings. */
    private interface StringOperation {
        Object of(String text, String other);
    }

    private static void addStringTest(String name, String meaning, String cost, CostFormula steps, StringOperation body) {
        add(new Function(name, Form.METHOD, "string.(string): bool", meaning, cost,
            exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED_SIZE, steps, NO_BYTES,
            a -> body.of((String) a[0], (String) a[1]), NO_CHECK));
    }

    private static void strings() {
        for (Form form : List.of(Form.FUNCTION, Form.METHOD)) {
            add(new Function("size", form, form == Form.METHOD ? "T.(): int" : "T: int",
                "characters of a string, bytes, elements of a list or entries of a map", "1",
                t -> t.size() == 1 && (t.get(0) == Type.STRING || t.get(0) == Type.BYTES || t.get(0).kind() == Kind.LIST
                    || t.get(0).kind() == Kind.MAP) ? Type.INT : null, FIXED_SIZE, ONE_STEP, ONE_OBJECT,
                a -> Values.measure(a[0]).count(), NO_CHECK));
        }
        addStringTest("startsWith", "whether it begins so", "1 and a 16th of the shorter", compareShorter(0), String::startsWith);
        addStringTest("endsWith", "whether it ends so", "1 and a 16th of the shorter", compareShorter(0), String::endsWith);
        CostFormula search = (s, result) -> Costs.searchSteps(s.get(0).count(), s.get(1).count());
        addStringTest("contains", "whether the other stands anywhere in it", "a 16th of the other at each place", search,
            String::contains);
        add(new Function("indexOf", Form.METHOD, "string.(string): int", "where the other stands first, or -1",
            "a 16th of the other at each place", exactly(Type.INT, Type.STRING, Type.STRING), FIXED_SIZE, search, ONE_OBJECT,
            a -> (long) ((String) a[0]).indexOf((String) a[1]), NO_CHECK));
        patterns();
        CostFormula linear = (s, result) -> Costs.charSteps(s.get(0).count());
        SizeRule sameSize = s -> s.get(0);
        for (boolean toUpper : new boolean[] {false, true}) {
            add(new Function(toUpper ? "upperAscii" : "lowerAscii", Form.METHOD, "string.(): string",
                (toUpper ? "A to Z for a to z" : "a to z for A to Z") + ", all else as it is", "1 and a 16th",
                exactly(Type.STRING, Type.STRING), sameSize, linear, NEW_STRING,
                a -> convertAsciiCase((String) a[0], toUpper), NO_CHECK));
        }
        add(new Function("trim", Form.METHOD, "string.(): string", "without white space at its ends", "1 and a 16th",
            exactly(Type.STRING, Type.STRING), sameSize, linear, NEW_STRING, a -> ((String) a[0]).strip(), NO_CHECK));
        substrings();
        add(new Function("replace", Form.METHOD, "string.(string, string): string",
            "with the third for each second, which must not be empty", "a search, and the result",
            exactly(Type.STRING, Type.STRING, Type.STRING, Type.STRING),
            s -> Size.chars(Size.times(s.get(0).count(), Math.max(1, s.get(2).count()))),
            (s, result) -> Size.plus(Costs.searchSteps(s.get(0).count(), s.get(1).count()), Costs.charSteps(result.count())),
            NEW_STRING, a -> ((String) a[1]).isEmpty() ? ErrorKind.BAD_CONVERSION
                : ((String) a[0]).replace((String) a[1], (String) a[2]),
            c -> "".equals(c[1]) ? "the text to replace is empty" : null));
    }

    private static String convertAsciiCase(String text, boolean toUpper) {
        char[] chars = text.toCharArray();
        for (int i = 0; i < chars.length; i++) {
            if (toUpper && chars[i] >= 'a' && chars[i] <= 'z' || !toUpper && chars[i] >= 'A' && chars[i] <= 'Z') {
                chars[i] ^= ' '; // the two cases of an ASCII letter differ in this one bit
            }
        }
        return new String(chars);
    }

    private static void patterns() {
        ConstantCheck check = c -> c[1] == null ? "the regular expression must be a constant" : c[1] instanceof String source
            ? patternProblem(source) : null;
        CostFormula matching = (s, result) -> Costs.matchSteps(s.get(0).count(), s.get(1).count());
        add(new Function("matches", Form.METHOD, "string.(regex): bool", "whether a part of it matches; ^ and $ tie it",
            "a 16th of the compiled program for each character", exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED_SIZE,
            matching, (s, result) -> Costs.containerBytes(s.get(1).count()), a -> pattern(a[1]).matcher((String) a[0]).find(),
            check));
        add(new Function("extract", Form.METHOD, "string.(regex): optional(string)",
            "the first group of its first match, or the match where there is no group",
            "a 16th of the compiled program for each character",
            exactly(Type.optionalOf(Type.STRING), Type.STRING, Type.STRING), s -> new Size(1, s.get(0), 0), matching,
            (s, result) -> Size.plus(Costs.containerBytes(s.get(1).count()), Costs.stringBytes(s.get(0).count())), a -> {
                Matcher matcher = pattern(a[1]).matcher((String) a[0]);
                return matcher.find() ? Optional.ofNullable(matcher.groupCount() == 0 ? matcher.group() : matcher.group(1))
                    : Optional.empty();
            }, check));
    }

    /** The compiled regular expression that the checker put in place of the constant. */
    private static Pattern pattern(Object compiled) {
        return (Pattern) compiled;
    }

    /** Whether a function takes a regular expression, which the checker compiles when an expression is loaded. */
    static boolean takesPattern(Function function) {
        return function.signature().contains("regex");
    }

    /** What is wrong with a regular expression, or null if it is valid and within the limits. */
    private static String patternProblem(String source) {
        if (source.length() > MAX_PATTERN_CHARS) {
            return "a regular expression of " + source.length() + " characters, " + MAX_PATTERN_CHARS + " at most";
        }
        try {
            int instructions = Pattern.compile(source).programSize();
            return instructions <= MAX_PROGRAM_INSTRUCTIONS ? null
                : "a regular expression of " + instructions + " instructions, " + MAX_PROGRAM_INSTRUCTIONS + " at most";
        } catch (PatternSyntaxException e) {
            return "no regular expression: " + e.getMessage();
        }
    }

    private static void substrings() {
        ConstantCheck nonNegativeStart = c -> c[1] instanceof Long start && start < 0 ? "characters are counted from 0" : null;
        Implementation substring = a -> {
            String text = (String) a[0];
            long start = (Long) a[1];
            long end = a.length > 2 ? (Long) a[2] : text.length();
            return start < 0 || end > text.length() || start > end ? ErrorKind.OUT_OF_RANGE
                : text.substring((int) start, (int) end);
        };
        CostFormula linear = (s, result) -> Costs.charSteps(s.get(0).count());
        add(new Function("substring", Form.METHOD, "string.(int): string", "from that character on, counted from 0",
            "1 and a 16th", exactly(Type.STRING, Type.STRING, Type.INT), s -> s.get(0), linear, NEW_STRING,
            substring, nonNegativeStart));
        add(new Function("substring", Form.METHOD, "string.(int, int): string", "from the first to before the second",
            "1 and a 16th", exactly(Type.STRING, Type.STRING, Type.INT, Type.INT), s -> s.get(0), linear, NEW_STRING,
            substring, nonNegativeStart));
        add(new Function("split", Form.METHOD, "string.(string): list(string)",
            "the parts between each second, which must not be empty", "a search, and a step a part",
            exactly(Type.listOf(Type.STRING), Type.STRING, Type.STRING),
            s -> Size.list(Size.plus(1, s.get(0).count()), s.get(0)),
            (s, result) -> Size.plus(Costs.searchSteps(s.get(0).count(), s.get(1).count()), result.count()),
            (s, result) -> Size.plus(Size.plus(Costs.containerBytes(result.count()), Costs.stringBytes(s.get(0).count())),
                Size.times(result.count(), Costs.stringBytes(0))), a -> {
                String text = (String) a[0];
                String separator = (String) a[1];
                return separator.isEmpty() ? ErrorKind.BAD_CONVERSION : split(text, separator);
            }, c -> "".equals(c[1]) ? "the separator is empty" : null));
        add(new Function("join", Form.METHOD, "list(string).(string): string", "its elements with the second between them",
            "1, a step an element and a 16th of the result",
            exactly(Type.STRING, Type.listOf(Type.STRING), Type.STRING),
            s -> Size.chars(Size.times(s.get(0).count(), Size.plus(s.get(0).element().count(), s.get(1).count()))),
            (s, result) -> Size.plus(s.get(0).count(), Costs.charSteps(result.count())),
            (s, result) -> Size.times(2, Costs.stringBytes(result.count())),
            a -> String.join((String) a[1], strings((List<?>) a[0])), NO_CHECK));
    }

    private static List<String> split(String text, String separator) {
        List<String> parts = new ArrayList<>();
        int start = 0;
        for (int end = text.indexOf(separator); end >= 0; end = text.indexOf(separator, start)) {
            parts.add(text.substring(start, end));
            start = end + separator.length();
        }
        parts.add(text.substring(start));
        return parts;
    }

    @SuppressWarnings("unchecked")
    private static List<String> strings(List<?> list) {
        return (List<String>) list;
    }

    // ---- Conversions

    private static void addConversion(String name, Type from, Type to, String meaning, SizeRule sizeRule,
        Implementation implementation) {
        add(new Function(name, Form.FUNCTION, from + ": " + to, meaning, "1 and a 16th of both", exactly(to, from), sizeRule,
            (s, result) -> Size.plus(Costs.charSteps(s.get(0).count()), Costs.charSteps(result.count())),
            (s, result) -> Size.plus(Costs.stringBytes(s.get(0).count()), Costs.stringBytes(result.count())), implementation,
            NO_CHECK));
    }

    private static void conversions() {
        SizeRule formatted = s -> Size.chars(MAX_FORMATTED_CHARS);
        addConversion("int", Type.STRING, Type.INT, "a decimal number, with or without a sign", FIXED_SIZE,
            a -> Texts.toInt((String) a[0]));
        addConversion("int", Type.DOUBLE, Type.INT, "without its fraction", FIXED_SIZE, a -> {
            double value = (Double) a[0];
            return Double.isNaN(value) ? ErrorKind.BAD_CONVERSION
                : value >= -0x1p63 && value < 0x1p63 ? (Object) (long) value : ErrorKind.OVERFLOW;
        });
        addConversion("double", Type.INT, Type.DOUBLE, "the nearest", FIXED_SIZE, a -> ((Long) a[0]).doubleValue());
        addConversion("double", Type.STRING, Type.DOUBLE, "a decimal number, with or without an exponent", FIXED_SIZE,
            a -> Texts.toDouble((String) a[0]));
        addConversion("string", Type.INT, Type.STRING, "in decimal digits", formatted, a -> a[0].toString());
        addConversion("string", Type.DOUBLE, Type.STRING, "as Java writes it", formatted, a -> a[0].toString());
        addConversion("string", Type.BOOL, Type.STRING, "true or false", formatted, a -> a[0].toString());
        addConversion("string", Type.DURATION, Type.STRING, "in seconds, as 1.5s", formatted,
            a -> Texts.duration((Long) a[0]));
        addConversion("string", Type.TIMESTAMP, Type.STRING, "as RFC 3339 has it, in UTC", formatted,
            a -> Texts.timestamp((Long) a[0]));
        addConversion("string", Type.BYTES, Type.STRING, "from UTF-8; an error if it is none", s -> s.get(0),
            a -> Texts.decode((Bytes) a[0]));
        addConversion("bytes", Type.STRING, Type.BYTES, "in UTF-8; an error where it holds half a character",
            s -> Size.chars(Size.times(3, s.get(0).count())), a -> Texts.encode((String) a[0]));
    }

    private static void times() {
        addConversion("duration", Type.STRING, Type.DURATION, "as 1h30m, 250ms, -1.5s; units h, m, s, ms, us, ns", FIXED_SIZE,
            a -> Texts.toDuration((String) a[0]));
        addConversion("timestamp", Type.STRING, Type.TIMESTAMP, "as RFC 3339 has it, from 1678 to 2262", FIXED_SIZE,
            a -> Texts.toTimestamp((String) a[0]));
        addTimeField("getFullYear", Type.TIMESTAMP, "the year, in UTC", Texts::year);
        addTimeField("getDayOfWeek", Type.TIMESTAMP, "0 for Sunday to 6, in UTC",
            timestamp -> Math.floorMod(Math.floorDiv(timestamp, Texts.DAY) + 4, 7L));
        addTimeField("getHours", Type.TIMESTAMP, "0 to 23, in UTC",
            timestamp -> Math.floorMod(timestamp, Texts.DAY) / Texts.HOUR);
        addTimeField("getMinutes", Type.TIMESTAMP, "0 to 59, in UTC",
            timestamp -> Math.floorMod(timestamp, Texts.HOUR) / Texts.MINUTE);
        addTimeField("getSeconds", Type.DURATION, "whole seconds", duration -> duration / Texts.SECOND);
        addTimeField("getMilliseconds", Type.DURATION, "whole milliseconds", duration -> duration / Texts.MILLISECOND);
    }

    /** Extracts a component from a duration or timestamp in nanoseconds. */
    private interface TimeField {
        long of(long value);
    }

    private static void addTimeField(String name, Type type, String meaning, TimeField field) {
        add(new Function(name, Form.METHOD, type + ".(): int", meaning, "1", exactly(Type.INT, type), FIXED_SIZE, ONE_STEP,
            ONE_OBJECT, a -> field.of((Long) a[0]), NO_CHECK));
    }

    // ---- Keys, addresses, optionals

    private static void keysAndRanges() {
        for (Type type : List.of(Type.STRING, Type.BYTES, Type.INT)) {
            add(new Function("hash", Form.FUNCTION, type + ": int", "XXH3 of 64 bits; the same in every version",
                "1 and a 16th", exactly(Type.INT, type), FIXED_SIZE, (s, result) -> Costs.charSteps(s.get(0).count()),
                (s, result) -> 4 * Size.OBJECT_BYTES, a -> Texts.hash(a[0]), NO_CHECK));
            add(new Function("bucket", Form.FUNCTION, type + ", int: int",
                "the hash, taken as unsigned, modulo the second: 0 to one less; an error if that is under 1", "1 and a 16th",
                exactly(Type.INT, type, Type.INT), FIXED_SIZE, (s, result) -> Costs.charSteps(s.get(0).count()),
                (s, result) -> 4 * Size.OBJECT_BYTES, a -> (Long) a[1] < 1 ? ErrorKind.OUT_OF_RANGE
                    : (Object) Long.remainderUnsigned(Texts.hash(a[0]), (Long) a[1]),
                c -> c[1] instanceof Long count && count < 1 ? "a count of buckets under 1" : null));
        }
        ConstantCheck rangeCheck = c -> c[1] == null ? "the address range must be a constant"
            : c[1] instanceof String text && Texts.range(text) == null ? "no address range: '" + text + "'" : null;
        add(new Function("inCidr", Form.METHOD, "string.(range): bool",
            "whether an IPv4 or IPv6 address lies in a range such as 10.0.0.0/8; an error if it is no address", "10",
            exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED_SIZE, (s, result) -> 10,
            (s, result) -> 100 * Size.OBJECT_BYTES, a -> Texts.inRange((String) a[0], a[1]), rangeCheck));
        for (boolean isMin : new boolean[] {true, false}) {
            add(new Function(isMin ? "min" : "max", Form.FUNCTION, "T, T: T, T int, duration or timestamp",
                isMin ? "the smaller" : "the larger", "1",
                t -> t.size() == 2 && t.get(0).equals(t.get(1)) && t.get(0).isLong() ? t.get(0) : null, FIXED_SIZE, ONE_STEP,
                ONE_OBJECT,
                a -> isMin ? Math.min((Long) a[0], (Long) a[1]) : Math.max((Long) a[0], (Long) a[1]), NO_CHECK));
        }
    }

    private static void optionals() {
        add(new Function("hasValue", Form.METHOD, "optional(T).(): bool", "whether there is a value", "1",
            t -> t.size() == 1 && t.get(0).kind() == Kind.OPTIONAL ? Type.BOOL : null, FIXED_SIZE, ONE_STEP, NO_BYTES,
            a -> ((Optional<?>) a[0]).isPresent(), NO_CHECK));
        add(new Function("value", Form.METHOD, "optional(T).(): T", "the value; an error if there is none", "1",
            t -> t.size() == 1 && t.get(0).kind() == Kind.OPTIONAL ? t.get(0).element() : null, s -> s.get(0).element(), ONE_STEP,
            NO_BYTES, a -> ((Optional<?>) a[0]).isPresent() ? ((Optional<?>) a[0]).get() : ErrorKind.ABSENT, NO_CHECK));
        add(new Function("orValue", Form.METHOD, "optional(T).(T): T", "the value, or the second if there is none", "1",
            t -> t.size() == 2 && t.get(0).kind() == Kind.OPTIONAL && t.get(1).equals(t.get(0).element()) ? t.get(1) : null,
            s -> s.get(0).element().max(s.get(1)), ONE_STEP, NO_BYTES,
            a -> ((Optional<?>) a[0]).isPresent() ? ((Optional<?>) a[0]).get() : a[1], NO_CHECK));
    }
}
