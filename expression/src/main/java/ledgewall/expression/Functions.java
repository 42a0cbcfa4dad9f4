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

/** Every function, method and operator of the language; what is not here is not in it. */
final class Functions {
    /** A regular expression's source and its compiled program; counted repetition makes the second grow. */
    private static final int LONGEST_PATTERN = 512;
    private static final int LARGEST_PROGRAM = 2_000;
    /** Characters of the longest number, duration, timestamp or address, written out. */
    private static final long WRITTEN = 64;

    private static final SizeRule FIXED = sizes -> Size.ONE;
    private static final CostFormula ONE_STEP = (sizes, result) -> 1;
    private static final CostFormula NOTHING = (sizes, result) -> 0;
    private static final CostFormula ONE_OBJECT = (sizes, result) -> Size.OBJECT_BYTES;
    private static final CostFormula RESULT = (sizes, result) -> Costs.string(result.count());
    private static final ConstantCheck ANY = constants -> null;

    private static final Map<String, List<Function>> ALL = new LinkedHashMap<>();

    static {
        operators();
        strings();
        conversions();
        times();
        keys();
        optionals();
    }

    private Functions() {
    }

    /** Those of a name, in the order in which they are tried; null for none. */
    static List<Function> named(String name, Form form) {
        List<Function> all = ALL.get(form + name);
        return all == null ? List.of() : all;
    }

    static List<Function> all() {
        return ALL.values().stream().flatMap(List::stream).toList();
    }

    private static void add(Function function) {
        ALL.computeIfAbsent(function.form() + function.name(), key -> new ArrayList<>()).add(function);
    }

    private static TypeRule exactly(Type result, Type... parameters) {
        List<Type> wanted = List.of(parameters);
        return arguments -> arguments.equals(wanted) ? result : null;
    }

    private static CostFormula walkShorter(int part) {
        return (sizes, result) -> Costs.chars(Math.min(sizes.get(0).count(), sizes.get(1).count())) + part;
    }

    // ---- Operators

    private static void operators() {
        for (String name : List.of("==", "!=")) {
            boolean same = name.equals("==");
            add(new Function(name, Form.OPERATOR, "T, T: bool", same ? "whether two values of one type are equal"
                : "whether they are not", "1 and the smaller of both walked through",
                types -> types.get(0).equals(types.get(1)) ? Type.BOOL : null, FIXED,
                (sizes, result) -> Math.min(walked(sizes.get(0)), walked(sizes.get(1))), NOTHING,
                arguments -> Values.equal(arguments[0], arguments[1]) == same, ANY));
        }
        comparison("<", order -> order < 0, "whether the first comes before the second");
        comparison("<=", order -> order <= 0, "whether the first comes no later than the second");
        comparison(">", order -> order > 0, "whether the first comes after the second");
        comparison(">=", order -> order >= 0, "whether the first comes no earlier than the second");
        arithmetic();
        add(new Function("!", Form.OPERATOR, "bool: bool", "not", "1", exactly(Type.BOOL, Type.BOOL), FIXED, ONE_STEP, NOTHING,
            a -> !(Boolean) a[0], ANY));
        add(new Function("+", Form.OPERATOR, "string, string: string", "one after the other", "1 and a 16th of the result",
            exactly(Type.STRING, Type.STRING, Type.STRING), s -> Size.chars(Size.plus(s.get(0).count(), s.get(1).count())),
            (s, result) -> Costs.chars(result.count()), RESULT, a -> (String) a[0] + a[1], ANY));
        add(new Function("+", Form.OPERATOR, "list(T), list(T): list(T)", "one after the other", "1 and its elements",
            t -> t.get(0).kind() == Kind.LIST && t.get(0).equals(t.get(1)) ? t.get(0) : null,
            s -> Size.list(Size.plus(s.get(0).count(), s.get(1).count()), s.get(0).element().max(s.get(1).element())),
            (s, result) -> Size.plus(1, result.count()), (s, result) -> Costs.container(result.count()), a -> {
                List<Object> both = new ArrayList<>((List<?>) a[0]);
                both.addAll((List<?>) a[1]);
                return both;
            }, ANY));
        add(new Function("in", Form.OPERATOR, "T, list(T): bool", "whether a list holds a value",
            "1 and each comparison; in a list of constants as much",
            t -> t.get(1).kind() == Kind.LIST && t.get(0).equals(t.get(1).element()) ? Type.BOOL : null, FIXED,
            (s, result) -> Size.plus(1, Size.times(s.get(1).count(), walked(s.get(0)))), NOTHING, a -> {
                for (Object element : (List<?>) a[1]) {
                    if (Values.equal(a[0], element)) {
                        return true;
                    }
                }
                return false;
            }, ANY));
        add(new Function("in", Form.OPERATOR, "string, map(string, T): bool", "whether a map has a key",
            "1 and a 16th of the key", t -> t.get(1).kind() == Kind.MAP && t.get(0) == Type.STRING ? Type.BOOL : null, FIXED,
            (s, result) -> Costs.chars(s.get(0).count()), NOTHING, a -> ((Map<?, ?>) a[1]).containsKey(a[0]), ANY));
        indexes();
    }

