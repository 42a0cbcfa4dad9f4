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
final class Sharing {
    /** Steps from which a part is worth remembering: a regular expression, a search, a walk over a list. */
    private static final long WORTH = 32;

    private final Map<String, Integer> counts = new HashMap<>();
    private final Map<String, Node.Shared> shared = new HashMap<>();
    private final int firstSlot;

    Sharing(List<Node> nodes, int firstSlot) {
        this.firstSlot = firstSlot;
        nodes.forEach(node -> countAll(node, new HashSet<>()));
    }

    /** Slots that are taken, those before the first one included. */
    int slots() {
        return firstSlot + shared.size();
    }

    /** Counts each part once for an expression. */
    private void countAll(Node node, Set<String> seen) {
        if (isWorth(node)) {
            String said = Canonical.of(node);
            if (seen.add(said)) {
                counts.merge(said, 1, Integer::sum);
            }
        }
        Cost.parts(node).forEach(part -> countAll(part, seen));
    }

    private static boolean isWorth(Node node) {
        boolean computes = node instanceof Node.Call || node instanceof Node.Logic || node instanceof Node.Choice
            || node instanceof Node.Loop;
        return computes && Cost.of(node).steps() >= WORTH && isClosed(node, new HashSet<>());
    }

    private static boolean isClosed(Node node, Set<Integer> slots) {
        if (node instanceof Node.Variable variable) {
            return slots.contains(variable.slot());
        }
        Set<Integer> inner = slots;
        if (node instanceof Node.Loop loop) {
            inner = new HashSet<>(slots);
            inner.add(loop.slot());
        }
        for (Node part : Cost.parts(node)) {
            if (!isClosed(part, inner)) {
                return false;
            }
        }
        return true;
    }

    /** The expression with those parts shared that others have too. */
    Node share(Node node) {
        if (isWorth(node)) {
            String said = Canonical.of(node);
            if (counts.getOrDefault(said, 0) > 1) {
                Node.Shared one = shared.get(said);
                if (one == null) {
                    one = new Node.Shared(slots(), "part", node, node.at());
                    shared.put(said, one);
                }
                return one;
            }
        }
        if (node instanceof Node.Logic logic) {
            return new Node.Logic(logic.all(), share(logic.parts()), logic.at());
        } else if (node instanceof Node.Choice c) {
            return new Node.Choice(share(c.condition()), share(c.yes()), share(c.no()), c.type(), c.size(), c.at());
        } else if (node instanceof Node.Call call) {
            return new Node.Call(call.function(), share(call.arguments()), call.type(), call.size(), call.at());
        } else if (node instanceof Node.ListOf list) {
            return new Node.ListOf(share(list.elements()), list.type(), list.size(), list.at());
        } else if (node instanceof Node.MapOf map) {
            return new Node.MapOf(map.keys(), share(map.values()), map.type(), map.size(), map.at());
        } else if (node instanceof Node.Loop loop) {
            return new Node.Loop(loop.macro(), share(loop.range()), loop.slot(), share(loop.body()), loop.type(), loop.size(),
                loop.at());
        }
        return node;
    }

    private List<Node> share(List<Node> nodes) {
        return nodes.stream().map(this::share).toList();
    }
}
