package ledgewall.expression;

import java.util.ArrayList;
import java.util.List;

/** The compiled forms of comprehensions. */
final class Loops {
    private Loops() {
    }

    static Code compile(Node.Macro macro, int slot, Code range, Code body) {
        return switch (macro) {
            case ALL -> decide(1, slot, range, body);
            case EXISTS -> decide(0, slot, range, body);
            case EXISTS_ONE -> one(slot, range, body);
            case FILTER -> filter(slot, range, body);
            case MAP -> map(slot, range, body);
        };
    }

    /** All, which is 1 unless an element says 0; or any, which is 0 unless one says 1. */
    private static Code decide(int usual, int slot, Code range, Code body) {
        return Compiler.test(frame -> {
            List<?> list = (List<?>) range.ref(frame);
            if (list == null) {
                return Code.ERROR;
            }
            ErrorKind error = null;
            for (int i = 0; i < list.size(); i++) {
                frame.variable(slot, list.get(i));
                int value = body.bool(frame);
                if (value == 1 - usual) {
                    return value;
                }
                if (value == Code.ERROR) {
                    error = error == null ? frame.error() : error;
                    frame.error(null);
                }
            }
            frame.error(error);
            return error == null ? usual : Code.ERROR;
        });
    }

    private static Code one(int slot, Code range, Code body) {
        return Compiler.test(frame -> {
            List<?> list = (List<?>) range.ref(frame);
            if (list == null) {
                return Code.ERROR;
            }
            int count = 0;
            for (int i = 0; i < list.size(); i++) {
                frame.variable(slot, list.get(i));
                int value = body.bool(frame);
                if (value == Code.ERROR) {
                    return value;
                }
                count += value;
            }
            return count == 1 ? 1 : 0;
        });
    }

    private static Code filter(int slot, Code range, Code body) {
        return Compiler.ref(frame -> {
            List<?> list = (List<?>) range.ref(frame);
            if (list == null) {
                return null;
            }
            List<Object> kept = new ArrayList<>();
            for (Object element : list) {
                frame.variable(slot, element);
                int value = body.bool(frame);
                if (value == Code.ERROR) {
                    return null;
                }
                if (value == 1) {
                    kept.add(element);
                }
            }
            return kept;
        });
    }

    private static Code map(int slot, Code range, Code body) {
        return Compiler.ref(frame -> {
            List<?> list = (List<?>) range.ref(frame);
            if (list == null) {
                return null;
            }
            List<Object> all = new ArrayList<>(list.size());
            for (Object element : list) {
                frame.variable(slot, element);
                Object value = body.ref(frame);
                if (value == null) {
                    return null;
                }
                all.add(value);
            }
            return all;
        });
    }
}
