package ledgewall.expression;

/**
 * The cost of operations, in steps and in bytes allocated. The same formulas give the bound when an expression is loaded,
 * from the largest possible sizes, and the cost that the interpreter counts, from the actual sizes. Every formula is
 * monotonic in each argument, so the counted cost never exceeds the bound.
 */
final class Costs {
    /** Characters or bytes that an operation processes in one step. */
    static final long CHARS_PER_STEP = 16;

    private Costs() {
    }

    /** Steps to process the given number of characters or bytes. */
    static long charSteps(long count) {
        return 1 + count / CHARS_PER_STEP;
    }

    /** Steps of a substring search that compares at every position of the text; lengths are in characters. */
    static long searchSteps(long textLength, long partLength) {
        return Size.times(1 + textLength, charSteps(partLength));
    }

    /**
     * Steps to match a linear-time regular expression: at most the whole compiled program for each character of the text.
     * The text is measured in characters, the program in instructions.
     */
    static long matchSteps(long textLength, long programSize) {
        return Size.times(1 + textLength, 1 + programSize / CHARS_PER_STEP);
    }

    /** Bytes allocated for a new string. */
    static long stringBytes(long chars) {
        return Size.plus(2 * Size.OBJECT_BYTES, Size.times(2, chars));
    }

    /** Bytes allocated for a new list or map, without its elements. */
    static long containerBytes(long elements) {
        return Size.plus(4 * Size.OBJECT_BYTES, Size.times(elements, Size.OBJECT_BYTES + Size.REFERENCE_BYTES));
    }
}
