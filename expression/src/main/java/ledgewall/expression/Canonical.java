package ledgewall.expression;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What an expression says, whatever its places, brackets and names of elements: two that say the same give one text. */
final class Canonical {
    private Canonical() {
    }

    static String of(Node node) {
        return of(node, new ArrayList<>());
    }

    private static String of(Node node, List<Integer> slots) {
        if (node instanceof Node.Constant constant) {
            return constant.type() + ":" + constant.value().getClass().getSimpleName() + ":" + quoted(constant.value());
        } else if (node instanceof Node.Attribute attribute) {
            return "@" + attribute.name();
        } else if (node instanceof Node.Variable variable) {
            return "$" + slots.indexOf(variable.slot());
        } else if (node instanceof Node.Shared shared) {
            return of(shared.body(), slots);
        } else if (node instanceof Node.Loop loop) {
            String range = of(loop.range(), slots);
            List<Integer> inner = new ArrayList<>(slots);
            inner.add(loop.slot());
            return loop.macro() + "(" + range + "," + of(loop.body(), inner) + ")";
        }
        String parts = Cost.parts(node).stream().map(part -> of(part, slots)).collect(Collectors.joining(","));
        if (node instanceof Node.Call call) {
            return call.function().form() + call.function().name() + "(" + parts + ")";
        } else if (node instanceof Node.Logic logic) {
            return (logic.all() ? "all(" : "any(") + parts + ")";
        } else if (node instanceof Node.MapOf map) {
            return "map" + map.keys().stream().map(Canonical::quoted).toList() + "(" + parts + ")";
        }
        return (node instanceof Node.Choice ? "if(" : "list(") + parts + ")";
    }

    /** With its length before it, so that no text passes for the signs around another. */
    private static String quoted(Object value) {
        if (value instanceof Bytes bytes) {
            return java.util.Arrays.toString(bytes.array());
        }
        if (value instanceof List<?> list) {
            return list.stream().map(Canonical::quoted).toList().toString();
        }
        String text = value.toString();
        return text.length() + "\"" + text + "\"";
    }
}
