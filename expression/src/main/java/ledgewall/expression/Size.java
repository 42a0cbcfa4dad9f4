package ledgewall.expression;

/**
 * The size of a value, either an actual one or an upper bound. Sums and products saturate at {@link Long#MAX_VALUE} instead of
 * overflowing.
 *
 * @param count characters of a string, bytes, elements of a list or entries of a map; 1 for other values
 * @param element the largest size of a list's elements, a map's values or an optional's value; null for other values
 * @param keyChars characters of the longest key of a map; 0 for other values
 */
public record Size(long count, Size element, long keyChars) {
    /** The size of a value of a fixed-size type, such as an integer. */
    public static final Size ONE = new Size(1, null, 0);
    /** Estimated bytes of an object without its contents. */
    static final long OBJECT_BYTES = 24;
    /** Estimated bytes of a reference to an object. */
    static final long REFERENCE_BYTES = 8;

    /** The size of a string or bytes value with at most so many characters or bytes. */
    public static Size chars(long maxCount) {
        return new Size(maxCount, null, 0);
    }

    public static Size list(long maxCount, Size element) {
        return new Size(maxCount, element, 0);
    }

    public static Size map(long maxCount, long keyChars, Size value) {
        return new Size(maxCount, value, keyChars);
    }

    /** Adds two non-negative numbers; saturates. */
    static long plus(long a, long b) {
        long sum = a + b;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    /** Multiplies two non-negative numbers; saturates. */
    static long times(long a, long b) {
        long high = Math.multiplyHigh(a, b);
        long low = a * b;
        return high != 0 || low < 0 ? Long.MAX_VALUE : low;
    }

    /** The component-wise maximum of two sizes. */
    Size max(Size other) {
        Size maxElement = element == null ? other.element : other.element == null ? element : element.max(other.element);
        return new Size(Math.max(count, other.count), maxElement, Math.max(keyChars, other.keyChars));
    }

    /** Steps to read a whole value of this size, its elements and keys included. */
    long traversalSteps(Type type) {
        return switch (type.kind()) {
            case STRING, BYTES -> Costs.charSteps(count);
            case LIST -> plus(1, times(count, element.traversalSteps(type.element())));
            case MAP -> plus(1, times(count, plus(Costs.charSteps(keyChars), element.traversalSteps(type.element()))));
            case OPTIONAL -> plus(1, element.traversalSteps(type.element()));
            default -> 1;
        };
    }
}
