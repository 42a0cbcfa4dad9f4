package ledgewall.expression;

import com.google.re2j.Pattern;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Operations on the values of expressions. Their Java types are Boolean, Long (for integers, durations and timestamps),
 * Double, String, {@link Bytes}, List, Map with String keys, and Optional; an error is represented by its
 * {@link ErrorKind}.
 */
final class Values {
    private Values() {
    }

    static boolean isError(Object value) {
        return value instanceof ErrorKind;
    }

    /** The equality of the expression language: doubles are compared by IEEE 754, so NaN equals nothing, not even itself. */
    static boolean equal(Object a, Object b) {
        if (a instanceof Double x && b instanceof Double y) {
            return x.doubleValue() == y.doubleValue();
        }
        if (a instanceof List<?> x && b instanceof List<?> y) {
            return equalLists(x, y);
        }
        if (a instanceof Map<?, ?> x && b instanceof Map<?, ?> y) {
            return x.size() == y.size() && x.entrySet().stream()
                .allMatch(e -> y.containsKey(e.getKey()) && equal(e.getValue(), y.get(e.getKey())));
        }
        if (a instanceof Optional<?> x && b instanceof Optional<?> y) {
            return x.isPresent() ? y.isPresent() && equal(x.get(), y.get()) : y.isEmpty();
        }
        return a.equals(b);
    }

    private static boolean equalLists(List<?> a, List<?> b) {
        if (a.size() != b.size()) {
            return false;
        }
        Iterator<?> otherElements = b.iterator();
        for (Object element : a) {
            if (!equal(element, otherElements.next())) {
                return false;
            }
        }
        return true;
    }

    /** Compares two values of the same ordered type, as {@link Comparable} does. */
    @SuppressWarnings("unchecked")
    static int compare(Object a, Object b) {
        return ((Comparable<Object>) a).compareTo(b);
    }

    /** The size of a value; for a regular expression, the size of its compiled program. */
    static Size measure(Object value) {
        if (value instanceof String text) {
            return Size.chars(text.length());
        }
        if (value instanceof Bytes bytes) {
            return Size.chars(bytes.size());
        }
        if (value instanceof Pattern pattern) {
            return Size.chars(pattern.programSize());
        }
        if (value instanceof List<?> list) {
            return Size.list(list.size(), largest(list));
        }
        if (value instanceof Map<?, ?> map) {
            long key = map.keySet().stream().mapToLong(k -> ((String) k).length()).max().orElse(0);
            return Size.map(map.size(), key, largest(map.values()));
        }
        if (value instanceof Optional<?> optional) {
            return new Size(1, optional.isPresent() ? measure(optional.get()) : new Size(0, null, 0), 0);
        }
        return Size.ONE;
    }

    private static Size largest(Iterable<?> values) {
        Size largest = null;
        for (Object value : values) {
            Size size = measure(value);
            largest = largest == null ? size : largest.max(size);
        }
        return largest == null ? new Size(0, null, 0) : largest;
    }

    /** Whether a value is of a type. The attribute values that are given to a frame are checked by this. */
    static boolean isOfType(Object value, Type type) {
        return switch (type.kind()) {
            case BOOL -> value instanceof Boolean;
            case INT, DURATION, TIMESTAMP -> value instanceof Long;
            case DOUBLE -> value instanceof Double;
            case STRING -> value instanceof String;
            case BYTES -> value instanceof Bytes;
            case LIST -> value instanceof List<?> list && list.stream().allMatch(v -> isOfType(v, type.element()));
            case MAP -> value instanceof Map<?, ?> map && map.entrySet().stream()
                .allMatch(e -> e.getKey() instanceof String && isOfType(e.getValue(), type.element()));
            case OPTIONAL -> value instanceof Optional<?> optional
                && (optional.isEmpty() || isOfType(optional.get(), type.element()));
        };
    }

    /** Whether a size is at most the bound, in every dimension and for nested values too. */
    static boolean within(Size size, Size bound) {
        return size.count() <= bound.count() && size.keyChars() <= bound.keyChars()
            && (size.element() == null || bound.element() == null || size.count() == 0
                || within(size.element(), bound.element()));
    }
}
