package ledgewall.expression;

/**
 * The attributes of one request, given by who took it in. A frame can be used for one request after another; not by two
 * threads at once.
 */
public final class Frame {
    private final Schema.Attribute[] attributes;
    private final Object[] values;
    private final long[] longs;
    /** Results of shared expressions, each valid for the request of its stamp. */
    private Object[] shared = new Object[0];
    private long[] stamps = new long[0];
    private long stamp = 1;
    /** What comprehensions go over; a slot holds an element while its body is evaluated. */
    private Object[] variables = new Object[0];
    private Object owner;
    private ErrorKind error;

    public Frame(Schema schema) {
        attributes = schema.attributes().toArray(new Schema.Attribute[0]);
        values = new Object[attributes.length];
        longs = new long[attributes.length];
        clear();
    }

    /** Begins another request: nothing is known of it. */
    public void clear() {
        java.util.Arrays.fill(values, ErrorKind.ABSENT);
        stamp++;
    }

    /** Gives an attribute its value. One of another type is a fault; one that is too large is an error of its own. */
    public void set(Schema.Attribute attribute, Object value) {
        if (attributes[attribute.index()] != attribute || !Values.fits(value, attribute.type())) {
            throw new IllegalArgumentException("'" + attribute.name() + "' is no " + value.getClass().getSimpleName());
        }
        stamp++;
        boolean fits = Values.within(Values.measure(value), attribute.size());
        values[attribute.index()] = fits ? value : ErrorKind.TOO_LARGE;
        longs[attribute.index()] = value instanceof Long number ? number : 0;
    }

    /** An attribute's value, or the error that stands for it. */
    Object value(int index) {
        return values[index];
    }

    long number(int index) {
        return longs[index];
    }

    /** Makes room for a program's shared expressions and comprehensions; what others have shared is forgotten. */
    void reserve(Object programs, int sharedSlots, int variableSlots) {
        if (programs != owner) {
            owner = programs;
            stamp++;
        }
        if (shared.length < sharedSlots) {
            shared = java.util.Arrays.copyOf(shared, sharedSlots);
            stamps = java.util.Arrays.copyOf(stamps, sharedSlots);
        }
        if (variables.length < variableSlots) {
            variables = new Object[variableSlots];
        }
    }

    boolean hasShared(int slot) {
        return stamps[slot] == stamp;
    }

    Object shared(int slot) {
        return shared[slot];
    }

    void share(int slot, Object value) {
        shared[slot] = value;
        stamps[slot] = stamp;
    }

    Object variable(int slot) {
        return variables[slot];
    }

    void variable(int slot, Object value) {
        variables[slot] = value;
    }

    /** The error that the value in hand is, or null. */
    ErrorKind error() {
        return error;
    }

    void error(ErrorKind kind) {
        error = kind;
    }
}
