package ledgewall.expression;

/**
 * One part of a compiled expression. Bools and integers go unboxed; where there is an error instead, it stands in the
 * frame and what is returned means nothing. A part overrides the method of its own type, and the others follow from it.
 */
abstract class Code {
    /** What {@link #bool} returns besides 0 and 1. */
    static final int ERROR = -1;

    /** 0, 1 or {@link #ERROR}. */
    int bool(Frame frame) {
        Object value = ref(frame);
        return value == null ? ERROR : (Boolean) value ? 1 : 0;
    }

    /** An integer, duration or timestamp. */
    long number(Frame frame) {
        Object value = ref(frame);
        return value == null ? 0 : (Long) value;
    }

    /** Any value as an object; null for an error. */
    abstract Object ref(Frame frame);

    /** A part of type bool. */
    abstract static class Bool extends Code {
        @Override
        abstract int bool(Frame frame);

        @Override
        final long number(Frame frame) {
            throw new IllegalStateException("a bool is no number");
        }

        @Override
        final Object ref(Frame frame) {
            int value = bool(frame);
            return value == ERROR ? null : (Object) (value == 1);
        }
    }

    /** A part of type int, duration or timestamp. */
    abstract static class Number extends Code {
        @Override
        abstract long number(Frame frame);

        @Override
        final int bool(Frame frame) {
            throw new IllegalStateException("a number is no bool");
        }

        @Override
        final Object ref(Frame frame) {
            long value = number(frame);
            return frame.error() != null ? null : (Object) value;
        }
    }
}
