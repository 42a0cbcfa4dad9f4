package ledgewall.expression;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The cost of one evaluation: the upper bound computed at load, which holds for every request, or the cost that the interpreter
 * counted. Sums and products saturate at {@link Long#MAX_VALUE}.
 *
 * @param steps one for each node evaluated, plus the steps that functions take to read their arguments
 * @param bytes bytes allocated
 */
public record Cost(long steps, long bytes) {
    static final Cost ZERO = new Cost(0, 0);
    private static final Cost ONE_STEP = new Cost(1, 0);

    Cost plus(Cost other) {
        return new Cost(Size.plus(steps, other.steps), Size.plus(bytes, other.bytes));
    }

    private Cost times(long count) {
        return new Cost(Size.times(steps, count), Size.times(bytes, count));
    }

    private Cost max(Cost other) {
        return new Cost(Math.max(steps, other.steps), Math.max(bytes, other.bytes));
    }

    /** Returns the upper bound for a node. A shared expression is counted in full once, where it is first evaluated. */
    static Cost of(Node node) {
        return of(node, new HashSet<>());
    }

    private static Cost of(Node node, Set<Integer> countedSlots) {
        if (node instanceof Node.Logical logical) {
            return sum(logical.operands(), countedSlots).plus(ONE_STEP);
        }
        if (node instanceof Node.Conditional conditional) {
            // Only one branch runs, so a shared expression first used in either is counted outside the maximum of both.
            Cost condition = of(conditional.condition(), countedSlots);
            Cost sharedCost = ofSharedOnFirstUse(conditional.whenTrue(), countedSlots)
                .plus(ofSharedOnFirstUse(conditional.whenFalse(), countedSlots));
            return condition.plus(sharedCost)
                .plus(of(conditional.whenTrue(), countedSlots).max(of(conditional.whenFalse(), countedSlots))).plus(ONE_STEP);
        }
        if (node instanceof Node.Call call) {
            List<Size> sizes = call.arguments().stream().map(Node::size).toList();
            return sum(call.arguments(), countedSlots).plus(ofCall(call.function(), sizes, call.size()));
        }
        if (node instanceof Node.ListLiteral list) {
            return sum(list.elements(), countedSlots).plus(ofContainer(list.elements().size()));
        }
        if (node instanceof Node.MapLiteral map) {
            return sum(map.values(), countedSlots).plus(ofContainer(map.values().size()));
        }
        if (node instanceof Node.Comprehension comprehension) {
            Cost sharedCost = ofSharedOnFirstUse(comprehension.body(), countedSlots);
            long count = comprehension.list().size().count();
            return of(comprehension.list(), countedSlots).plus(sharedCost)
                .plus(of(comprehension.body(), countedSlots).plus(ONE_STEP).times(count))
                .plus(ofComprehension(comprehension.macro(), count));
        }
        if (node instanceof Node.SharedExpression shared) {
            return countedSlots.add(shared.slot()) ? of(shared.body(), countedSlots).plus(ONE_STEP) : ONE_STEP;
        }
        return ONE_STEP;
    }

    /** Sums the shared expressions under a node that are not in {@code countedSlots} yet, and adds them to it. */
    private static Cost ofSharedOnFirstUse(Node node, Set<Integer> countedSlots) {
        if (node instanceof Node.SharedExpression) {
            return of(node, countedSlots);
        }
        Cost total = ZERO;
        for (Node child : children(node)) {
            total = total.plus(ofSharedOnFirstUse(child, countedSlots));
        }
        return total;
    }

    /** The nodes directly under a node; the body of a shared expression is not among them. */
    static List<Node> children(Node node) {
        if (node instanceof Node.Logical logical) {
            return logical.operands();
        } else if (node instanceof Node.Conditional conditional) {
            return List.of(conditional.condition(), conditional.whenTrue(), conditional.whenFalse());
        } else if (node instanceof Node.Call call) {
            return call.arguments();
        } else if (node instanceof Node.ListLiteral list) {
            return list.elements();
        } else if (node instanceof Node.MapLiteral map) {
            return map.values();
        } else if (node instanceof Node.Comprehension comprehension) {
            return List.of(comprehension.list(), comprehension.body());
        }
        return List.of();
    }

    private static Cost sum(List<Node> nodes, Set<Integer> countedSlots) {
        Cost total = ZERO;
        for (Node node : nodes) {
            total = total.plus(of(node, countedSlots));
        }
        return total;
    }

    /** The cost of a call without evaluating its arguments, from either maximum or actual sizes. */
    static Cost ofCall(Function function, List<Size> arguments, Size result) {
        return new Cost(Size.plus(1, function.stepCost().of(arguments, result)), function.byteCost().of(arguments, result));
    }

    /** The cost of building a list or a map of so many entries, without evaluating them. */
    static Cost ofContainer(long count) {
        return new Cost(Size.plus(1, count), Costs.containerBytes(count));
    }

    /** The cost of a comprehension without its list and its body. */
    static Cost ofComprehension(Node.Macro macro, long count) {
        boolean buildsList = macro == Node.Macro.MAP || macro == Node.Macro.FILTER;
        return new Cost(1, buildsList ? Costs.containerBytes(count) : 0);
    }

    @Override
    public String toString() {
        return format(steps) + " steps and " + format(bytes) + " bytes";
    }

    private static String format(long count) {
        return count == Long.MAX_VALUE ? "countless" : Long.toString(count);
    }
}
