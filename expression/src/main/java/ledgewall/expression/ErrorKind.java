package ledgewall.expression;

/** Errors that evaluating a compiled expression can return. An error is returned as a value and is never thrown. */
public enum ErrorKind {
    /** An integer, duration or timestamp that does not fit in 64 bits. */
    OVERFLOW,
    DIVISION_BY_ZERO,
    /** The map does not have the key. */
    NO_SUCH_KEY,
    /** An index outside a list or a string. */
    OUT_OF_RANGE,
    /** A string that is not a valid number, time or address, or a double that cannot be converted to an integer. */
    BAD_CONVERSION,
    /** An empty optional, or an attribute that the request does not have. */
    ABSENT,
    /** An attribute whose value is larger than its maximum size in the schema. */
    TOO_LARGE
}