    private static long walked(Size size) {
        long own = Costs.chars(size.count());
        return size.element() == null ? own
            : Size.plus(1, Size.times(size.count(), Size.plus(walked(size.element()), Costs.chars(size.keyChars()))));
    }

    private interface Order {
        boolean holds(int order);
    }

    private static void comparison(String name, Order order, String meaning) {
        add(new Function(name, Form.OPERATOR, "T, T: bool, T ordered", meaning, "1 and a 16th of the shorter",
            t -> t.get(0).equals(t.get(1)) && t.get(0).isOrdered() ? Type.BOOL : null, FIXED, walkShorter(0), NOTHING, a -> {
                if (a[0] instanceof Double x && a[1] instanceof Double y && (x.isNaN() || y.isNaN())) {
                    return false;
                }
                if (a[0] instanceof Double x && x.equals(-((Double) a[1])) && x == 0) {
                    return order.holds(0); // the two zeros
                }
                return order.holds(Values.compare(a[0], a[1]));
            }, ANY));
    }

    private interface LongOperation {
        long of(long a, long b);
    }

    private interface DoubleOperation {
        double of(double a, double b);
    }

    private static Implementation exact(LongOperation operation) {
        return a -> {
            try {
                return operation.of((Long) a[0], (Long) a[1]);
            } catch (ArithmeticException e) {
                return ErrorKind.OVERFLOW;
            }
        };
    }

    private static void longs(String name, String meaning, LongOperation operation, Type a, Type b, Type result) {
        add(new Function(name, Form.OPERATOR, a + ", " + b + ": " + result, meaning, "1", exactly(result, a, b), FIXED, ONE_STEP,
            ONE_OBJECT, exact(operation), ANY));
    }

    private static void doubles(String name, String meaning, DoubleOperation operation) {
        add(new Function(name, Form.OPERATOR, "double, double: double", meaning, "1",
            exactly(Type.DOUBLE, Type.DOUBLE, Type.DOUBLE), FIXED, ONE_STEP, ONE_OBJECT,
            a -> operation.of((Double) a[0], (Double) a[1]), ANY));
    }

