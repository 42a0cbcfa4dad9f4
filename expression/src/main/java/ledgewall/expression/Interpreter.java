package ledgewall.expression;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Walks the tree, each value an object, and counts what it takes. It is what the compiled form is tested against, and it
 * computes constants at load; requests go by the compiled form.
 */
final class Interpreter {
    private static final Size NOTHING = Size.chars(0);

    private final Frame frame;
    private final Object[] variables;
    private final Map<Integer, Object> shared = new HashMap<>();
    private long steps;
    private long bytes;

    Interpreter(Frame frame, Object[] variables) {
        this.frame = frame;
        this.variables = variables;
    }

    /** What has been taken so far. */
    Cost taken() {
        return new Cost(steps, bytes);
    }

    private void take(Cost cost) {
        steps += cost.steps();
        bytes += cost.bytes();
    }

    /** The value, or an {@link ErrorKind}. */
    Object value(Node node) {
        if (node instanceof Node.Call call) {
            return call(call);
        }
        if (node instanceof Node.Logical logic) {
            return logic(logic);
        }
        if (node instanceof Node.Comprehension loop) {
            return loop(loop);
        }
        if (node instanceof Node.ListLiteral list) {
            return list(list.elements());
        }
        if (node instanceof Node.MapLiteral map) {
            Object values = list(map.values());
            return Values.isError(values) ? values : map(map.keys(), (List<?>) values);
        }
        steps++;
        if (node instanceof Node.Constant constant) {
            return constant.value();
        }
        if (node instanceof Node.Attribute attribute) {
            return frame.value(attribute.index());
        }
        if (node instanceof Node.Variable variable) {
            return variables[variable.slot()];
        }
        if (node instanceof Node.SharedExpression other) {
            if (!shared.containsKey(other.slot())) {
                shared.put(other.slot(), value(other.body()));
            }
            return shared.get(other.slot());
        }
        Node.Conditional choice = (Node.Conditional) node;
        Object condition = value(choice.condition());
        return Values.isError(condition) ? condition : value((Boolean) condition ? choice.whenTrue() : choice.whenFalse());
    }

    private Object call(Node.Call call) {
        Object[] arguments = new Object[call.arguments().size()];
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = value(call.arguments().get(i));
            if (Values.isError(arguments[i])) {
                steps++;
                return arguments[i];
            }
        }
        Object result = call.function().implementation().of(arguments);
        List<Size> sizes = Arrays.stream(arguments).map(Values::measure).toList();
        take(Cost.ofCall(call.function(), sizes, Values.isError(result) ? NOTHING : Values.measure(result)));
        return result;
    }

    private Object logic(Node.Logical logic) {
        steps++;
        Object error = null;
        for (Node part : logic.operands()) {
            Object value = value(part);
            if (Values.isError(value)) {
                error = error == null ? value : error;
            } else if ((Boolean) value != logic.isConjunction()) {
                return value;
            }
        }
        return error != null ? error : (Object) logic.isConjunction();
    }

    private Object list(List<Node> elements) {
        List<Object> values = new ArrayList<>();
        for (Node element : elements) {
            Object value = value(element);
            if (Values.isError(value)) {
                return value;
            }
            values.add(value);
        }
        take(Cost.ofContainer(values.size()));
        return values;
    }

    private static Map<String, Object> map(List<String> keys, List<?> values) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keys.size(); i++) {
            map.put(keys.get(i), values.get(i));
        }
        return map;
    }

    private Object loop(Node.Comprehension loop) {
        Object range = value(loop.list());
        if (Values.isError(range)) {
            steps++;
            return range;
        }
        List<?> list = (List<?>) range;
        take(Cost.ofComprehension(loop.macro(), list.size()));
        return switch (loop.macro()) {
            case ALL, EXISTS -> decide(loop, list, loop.macro() == Node.Macro.ALL);
            case EXISTS_ONE -> count(loop, list);
            case FILTER, MAP -> collect(loop, list);
        };
    }

    private Object body(Node.Comprehension loop, Object element) {
        steps++;
        variables[loop.slot()] = element;
        return value(loop.body());
    }

    private Object decide(Node.Comprehension loop, List<?> list, boolean all) {
        Object error = null;
        for (Object element : list) {
            Object value = body(loop, element);
            if (Values.isError(value)) {
                error = error == null ? value : error;
            } else if ((Boolean) value != all) {
                return value;
            }
        }
        return error != null ? error : (Object) all;
    }

    private Object count(Node.Comprehension loop, List<?> list) {
        int count = 0;
        for (Object element : list) {
            Object value = body(loop, element);
            if (Values.isError(value)) {
                return value;
            }
            count += (Boolean) value ? 1 : 0;
        }
        return count == 1;
    }

    private Object collect(Node.Comprehension loop, List<?> list) {
        List<Object> all = new ArrayList<>();
        for (Object element : list) {
            Object value = body(loop, element);
            if (Values.isError(value)) {
                return value;
            }
            if (loop.macro() == Node.Macro.MAP || (Boolean) value) {
                all.add(loop.macro() == Node.Macro.MAP ? value : element);
            }
        }
        return all;
    }
}
