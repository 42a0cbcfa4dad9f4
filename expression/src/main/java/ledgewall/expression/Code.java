package ledgewall.expression;

/**
 * The executable form of one node of a compiled expression. Bools and integers are returned unboxed. If the evaluation
 * fails, the error is in the frame ({@link Frame#error()}) and a returned number has no meaning. A subclass overrides the
 * method for its own type; the other methods are derived from that one.
 */
abstract class Code {
    /** The result of {@link #bool} if the evaluation failed; 0 is false and 1 is true. */
    static final int ERROR = -1;

    /** Evaluates to 0 (false), 1 (true) or {@link #ERROR}. */
    int bool(Frame frame) {
        Object value = object(frame);
        return value == null ? ERROR : (Boolean) value ? 1 : 0;
    }

    /** Evaluates to an integer, duration or timestamp; the result is valid only if the frame has no error. */
    long number(Frame frame) {
        Object value = object(frame);
        return value == null ? 0 : (Long) value;
    }

    /** Evaluates to a value of any type as an object, or to null if the evaluation failed. */
    abstract Object object(Frame frame);

    /** The code of an expression of type bool. */
    abstract static class Bool extends Code {
        @Override
        abstract int bool(Frame frame);

        @Override
        final long number(Frame frame) {
            throw new IllegalStateException("a bool expression has no numeric value");
        }

        @Override
        final Object object(Frame frame) {
            int value = bool(frame);
            return value == ERROR ? null : (Object) (value == 1);
        }
    }

    /** The code of an expression of type int, duration or timestamp. */
    abstract static class Number extends Code {
        @Override
        abstract long number(Frame frame);

        @Override
        final int bool(Frame frame) {
            throw new IllegalStateException("a numeric expression has no bool value");
        }

        @Override
        final Object object(Frame frame) {
            long value = number(frame);
            return frame.error() != null ? null : (Object) value;
        }
    }
}