    private static void arithmetic() {
        longs("+", "sum", Math::addExact, Type.INT, Type.INT, Type.INT);
        longs("+", "sum", Math::addExact, Type.DURATION, Type.DURATION, Type.DURATION);
        longs("+", "later by that", Math::addExact, Type.TIMESTAMP, Type.DURATION, Type.TIMESTAMP);
        longs("-", "difference", Math::subtractExact, Type.INT, Type.INT, Type.INT);
        longs("-", "difference", Math::subtractExact, Type.DURATION, Type.DURATION, Type.DURATION);
        longs("-", "earlier by that", Math::subtractExact, Type.TIMESTAMP, Type.DURATION, Type.TIMESTAMP);
        longs("-", "from the second to the first", Math::subtractExact, Type.TIMESTAMP, Type.TIMESTAMP, Type.DURATION);
        longs("*", "product", Math::multiplyExact, Type.INT, Type.INT, Type.INT);
        for (String name : List.of("/", "%")) {
            boolean divides = name.equals("/");
            add(new Function(name, Form.OPERATOR, "int, int: int", divides ? "quotient, towards zero" : "its remainder", "1",
                exactly(Type.INT, Type.INT, Type.INT), FIXED, ONE_STEP, ONE_OBJECT, a -> {
                    long by = (Long) a[1];
                    if (by == 0) {
                        return ErrorKind.DIVISION_BY_ZERO;
                    }
                    if (by == -1) {
                        return !divides ? Long.valueOf(0)
                            : (Long) a[0] == Long.MIN_VALUE ? ErrorKind.OVERFLOW : (Object) (-(Long) a[0]);
                    }
                    return divides ? (Long) a[0] / by : (Long) a[0] % by;
                }, constants -> Long.valueOf(0).equals(constants[1]) ? "division by zero" : null));
        }
        doubles("+", "sum", (a, b) -> a + b);
        doubles("-", "difference", (a, b) -> a - b);
        doubles("*", "product", (a, b) -> a * b);
        doubles("/", "quotient, by IEEE 754", (a, b) -> a / b);
        for (Type type : List.of(Type.INT, Type.DURATION)) {
            add(new Function("-", Form.OPERATOR, type + ": " + type, "the negative", "1", exactly(type, type), FIXED, ONE_STEP,
                ONE_OBJECT, a -> (Long) a[0] == Long.MIN_VALUE ? ErrorKind.OVERFLOW : (Object) (-(Long) a[0]), ANY));
        }
        add(new Function("-", Form.OPERATOR, "double: double", "the negative", "1", exactly(Type.DOUBLE, Type.DOUBLE), FIXED,
            ONE_STEP, ONE_OBJECT, a -> -(Double) a[0], ANY));
    }

    private static void indexes() {
        add(new Function("[]", Form.OPERATOR, "map(string, T), string: T", "the value of a key; an error if it has none",
            "1 and a 16th of the key", t -> t.get(0).kind() == Kind.MAP && t.get(1) == Type.STRING ? t.get(0).element() : null,
            s -> s.get(0).element(), (s, result) -> Costs.chars(s.get(1).count()), NOTHING, a -> {
                Object value = ((Map<?, ?>) a[0]).get(a[1]);
                return value == null ? ErrorKind.NO_SUCH_KEY : value;
            }, ANY));
        add(new Function("[]", Form.OPERATOR, "list(T), int: T", "the element, counted from 0; an error beyond them", "1",
            t -> t.get(0).kind() == Kind.LIST && t.get(1) == Type.INT ? t.get(0).element() : null,
            s -> s.get(0).element(), ONE_STEP,
            NOTHING, a -> {
                List<?> list = (List<?>) a[0];
                long at = (Long) a[1];
                return at < 0 || at >= list.size() ? ErrorKind.OUT_OF_RANGE : list.get((int) at);
            }, c -> c[1] instanceof Long at && at < 0 ? "elements are counted from 0" : null));
        add(new Function("[?]", Form.OPERATOR, "map(string, T), string: optional(T)", "the value of a key, if it has one",
            "1 and a 16th of the key",
            t -> t.get(0).kind() == Kind.MAP && t.get(1) == Type.STRING ? Type.optionalOf(t.get(0).element()) : null,
            s -> new Size(1, s.get(0).element(), 0), (s, result) -> Costs.chars(s.get(1).count()), ONE_OBJECT,
            a -> Optional.ofNullable(((Map<?, ?>) a[0]).get(a[1])), ANY));
        add(new Function("[?]", Form.OPERATOR, "list(T), int: optional(T)", "the element, if there is one", "1",
            t -> t.get(0).kind() == Kind.LIST && t.get(1) == Type.INT ? Type.optionalOf(t.get(0).element()) : null,
            s -> new Size(1, s.get(0).element(), 0), ONE_STEP, ONE_OBJECT, a -> {
                List<?> list = (List<?>) a[0];
                long at = (Long) a[1];
                return at < 0 || at >= list.size() ? Optional.empty() : Optional.of(list.get((int) at));
            }, ANY));
    }

