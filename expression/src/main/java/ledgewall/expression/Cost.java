package ledgewall.expression;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The bound on one evaluation: no request makes it take more.
 *
 * @param steps each part evaluated is one, and what functions look at is counted beside it
 * @param bytes what is allocated
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

    /** What evaluating a node takes at most; each shared one that it needs is counted once, where it is asked for first. */
    static Cost of(Node node) {
        return of(node, new HashSet<>());
    }

    private static Cost of(Node node, Set<Integer> countedSlots) {
        if (node instanceof Node.Logical logic) {
            return sum(logic.operands(), countedSlots).plus(ONE_STEP);
        }
        if (node instanceof Node.Conditional choice) {
            // a shared one in either branch is counted before them: whichever asks first pays
            Cost condition = of(choice.condition(), countedSlots);
            Cost sharedCost = ofSharedOnFirstUse(choice.whenTrue(), countedSlots).plus(ofSharedOnFirstUse(choice.whenFalse(), countedSlots));
            return condition.plus(sharedCost).plus(of(choice.whenTrue(), countedSlots).max(of(choice.whenFalse(), countedSlots))).plus(ONE_STEP);
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
        if (node instanceof Node.Comprehension loop) {
            Cost sharedCost = ofSharedOnFirstUse(loop.body(), countedSlots);
            long count = loop.list().size().count();
            return of(loop.list(), countedSlots).plus(sharedCost).plus(of(loop.body(), countedSlots).plus(ONE_STEP).times(count))
                .plus(ofComprehension(loop.macro(), count));
        }
        if (node instanceof Node.SharedExpression shared) {
            return countedSlots.add(shared.slot()) ? of(shared.body(), countedSlots).plus(ONE_STEP) : ONE_STEP;
        }
        return ONE_STEP;
    }

    /** The shared ones below a node that were not counted yet: they count as if asked for before it. */
    private static Cost ofSharedOnFirstUse(Node node, Set<Integer> countedSlots) {
        if (node instanceof Node.SharedExpression) {
            return of(node, countedSlots);
        }
        Cost total = ZERO;
        for (Node part : children(node)) {
            total = total.plus(ofSharedOnFirstUse(part, countedSlots));
        }
        return total;
    }

    static List<Node> children(Node node) {
        if (node instanceof Node.Logical logic) {
            return logic.operands();
        } else if (node instanceof Node.Conditional choice) {
            return List.of(choice.condition(), choice.whenTrue(), choice.whenFalse());
        } else if (node instanceof Node.Call call) {
            return call.arguments();
        } else if (node instanceof Node.ListLiteral list) {
            return list.elements();
        } else if (node instanceof Node.MapLiteral map) {
            return map.values();
        } else if (node instanceof Node.Comprehension loop) {
            return List.of(loop.list(), loop.body());
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

    /** What a call takes beside its arguments, from bounds or from actual sizes alike. */
    static Cost ofCall(Function function, List<Size> arguments, Size result) {
        return new Cost(Size.plus(1, function.stepCost().of(arguments, result)), function.byteCost().of(arguments, result));
    }

    static Cost ofContainer(long count) {
        return new Cost(Size.plus(1, count), Costs.container(count));
    }

    static Cost ofComprehension(Node.Macro macro, long count) {
        boolean buildsList = macro == Node.Macro.MAP || macro == Node.Macro.FILTER;
        return new Cost(1, buildsList ? Costs.container(count) : 0);
    }

    @Override
    public String toString() {
        return format(steps) + " steps and " + format(bytes) + " bytes";
    }

    private static String format(long count) {
        return count == Long.MAX_VALUE ? "countless" : Long.toString(count);
    }
}
