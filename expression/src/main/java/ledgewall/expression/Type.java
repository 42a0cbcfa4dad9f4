package ledgewall.expression;

import java.util.Objects;

/** The type of an expression or of an attribute. All types are checked at load. */
public final class Type {
    /** The kind of value. The last three kinds contain values of another type. */
    public enum Kind { BOOL, INT, DOUBLE, STRING, BYTES, DURATION, TIMESTAMP, LIST, MAP, OPTIONAL }

    public static final Type BOOL = new Type(Kind.BOOL, null);
    public static final Type INT = new Type(Kind.INT, null);
    public static final Type DOUBLE = new Type(Kind.DOUBLE, null);
    public static final Type STRING = new Type(Kind.STRING, null);
    public static final Type BYTES = new Type(Kind.BYTES, null);
    public static final Type DURATION = new Type(Kind.DURATION, null);
    public static final Type TIMESTAMP = new Type(Kind.TIMESTAMP, null);

    private final Kind kind;
    private final Type element;

    private Type(Kind kind, Type element) {
        this.kind = kind;
        this.element = element;
    }

    public static Type listOf(Type element) {
        return new Type(Kind.LIST, element);
    }

    /** A map with string keys. */
    public static Type mapOf(Type value) {
        return new Type(Kind.MAP, value);
    }

    /** A value that may be absent. */
    public static Type optionalOf(Type value) {
        return new Type(Kind.OPTIONAL, value);
    }

    public Kind kind() {
        return kind;
    }

    /** The type of a list's elements, a map's values or an optional's value; null for other types. */
    public Type element() {
        return element;
    }

    /** Whether values are stored as a 64-bit integer: durations in nanoseconds, timestamps in nanoseconds since 1970. */
    boolean isLong() {
        return kind == Kind.INT || kind == Kind.DURATION || kind == Kind.TIMESTAMP;
    }

    boolean isOrdered() {
        return isLong() || kind == Kind.DOUBLE || kind == Kind.STRING || kind == Kind.BYTES;
    }

    /** Whether values contain no values of another type. */
    boolean isScalar() {
        return element == null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Type type && type.kind == kind && Objects.equals(type.element, element);
    }

    @Override
    public int hashCode() {
        return 31 * kind.hashCode() + Objects.hashCode(element);
    }

    @Override
    public String toString() {
        return switch (kind) {
            case LIST -> "list(" + element + ")";
            case MAP -> "map(string, " + element + ")";
            case OPTIONAL -> "optional(" + element + ")";
            default -> kind.name().toLowerCase(java.util.Locale.ROOT);
        };
    }
}