    // ---- Strings

    private interface Two {
        Object of(String text, String other);
    }

    private static void test(String name, String meaning, String cost, CostFormula steps, Two body) {
        add(new Function(name, Form.METHOD, "string.(string): bool", meaning, cost,
            exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED, steps, NOTHING,
            a -> body.of((String) a[0], (String) a[1]), ANY));
    }

    private static void strings() {
        for (Form form : List.of(Form.FUNCTION, Form.METHOD)) {
            add(new Function("size", form, form == Form.METHOD ? "T.(): int" : "T: int",
                "characters of a string, bytes, elements of a list or entries of a map", "1",
                t -> t.size() == 1 && (t.get(0) == Type.STRING || t.get(0) == Type.BYTES || t.get(0).kind() == Kind.LIST
                    || t.get(0).kind() == Kind.MAP) ? Type.INT : null, FIXED, ONE_STEP, ONE_OBJECT,
                a -> Values.measure(a[0]).count(), ANY));
        }
        test("startsWith", "whether it begins so", "1 and a 16th of the shorter", walkShorter(0), String::startsWith);
        test("endsWith", "whether it ends so", "1 and a 16th of the shorter", walkShorter(0), String::endsWith);
        CostFormula search = (s, result) -> Costs.search(s.get(0).count(), s.get(1).count());
        test("contains", "whether the other stands anywhere in it", "a 16th of the other at each place", search,
            String::contains);
        add(new Function("indexOf", Form.METHOD, "string.(string): int", "where the other stands first, or -1",
            "a 16th of the other at each place", exactly(Type.INT, Type.STRING, Type.STRING), FIXED, search, ONE_OBJECT,
            a -> (long) ((String) a[0]).indexOf((String) a[1]), ANY));
        patterns();
        CostFormula walk = (s, result) -> Costs.chars(s.get(0).count());
        SizeRule same = s -> s.get(0);
        for (boolean upper : new boolean[] {false, true}) {
            add(new Function(upper ? "upperAscii" : "lowerAscii", Form.METHOD, "string.(): string",
                (upper ? "A to Z for a to z" : "a to z for A to Z") + ", all else as it is", "1 and a 16th",
                exactly(Type.STRING, Type.STRING), same, walk, RESULT, a -> ascii((String) a[0], upper), ANY));
        }
        add(new Function("trim", Form.METHOD, "string.(): string", "without white space at its ends", "1 and a 16th",
            exactly(Type.STRING, Type.STRING), same, walk, RESULT, a -> ((String) a[0]).strip(), ANY));
        parts();
        add(new Function("replace", Form.METHOD, "string.(string, string): string",
            "with the third for each second, which must not be empty", "a search, and the result",
            exactly(Type.STRING, Type.STRING, Type.STRING, Type.STRING),
            s -> Size.chars(Size.times(s.get(0).count(), Math.max(1, s.get(2).count()))),
            (s, result) -> Size.plus(Costs.search(s.get(0).count(), s.get(1).count()), Costs.chars(result.count())), RESULT,
            a -> ((String) a[1]).isEmpty() ? ErrorKind.BAD_CONVERSION
                : ((String) a[0]).replace((String) a[1], (String) a[2]),
            c -> "".equals(c[1]) ? "what is to be replaced is empty" : null));
    }

    private static String ascii(String text, boolean upper) {
        char[] chars = text.toCharArray();
        for (int i = 0; i < chars.length; i++) {
            if (upper && chars[i] >= 'a' && chars[i] <= 'z' || !upper && chars[i] >= 'A' && chars[i] <= 'Z') {
                chars[i] ^= ' ';
            }
        }
        return new String(chars);
    }

