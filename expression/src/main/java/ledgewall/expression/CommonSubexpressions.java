package ledgewall.expression;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds subexpressions that several expressions have in common and replaces them by shared nodes, which are evaluated once for a
 * request. Only those that cost more than reading a value from the frame are shared, and only those that do not depend on the
 * variable of an enclosing comprehension.
 */
final class CommonSubexpressions {
    /** Minimum cost in steps of a shared subexpression: a regular expression, a search or an iteration over a list. */
    private static final long MIN_STEPS = 32;

    private final Map<String, Integer> occurrences = new HashMap<>();
    private final Map<String, Node.SharedExpression> sharedByForm = new HashMap<>();
    private final int firstSlot;

    CommonSubexpressions(List<Node> nodes, int firstSlot) {
        this.firstSlot = firstSlot;
        nodes.forEach(node -> countOccurrences(node, new HashSet<>()));
    }

    /** The number of shared slots in use, those before the first slot included. */
    int slotCount() {
        return firstSlot + sharedByForm.size();
    }

    /** Counts each subexpression once for an expression, even if it occurs several times in it. */
    private void countOccurrences(Node node, Set<String> seen) {
        if (isWorthSharing(node)) {
            String canonicalForm = CanonicalForm.of(node);
            if (seen.add(canonicalForm)) {
                occurrences.merge(canonicalForm, 1, Integer::sum);
            }
        }
        Cost.children(node).forEach(child -> countOccurrences(child, seen));
    }

    private static boolean isWorthSharing(Node node) {
        boolean isComputation = node instanceof Node.Call || node instanceof Node.Logical || node instanceof Node.Conditional
            || node instanceof Node.Comprehension;
        return isComputation && Cost.of(node).steps() >= MIN_STEPS && hasNoFreeVariables(node, new HashSet<>());
    }

    /** Whether the node uses only variables of the given slots and of comprehensions inside it. */
    private static boolean hasNoFreeVariables(Node node, Set<Integer> boundSlots) {
        if (node instanceof Node.Variable variable) {
            return boundSlots.contains(variable.slot());
        }
        Set<Integer> boundInBody = boundSlots;
        if (node instanceof Node.Comprehension comprehension) {
            boundInBody = new HashSet<>(boundSlots);
            boundInBody.add(comprehension.slot());
        }
        for (Node child : Cost.children(node)) {
            if (!hasNoFreeVariables(child, boundInBody)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the expression with every subexpression replaced by a shared node that another expression has too. */
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
        if (node instanceof Node.Logical logical) {
            return new Node.Logical(logical.isConjunction(), share(logical.operands()), logical.position());
        } else if (node instanceof Node.Conditional conditional) {
            return new Node.Conditional(share(conditional.condition()), share(conditional.whenTrue()),
                share(conditional.whenFalse()), conditional.type(), conditional.size(), conditional.position());
        } else if (node instanceof Node.Call call) {
            return new Node.Call(call.function(), share(call.arguments()), call.type(), call.size(), call.position());
        } else if (node instanceof Node.ListLiteral list) {
            return new Node.ListLiteral(share(list.elements()), list.type(), list.size(), list.position());
        } else if (node instanceof Node.MapLiteral map) {
            return new Node.MapLiteral(map.keys(), share(map.values()), map.type(), map.size(), map.position());
        } else if (node instanceof Node.Comprehension comprehension) {
            return new Node.Comprehension(comprehension.macro(), share(comprehension.list()), comprehension.slot(),
                share(comprehension.body()), comprehension.type(), comprehension.size(), comprehension.position());
        }
        return node;
    }

    private List<Node> share(List<Node> nodes) {
        return nodes.stream().map(this::share).toList();
    }
}
