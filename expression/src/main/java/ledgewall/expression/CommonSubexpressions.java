package ledgewall.expression;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds what several expressions say alike and has it computed once for a request. Only what is dear enough to be worth a
 * look into the frame, and what depends on no comprehension around it.
 */
final class CommonSubexpressions {
    /** Steps from which a part is worth remembering: a regular expression, a search, a walk over a list. */
    private static final long MIN_STEPS = 32;

    private final Map<String, Integer> occurrences = new HashMap<>();
    private final Map<String, Node.SharedExpression> sharedByForm = new HashMap<>();
    private final int firstSlot;

    CommonSubexpressions(List<Node> nodes, int firstSlot) {
        this.firstSlot = firstSlot;
        nodes.forEach(node -> countOccurrences(node, new HashSet<>()));
    }

    /** Slots that are taken, those before the first one included. */
    int slotCount() {
        return firstSlot + sharedByForm.size();
    }

    /** Counts each part once for an expression. */
    private void countOccurrences(Node node, Set<String> seen) {
        if (isWorthSharing(node)) {
            String canonicalForm = CanonicalForm.of(node);
            if (seen.add(canonicalForm)) {
                occurrences.merge(canonicalForm, 1, Integer::sum);
            }
        }
        Cost.children(node).forEach(part -> countOccurrences(part, seen));
    }

    private static boolean isWorthSharing(Node node) {
        boolean isComputation = node instanceof Node.Call || node instanceof Node.Logical || node instanceof Node.Conditional
            || node instanceof Node.Comprehension;
        return isComputation && Cost.of(node).steps() >= MIN_STEPS && hasNoFreeVariables(node, new HashSet<>());
    }

    private static boolean hasNoFreeVariables(Node node, Set<Integer> boundSlots) {
        if (node instanceof Node.Variable variable) {
            return boundSlots.contains(variable.slot());
        }
        Set<Integer> boundInBody = boundSlots;
        if (node instanceof Node.Comprehension loop) {
            boundInBody = new HashSet<>(boundSlots);
            boundInBody.add(loop.slot());
        }
        for (Node part : Cost.children(node)) {
            if (!hasNoFreeVariables(part, boundInBody)) {
                return false;
            }
        }
        return true;
    }

    /** The expression with those parts shared that others have too. */
    Node share(Node node) {
        if (isWorthSharing(node)) {
            String canonicalForm = CanonicalForm.of(node);
            if (occurrences.getOrDefault(canonicalForm, 0) > 1) {
                Node.SharedExpression sharedNode = sharedByForm.get(canonicalForm);
                if (sharedNode == null) {
                    sharedNode = new Node.SharedExpression(slotCount(), "part", node, node.position());
                    sharedByForm.put(canonicalForm, sharedNode);
                }
                return sharedNode;
            }
        }
        if (node instanceof Node.Logical logic) {
            return new Node.Logical(logic.isConjunction(), share(logic.operands()), logic.position());
        } else if (node instanceof Node.Conditional conditional) {
            return new Node.Conditional(share(conditional.condition()), share(conditional.whenTrue()), share(conditional.whenFalse()), conditional.type(), conditional.size(), conditional.position());
        } else if (node instanceof Node.Call call) {
            return new Node.Call(call.function(), share(call.arguments()), call.type(), call.size(), call.position());
        } else if (node instanceof Node.ListLiteral list) {
            return new Node.ListLiteral(share(list.elements()), list.type(), list.size(), list.position());
        } else if (node instanceof Node.MapLiteral map) {
            return new Node.MapLiteral(map.keys(), share(map.values()), map.type(), map.size(), map.position());
        } else if (node instanceof Node.Comprehension loop) {
            return new Node.Comprehension(loop.macro(), share(loop.list()), loop.slot(), share(loop.body()), loop.type(), loop.size(),
                loop.position());
        }
        return node;
    }

    private List<Node> share(List<Node> nodes) {
        return nodes.stream().map(this::share).toList();
    }
}