    private static void patterns() {
        ConstantCheck check = c -> c[1] == null ? "the regular expression must be a constant" : c[1] instanceof String source
            ? problem(source) : null;
        CostFormula match = (s, result) -> Costs.match(s.get(0).count(), s.get(1).count());
        add(new Function("matches", Form.METHOD, "string.(regex): bool", "whether a part of it matches; ^ and $ tie it",
            "a 16th of the compiled program for each character", exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED, match,
            (s, result) -> Costs.container(s.get(1).count()), a -> pattern(a[1]).matcher((String) a[0]).find(), check));
        add(new Function("extract", Form.METHOD, "string.(regex): optional(string)",
            "the first group of its first match, or the match where there is no group",
            "a 16th of the compiled program for each character",
            exactly(Type.optionalOf(Type.STRING), Type.STRING, Type.STRING), s -> new Size(1, s.get(0), 0), match,
            (s, result) -> Size.plus(Costs.container(s.get(1).count()), Costs.string(s.get(0).count())), a -> {
                Matcher matcher = pattern(a[1]).matcher((String) a[0]);
                return matcher.find() ? Optional.ofNullable(matcher.groupCount() == 0 ? matcher.group() : matcher.group(1))
                    : Optional.empty();
            }, check));
    }

    private static Pattern pattern(Object compiled) {
        return (Pattern) compiled;
    }

    /** Whether a function takes a regular expression, which the checker compiles at load. */
    static boolean takesPattern(Function function) {
        return function.signature().contains("regex");
    }

    private static String problem(String source) {
        if (source.length() > LONGEST_PATTERN) {
            return "a regular expression of " + source.length() + " characters, " + LONGEST_PATTERN + " at most";
        }
        try {
            int program = Pattern.compile(source).programSize();
            return program <= LARGEST_PROGRAM ? null
                : "a regular expression of " + program + " instructions, " + LARGEST_PROGRAM + " at most";
        } catch (PatternSyntaxException e) {
            return "no regular expression: " + e.getMessage();
        }
    }

    private static void parts() {
        ConstantCheck from = c -> c[1] instanceof Long at && at < 0 ? "characters are counted from 0" : null;
        Implementation cut = a -> {
            String text = (String) a[0];
            long start = (Long) a[1];
            long end = a.length > 2 ? (Long) a[2] : text.length();
            return start < 0 || end > text.length() || start > end ? ErrorKind.OUT_OF_RANGE
                : text.substring((int) start, (int) end);
        };
        CostFormula walk = (s, result) -> Costs.chars(s.get(0).count());
        add(new Function("substring", Form.METHOD, "string.(int): string", "from that character on, counted from 0",
            "1 and a 16th", exactly(Type.STRING, Type.STRING, Type.INT), s -> s.get(0), walk, RESULT, cut, from));
        add(new Function("substring", Form.METHOD, "string.(int, int): string", "from the first to before the second",
            "1 and a 16th", exactly(Type.STRING, Type.STRING, Type.INT, Type.INT), s -> s.get(0), walk, RESULT, cut, from));
        add(new Function("split", Form.METHOD, "string.(string): list(string)",
            "the parts between each second, which must not be empty", "a search, and a step a part",
            exactly(Type.listOf(Type.STRING), Type.STRING, Type.STRING),
            s -> Size.list(Size.plus(1, s.get(0).count()), s.get(0)),
            (s, result) -> Size.plus(Costs.search(s.get(0).count(), s.get(1).count()), result.count()),
            (s, result) -> Size.plus(Size.plus(Costs.container(result.count()), Costs.string(s.get(0).count())),
                Size.times(result.count(), Costs.string(0))), a -> {
                String text = (String) a[0];
                String by = (String) a[1];
                return by.isEmpty() ? ErrorKind.BAD_CONVERSION : split(text, by);
            }, c -> "".equals(c[1]) ? "what it is to be split by is empty" : null));
        add(new Function("join", Form.METHOD, "list(string).(string): string", "its elements with the second between them",
            "1, a step an element and a 16th of the result",
            exactly(Type.STRING, Type.listOf(Type.STRING), Type.STRING),
            s -> Size.chars(Size.times(s.get(0).count(), Size.plus(s.get(0).element().count(), s.get(1).count()))),
            (s, result) -> Size.plus(s.get(0).count(), Costs.chars(result.count())),
            (s, result) -> Size.times(2, Costs.string(result.count())),
            a -> String.join((String) a[1], strings((List<?>) a[0])), ANY));
    }

