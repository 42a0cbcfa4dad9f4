package ledgewall.expression;

/**
 * How large a value can be: characters of a string, bytes, elements of a list or entries of a map; and how large what it
 * holds can be, the keys of a map included. Sums and products end at the largest long instead of wrapping.
 */
public record Size(long count, Size of, long key) {
    /** Of what has a fixed size. */
    public static final Size ONE = new Size(1, null, 0);
    /** Bytes that an object takes besides what it holds, and a reference to it. */
    static final long OBJECT = 24;
    static final long REFERENCE = 8;

    /** At most so many characters or bytes. */
    public static Size chars(long most) {
        return new Size(most, null, 0);
    }

    public static Size list(long most, Size element) {
        return new Size(most, element, 0);
    }

    public static Size map(long most, long key, Size value) {
        return new Size(most, value, key);
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
    Size or(Size other) {
        Size inner = of == null ? other.of : other.of == null ? of : of.or(other.of);
        return new Size(Math.max(count, other.count), inner, Math.max(key, other.key));
    }

    /** Steps that it takes to look at all of a value. */
    long walk(Type type) {
        return switch (type.kind()) {
            case STRING, BYTES -> Costs.charSteps(count);
            case LIST -> plus(1, times(count, of.walk(type.of())));
            case MAP -> plus(1, times(count, plus(Costs.charSteps(key), of.walk(type.of()))));
            case OPTIONAL -> plus(1, of.walk(type.of()));
            default -> 1;
        };
    }
}
