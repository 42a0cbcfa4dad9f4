package ledgewall.expression;

/** What can still go wrong with a value once an expression has been accepted. An error is a value: see the reference. */
public enum ErrorKind {
    /** An integer, duration or timestamp beyond 64 bits. */
    OVERFLOW,
    DIVISION_BY_ZERO,
    /** A map has no such key. */
    NO_SUCH_KEY,
    /** A list has no such element, a string no such character. */
    OUT_OF_RANGE,
    /** A text that is no number, no time, no address; a double that is no integer. */
    BAD_CONVERSION,
    /** An optional without a value, or an attribute that this request lacks. */
    ABSENT,
    /** An attribute beyond the size that the schema states. */
    TOO_LARGE
}