    private static List<String> split(String text, String by) {
        List<String> parts = new ArrayList<>();
        int start = 0;
        for (int end = text.indexOf(by); end >= 0; end = text.indexOf(by, start)) {
            parts.add(text.substring(start, end));
            start = end + by.length();
        }
        parts.add(text.substring(start));
        return parts;
    }

    @SuppressWarnings("unchecked")
    private static List<String> strings(List<?> list) {
        return (List<String>) list;
    }

    // ---- Conversions

    private static void convert(String name, Type from, Type to, String meaning, SizeRule sizing, Implementation body) {
        add(new Function(name, Form.FUNCTION, from + ": " + to, meaning, "1 and a 16th of both", exactly(to, from), sizing,
            (s, result) -> Size.plus(Costs.chars(s.get(0).count()), Costs.chars(result.count())),
            (s, result) -> Size.plus(Costs.string(s.get(0).count()), Costs.string(result.count())), body, ANY));
    }

    private static void conversions() {
        SizeRule written = s -> Size.chars(WRITTEN);
        convert("int", Type.STRING, Type.INT, "a decimal number, with or without a sign", FIXED, a -> Texts.toInt((String) a[0]));
        convert("int", Type.DOUBLE, Type.INT, "without its fraction", FIXED, a -> {
            double value = (Double) a[0];
            return Double.isNaN(value) ? ErrorKind.BAD_CONVERSION
                : value >= -0x1p63 && value < 0x1p63 ? (Object) (long) value : ErrorKind.OVERFLOW;
        });
        convert("double", Type.INT, Type.DOUBLE, "the nearest", FIXED, a -> ((Long) a[0]).doubleValue());
        convert("double", Type.STRING, Type.DOUBLE, "a decimal number, with or without an exponent", FIXED,
            a -> Texts.toDouble((String) a[0]));
        convert("string", Type.INT, Type.STRING, "in decimal digits", written, a -> a[0].toString());
        convert("string", Type.DOUBLE, Type.STRING, "as Java writes it", written, a -> a[0].toString());
        convert("string", Type.BOOL, Type.STRING, "true or false", written, a -> a[0].toString());
        convert("string", Type.DURATION, Type.STRING, "in seconds, as 1.5s", written, a -> Texts.duration((Long) a[0]));
        convert("string", Type.TIMESTAMP, Type.STRING, "as RFC 3339 has it, in UTC", written,
            a -> Texts.timestamp((Long) a[0]));
        convert("string", Type.BYTES, Type.STRING, "from UTF-8; an error if it is none", s -> s.get(0),
            a -> Texts.decode((Bytes) a[0]));
        convert("bytes", Type.STRING, Type.BYTES, "in UTF-8; an error where it holds half a character",
            s -> Size.chars(Size.times(3, s.get(0).count())), a -> Texts.encode((String) a[0]));
    }

    private static void times() {
        convert("duration", Type.STRING, Type.DURATION, "as 1h30m, 250ms, -1.5s; units h, m, s, ms, us, ns", FIXED,
            a -> Texts.toDuration((String) a[0]));
        convert("timestamp", Type.STRING, Type.TIMESTAMP, "as RFC 3339 has it, from 1678 to 2262", FIXED,
            a -> Texts.toTimestamp((String) a[0]));
        field("getFullYear", Type.TIMESTAMP, "the year, in UTC", Texts::year);
        field("getDayOfWeek", Type.TIMESTAMP, "0 for Sunday to 6, in UTC",
            at -> Math.floorMod(Math.floorDiv(at, Texts.DAY) + 4, 7L));
        field("getHours", Type.TIMESTAMP, "0 to 23, in UTC", at -> Math.floorMod(at, Texts.DAY) / Texts.HOUR);
        field("getMinutes", Type.TIMESTAMP, "0 to 59, in UTC", at -> Math.floorMod(at, Texts.HOUR) / Texts.MINUTE);
        field("getSeconds", Type.DURATION, "whole seconds", span -> span / Texts.SECOND);
        field("getMilliseconds", Type.DURATION, "whole milliseconds", span -> span / Texts.MILLISECOND);
    }

