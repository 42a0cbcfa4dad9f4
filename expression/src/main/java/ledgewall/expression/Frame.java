package ledgewall.expression;

/**
 * The attribute values of one request, set by the caller, and the state of an evaluation. A frame can be reused for one
 * request after another, but not by two threads at once.
 */
public final class Frame {
    private final Schema.Attribute[] attributes;
    /** Attribute values by index; an {@link ErrorKind} for an attribute that is absent or too large. */
    private final Object[] values;
    /** The unboxed values of the attributes that are integers, durations or timestamps. */
    private final long[] numbers;
    /** Results of shared expressions by slot; one is valid if its generation is the current one. */
    private Object[] shared = new Object[0];
    private long[] sharedGenerations = new long[0];
    /** Incremented whenever the results of shared expressions become invalid. */
    private long generation = 1;
    /** Variables of comprehensions by slot: the current list element while a body is evaluated. */
    private Object[] variables = new Object[0];
    /** The {@link ExpressionEnvironment} whose results {@link #shared} holds, since slots of different ones are unrelated. */
    private Object environment;
    private ErrorKind error;

    public Frame(Schema schema) {
        attributes = schema.attributes().toArray(new Schema.Attribute[0]);
        values = new Object[attributes.length];
        numbers = new long[attributes.length];
        clear();
    }

    /** Resets the frame for another request: all attributes are absent. */
    public void clear() {
        java.util.Arrays.fill(values, ErrorKind.ABSENT);
        generation++;
    }

    /**
     * Sets the value of an attribute. A value that is larger than the schema allows is stored as
     * {@link ErrorKind#TOO_LARGE}.
     *
     * @throws IllegalArgumentException if the attribute is not from this frame's schema, or the value is of another type
     */
    public void set(Schema.Attribute attribute, Object value) {
        if (attributes[attribute.index()] != attribute || !Values.isOfType(value, attribute.type())) {
            throw new IllegalArgumentException("'" + attribute.name() + "' is not an attribute of this schema that takes a "
                + value.getClass().getSimpleName());
        }
        generation++;
        boolean fits = Values.within(Values.measure(value), attribute.size());
        values[attribute.index()] = fits ? value : ErrorKind.TOO_LARGE;
        numbers[attribute.index()] = value instanceof Long number ? number : 0;
    }

    /** An attribute's value, or an {@link ErrorKind} if it has none. */
    Object value(int index) {
        return values[index];
    }

    /** The unboxed value of an attribute that is an integer, duration or timestamp; valid if it is no error. */
    long number(int index) {
        return numbers[index];
    }

    /**
     * Allocates the slots for a program's shared expressions and comprehension variables. Results that were stored for
     * another environment become invalid.
     */
    void reserve(Object newEnvironment, int sharedSlots, int variableSlots) {
        if (newEnvironment != environment) {
            environment = newEnvironment;
            generation++;
        }
        if (shared.length < sharedSlots) {
            shared = java.util.Arrays.copyOf(shared, sharedSlots);
            sharedGenerations = java.util.Arrays.copyOf(sharedGenerations, sharedSlots);
        }
        if (variables.length < variableSlots) {
            variables = new Object[variableSlots];
        }
    }

    boolean hasShared(int slot) {
        return sharedGenerations[slot] == generation;
    }

    Object shared(int slot) {
        return shared[slot];
    }

    void storeShared(int slot, Object value) {
        shared[slot] = value;
        sharedGenerations[slot] = generation;
    }

    Object variable(int slot) {
        return variables[slot];
    }

    void variable(int slot, Object value) {
        variables[slot] = value;
    }

    /** The error of the current evaluation, or null. */
    ErrorKind error() {
        return error;
    }

    void error(ErrorKind kind) {
        error = kind;
    }
}
