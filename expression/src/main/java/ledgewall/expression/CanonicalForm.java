package ledgewall.expression;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A text form of an expression without positions, brackets and the names of comprehension variables: expressions that differ in
 * nothing else have equal texts.
 */
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
        } else if (node instanceof Node.Comprehension comprehension) {
            String list = of(comprehension.list(), boundSlots);
            List<Integer> boundInBody = new ArrayList<>(boundSlots);
            boundInBody.add(comprehension.slot());
            return comprehension.macro() + "(" + list + "," + of(comprehension.body(), boundInBody) + ")";
        }
        String children = Cost.children(node).stream().map(child -> of(child, boundSlots)).collect(Collectors.joining(","));
        if (node instanceof Node.Call call) {
            return call.function().form() + call.function().name() + "(" + children + ")";
        } else if (node instanceof Node.Logical logical) {
            return (logical.isConjunction() ? "all(" : "any(") + children + ")";
        } else if (node instanceof Node.MapLiteral map) {
            return "map" + map.keys().stream().map(CanonicalForm::encode).toList() + "(" + children + ")";
        }
        return (node instanceof Node.Conditional ? "if(" : "list(") + children + ")";
    }

    /** Encodes a constant or a map key. A text has its length in front, so that its contents cannot be read as syntax. */
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
