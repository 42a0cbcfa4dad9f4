package ledgewall.expression;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Evaluates an expression by walking its tree, with every value as an object, and counts the actual cost. The tests compare
 * the compiled code with it, and the checker folds constants with it when an expression is loaded; requests are evaluated by
 * the compiled code only.
 */
final class Interpreter {
    /** The size of an error, for the cost of a call that failed. */
    private static final Size ERROR_SIZE = Size.chars(0);

    private final Frame frame;
    private final Object[] variables;
    private final Map<Integer, Object> shared = new HashMap<>();
    /** The cost so far: steps, and bytes allocated. */
    private long steps;
    private long bytes;

    Interpreter(Frame frame, Object[] variables) {
        this.frame = frame;
        this.variables = variables;
    }

    /** The cost of the evaluation so far. */
    Cost cost() {
        return new Cost(steps, bytes);
    }

    private void charge(Cost cost) {
        steps += cost.steps();
        bytes += cost.bytes();
    }

    /** Evaluates a node to its value, or to an {@link ErrorKind}. */
    Object evaluate(Node node) {
        if (node instanceof Node.Call call) {
            return call(call);
        }
        if (node instanceof Node.Logical logical) {
            return logical(logical);
        }
        if (node instanceof Node.Comprehension comprehension) {
            return comprehension(comprehension);
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
        if (node instanceof Node.SharedExpression sharedNode) {
            if (!shared.containsKey(sharedNode.slot())) {
                shared.put(sharedNode.slot(), evaluate(sharedNode.body()));
            }
            return shared.get(sharedNode.slot());
        }
        Node.Conditional conditional = (Node.Conditional) node;
        Object condition = evaluate(conditional.condition());
        return Values.isError(condition) ? condition
            : evaluate((Boolean) condition ? conditional.whenTrue() : conditional.whenFalse());
    }

    private Object call(Node.Call call) {
        Object[] arguments = new Object[call.arguments().size()];
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = evaluate(call.arguments().get(i));
            if (Values.isError(arguments[i])) {
                steps++;
                return arguments[i];
            }
        }
        Object result = call.function().implementation().of(arguments);
        List<Size> sizes = Arrays.stream(arguments).map(Values::measure).toList();
        charge(Cost.ofCall(call.function(), sizes, Values.isError(result) ? ERROR_SIZE : Values.measure(result)));
        return result;
    }

    private Object logical(Node.Logical logical) {
        steps++;
        Object error = null;
        for (Node part : logical.operands()) {
            Object value = evaluate(part);
            if (Values.isError(value)) {
                error = error == null ? value : error;
            } else if ((Boolean) value != logical.isConjunction()) {
                return value;
            }
        }
        return error != null ? error : (Object) logical.isConjunction();
    }

    private Object list(List<Node> elements) {
        List<Object> values = new ArrayList<>();
        for (Node element : elements) {
            Object value = evaluate(element);
            if (Values.isError(value)) {
                return value;
            }
            values.add(value);
        }
        charge(Cost.ofContainer(values.size()));
        return values;
    }

    private static Map<String, Object> map(List<String> keys, List<?> values) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keys.size(); i++) {
            map.put(keys.get(i), values.get(i));
        }
        return map;
    }

    private Object comprehension(Node.Comprehension comprehension) {
        Object range = evaluate(comprehension.list());
        if (Values.isError(range)) {
            steps++;
            return range;
        }
        List<?> list = (List<?>) range;
        charge(Cost.ofComprehension(comprehension.macro(), list.size()));
        return switch (comprehension.macro()) {
            case ALL, EXISTS -> allOrExists(comprehension, list, comprehension.macro() == Node.Macro.ALL);
            case EXISTS_ONE -> existsOne(comprehension, list);
            case FILTER, MAP -> filterOrMap(comprehension, list);
        };
    }

    private Object evaluateBody(Node.Comprehension comprehension, Object element) {
        steps++;
        variables[comprehension.slot()] = element;
        return evaluate(comprehension.body());
    }

    private Object allOrExists(Node.Comprehension comprehension, List<?> list, boolean isAll) {
        Object error = null;
        for (Object element : list) {
            Object value = evaluateBody(comprehension, element);
            if (Values.isError(value)) {
                error = error == null ? value : error;
            } else if ((Boolean) value != isAll) {
                return value;
            }
        }
        return error != null ? error : (Object) isAll;
    }

    private Object existsOne(Node.Comprehension comprehension, List<?> list) {
        int count = 0;
        for (Object element : list) {
            Object value = evaluateBody(comprehension, element);
            if (Values.isError(value)) {
                return value;
            }
            count += (Boolean) value ? 1 : 0;
        }
        return count == 1;
    }

    private Object filterOrMap(Node.Comprehension comprehension, List<?> list) {
        List<Object> results = new ArrayList<>();
        for (Object element : list) {
            Object value = evaluateBody(comprehension, element);
            if (Values.isError(value)) {
                return value;
            }
            if (comprehension.macro() == Node.Macro.MAP || (Boolean) value) {
                results.add(comprehension.macro() == Node.Macro.MAP ? value : element);
            }
        }
        return results;
    }
}
