package ledgewall.expression;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What an expression says, whatever its places, brackets and names of elements: two that say the same give one text. */
final class CanonicalForm {
    private CanonicalForm() {
    }

    static String of(Node node) {
        return of(node, new ArrayList<>());
    }

    private static String of(Node node, List<Integer> boundSlots) {
        if (node instanceof Node.Constant constant) {
            return constant.type() + ":" + constant.value().getClass().getSimpleName() + ":" + encode(constant.value());
        } else if (node instanceof Node.Attribute attribute) {
            return "@" + attribute.name();
        } else if (node instanceof Node.Variable variable) {
            return "$" + boundSlots.indexOf(variable.slot());
        } else if (node instanceof Node.SharedExpression shared) {
            return of(shared.body(), boundSlots);
        } else if (node instanceof Node.Comprehension loop) {
            String range = of(loop.list(), boundSlots);
            List<Integer> boundInBody = new ArrayList<>(boundSlots);
            boundInBody.add(loop.slot());
            return loop.macro() + "(" + range + "," + of(loop.body(), boundInBody) + ")";
        }
        String parts = Cost.children(node).stream().map(part -> of(part, boundSlots)).collect(Collectors.joining(","));
        if (node instanceof Node.Call call) {
            return call.function().form() + call.function().name() + "(" + parts + ")";
        } else if (node instanceof Node.Logical logic) {
            return (logic.isConjunction() ? "all(" : "any(") + parts + ")";
        } else if (node instanceof Node.MapLiteral map) {
            return "map" + map.keys().stream().map(CanonicalForm::encode).toList() + "(" + parts + ")";
        }
        return (node instanceof Node.Conditional ? "if(" : "list(") + parts + ")";
    }

    /** With its length before it, so that no text passes for the signs around another. */
    private static String encode(Object value) {
        if (value instanceof Bytes bytes) {
            return java.util.Arrays.toString(bytes.array());
        }
        if (value instanceof List<?> list) {
            return list.stream().map(CanonicalForm::encode).toList().toString();
        }
        String text = value.toString();
        return text.length() + "\"" + text + "\"";
    }
}
