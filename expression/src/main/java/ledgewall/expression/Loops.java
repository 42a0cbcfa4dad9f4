package ledgewall.expression;

import java.util.ArrayList;
import java.util.List;

/**
 * Compiles comprehensions (the macros all, exists, exists_one, filter and map). Each evaluates its body once per list
 * element, with the element in the variable slot of the frame.
 */
final class Loops {
    private Loops() {
    }

    static Code compile(Node.Macro macro, int slot, Code range, Code body) {
        return switch (macro) {
            case ALL -> allOrExists(1, slot, range, body);
            case EXISTS -> allOrExists(0, slot, range, body);
            case EXISTS_ONE -> existsOne(slot, range, body);
            case FILTER -> filter(slot, range, body);
            case MAP -> map(slot, range, body);
        };
    }

    /**
     * The macro all, with the default result 1, or exists, with the default result 0. The opposite value for any element
     * decides the result at once; otherwise the first error, if there was one, is the result.
     */
    private static Code allOrExists(int defaultResult, int slot, Code range, Code body) {
        return Compiler.boolCode(frame -> {
            List<?> list = (List<?>) range.object(frame);
            if (list == null) {
                return Code.ERROR;
            }
            ErrorKind error = null;
            for (int i = 0; i < list.size(); i++) {
                frame.variable(slot, list.get(i));
                int value = body.bool(frame);
                if (value == 1 - defaultResult) {
                    return value;
                }
                if (value == Code.ERROR) {
                    error = error == null ? frame.error() : error;
                    frame.error(null);
                }
            }
            frame.error(error);
            return error == null ? defaultResult : Code.ERROR;
        });
    }

    private static Code existsOne(int slot, Code range, Code body) {
        return Compiler.boolCode(frame -> {
            List<?> list = (List<?>) range.object(frame);
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
        return Compiler.objectCode(frame -> {
            List<?> list = (List<?>) range.object(frame);
            if (list == null) {
                return null;
            }
            List<Object> matching = new ArrayList<>();
            for (Object element : list) {
                frame.variable(slot, element);
                int value = body.bool(frame);
                if (value == Code.ERROR) {
                    return null;
                }
                if (value == 1) {
                    matching.add(element);
                }
            }
            return matching;
        });
    }

    private static Code map(int slot, Code range, Code body) {
        return Compiler.objectCode(frame -> {
            List<?> list = (List<?>) range.object(frame);
            if (list == null) {
                return null;
            }
            List<Object> results = new ArrayList<>(list.size());
            for (Object element : list) {
                frame.variable(slot, element);
                Object value = body.object(frame);
                if (value == null) {
                    return null;
                }
                results.add(value);
            }
            return results;
        });
    }
}