    private interface Field {
        long of(long value);
    }

    private static void field(String name, Type of, String meaning, Field field) {
        add(new Function(name, Form.METHOD, of + ".(): int", meaning, "1", exactly(Type.INT, of), FIXED, ONE_STEP, ONE_OBJECT,
            a -> field.of((Long) a[0]), ANY));
    }

    // ---- Keys, addresses, optionals

    private static void keys() {
        for (Type type : List.of(Type.STRING, Type.BYTES, Type.INT)) {
            add(new Function("hash", Form.FUNCTION, type + ": int", "XXH3 of 64 bits; the same in every version",
                "1 and a 16th", exactly(Type.INT, type), FIXED, (s, result) -> Costs.chars(s.get(0).count()),
                (s, result) -> 4 * Size.OBJECT_BYTES, a -> Texts.hash(a[0]), ANY));
            add(new Function("bucket", Form.FUNCTION, type + ", int: int",
                "the hash, taken as unsigned, modulo the second: 0 to one less; an error if that is under 1", "1 and a 16th",
                exactly(Type.INT, type, Type.INT), FIXED, (s, result) -> Costs.chars(s.get(0).count()),
                (s, result) -> 4 * Size.OBJECT_BYTES, a -> (Long) a[1] < 1 ? ErrorKind.OUT_OF_RANGE
                    : (Object) Long.remainderUnsigned(Texts.hash(a[0]), (Long) a[1]),
                c -> c[1] instanceof Long count && count < 1 ? "a count of buckets under 1" : null));
        }
        ConstantCheck range = c -> c[1] == null ? "the address range must be a constant"
            : c[1] instanceof String text && Texts.range(text) == null ? "no address range: '" + text + "'" : null;
        add(new Function("inCidr", Form.METHOD, "string.(range): bool",
            "whether an IPv4 or IPv6 address lies in a range such as 10.0.0.0/8; an error if it is no address", "10",
            exactly(Type.BOOL, Type.STRING, Type.STRING), FIXED, (s, result) -> 10,
            (s, result) -> 100 * Size.OBJECT_BYTES, a -> Texts.inRange((String) a[0], a[1]), range));
        for (boolean least : new boolean[] {true, false}) {
            add(new Function(least ? "min" : "max", Form.FUNCTION, "T, T: T, T int, duration or timestamp",
                least ? "the smaller" : "the larger", "1",
                t -> t.size() == 2 && t.get(0).equals(t.get(1)) && t.get(0).isLong() ? t.get(0) : null, FIXED, ONE_STEP,
                ONE_OBJECT,
                a -> least ? Math.min((Long) a[0], (Long) a[1]) : Math.max((Long) a[0], (Long) a[1]), ANY));
        }
    }

    private static void optionals() {
        add(new Function("hasValue", Form.METHOD, "optional(T).(): bool", "whether there is a value", "1",
            t -> t.size() == 1 && t.get(0).kind() == Kind.OPTIONAL ? Type.BOOL : null, FIXED, ONE_STEP, NOTHING,
            a -> ((Optional<?>) a[0]).isPresent(), ANY));
        add(new Function("value", Form.METHOD, "optional(T).(): T", "the value; an error if there is none", "1",
            t -> t.size() == 1 && t.get(0).kind() == Kind.OPTIONAL ? t.get(0).element() : null, s -> s.get(0).element(), ONE_STEP,
            NOTHING, a -> ((Optional<?>) a[0]).isPresent() ? ((Optional<?>) a[0]).get() : ErrorKind.ABSENT, ANY));
        add(new Function("orValue", Form.METHOD, "optional(T).(T): T", "the value, or the second if there is none", "1",
            t -> t.size() == 2 && t.get(0).kind() == Kind.OPTIONAL && t.get(1).equals(t.get(0).element()) ? t.get(1) : null,
            s -> s.get(0).element().max(s.get(1)), ONE_STEP, NOTHING,
            a -> ((Optional<?>) a[0]).isPresent() ? ((Optional<?>) a[0]).get() : a[1], ANY));
    }
}
