package ledgewall.expression;

/**
 * How large a value can be: characters of a string, bytes, elements of a list or entries of a map; and how large what it
 * holds can be, the keys of a map included. Sums and products end at the largest long instead of wrapping.
 */
public record Size(long count, Size element, long keyChars) {
    /** Of what has a fixed size. */
    public static final Size ONE = new Size(1, null, 0);
    /** Bytes that an object takes besides what it holds, and a reference to it. */
    static final long OBJECT_BYTES = 24;
    static final long REFERENCE_BYTES = 8;

    /** At most so many characters or bytes. */
    public static Size chars(long maxCount) {
        return new Size(maxCount, null, 0);
    }

    public static Size list(long maxCount, Size element) {
        return new Size(maxCount, element, 0);
    }

    public static Size map(long maxCount, long keyChars, Size value) {
        return new Size(maxCount, value, keyChars);
    }

    static long plus(long a, long b) {
        long sum = a + b;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    static long times(long a, long b) {
        long high = Math.multiplyHigh(a, b);
        long low = a * b;
        return high != 0 || low < 0 ? Long.MAX_VALUE : low;
    }

    /** The larger of two, in each respect. */
    Size max(Size other) {
        Size maxElement = element == null ? other.element : other.element == null ? element : element.max(other.element);
        return new Size(Math.max(count, other.count), maxElement, Math.max(keyChars, other.keyChars));
    }

    /** Steps that it takes to look at all of a value. */
    long traversalSteps(Type type) {
        return switch (type.kind()) {
            case STRING, BYTES -> Costs.chars(count);
            case LIST -> plus(1, times(count, element.traversalSteps(type.element())));
            case MAP -> plus(1, times(count, plus(Costs.chars(keyChars), element.traversalSteps(type.element()))));
            case OPTIONAL -> plus(1, element.traversalSteps(type.element()));
            default -> 1;
        };
    }
}
