package ledgewall.expression;

/**
 * What evaluation costs, in steps and bytes. The same formulas give the bound at load, from the greatest sizes, and the
 * count in test mode, from the actual ones; each grows with each of its arguments, so the second never exceeds the first.
 */
final class Costs {
    /** Characters that one step looks at. */
    static final long CHUNK = 16;

    private Costs() {
    }

    /** Steps to look at so many characters or bytes. */
    static long chars(long count) {
        return 1 + count / CHUNK;
    }

    /** Steps of a search that may compare at each place. */
    static long search(long text, long part) {
        return Size.times(1 + text, chars(part));
    }

    /** Steps of a linear-time regular expression over a text: a part of the program for each character at most. */
    static long match(long text, long program) {
        return Size.times(1 + text, 1 + program / CHUNK);
    }

    /** Bytes of a new string. */
    static long string(long chars) {
        return Size.plus(2 * Size.OBJECT_BYTES, Size.times(2, chars));
    }

    /** Bytes of a new list or map without what it holds. */
    static long container(long count) {
        return Size.plus(4 * Size.OBJECT_BYTES, Size.times(count, Size.OBJECT_BYTES + Size.REFERENCE_BYTES));
    }
}
