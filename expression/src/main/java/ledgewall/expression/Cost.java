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
    static final Cost NONE = new Cost(0, 0);
    private static final Cost STEP = new Cost(1, 0);

    Cost plus(Cost other) {
        return new Cost(Size.plus(steps, other.steps), Size.plus(bytes, other.bytes));
    }

    private Cost times(long count) {
        return new Cost(Size.times(steps, count), Size.times(bytes, count));
    }

    private Cost or(Cost other) {
        return new Cost(Math.max(steps, other.steps), Math.max(bytes, other.bytes));
    }

    /** What evaluating a node takes at most; each shared one that it needs is counted once, where it is asked for first. */
    static Cost of(Node node) {
        return of(node, new HashSet<>());
    }

    private static Cost of(Node node, Set<Integer> shared) {
        if (node instanceof Node.Logic logic) {
            return all(logic.parts(), shared).plus(STEP);
        }
        if (node instanceof Node.Choice choice) {
            // a shared one in either branch is counted before them: whichever asks first pays
            Cost condition = of(choice.condition(), shared);
            Cost defined = shared(choice.yes(), shared).plus(shared(choice.no(), shared));
            return condition.plus(defined).plus(of(choice.yes(), shared).or(of(choice.no(), shared))).plus(STEP);
        }
        if (node instanceof Node.Call call) {
            List<Size> sizes = call.arguments().stream().map(Node::size).toList();
            return all(call.arguments(), shared).plus(own(call.function(), sizes, call.size()));
        }
        if (node instanceof Node.ListOf list) {
            return all(list.elements(), shared).plus(container(list.elements().size()));
        }
        if (node instanceof Node.MapOf map) {
            return all(map.values(), shared).plus(container(map.values().size()));
        }
        if (node instanceof Node.Loop loop) {
            Cost defined = shared(loop.body(), shared);
            long count = loop.range().size().count();
            return of(loop.range(), shared).plus(defined).plus(of(loop.body(), shared).plus(STEP).times(count))
                .plus(loop(loop.macro(), count));
        }
        if (node instanceof Node.Shared other) {
            return shared.add(other.slot()) ? of(other.body(), shared).plus(STEP) : STEP;
        }
        return STEP;
    }

    /** The shared ones below a node that were not counted yet: they count as if asked for before it. */
    private static Cost shared(Node node, Set<Integer> counted) {
        if (node instanceof Node.Shared) {
            return of(node, counted);
        }
        Cost sum = NONE;
        for (Node part : parts(node)) {
            sum = sum.plus(shared(part, counted));
        }
        return sum;
    }

    static List<Node> parts(Node node) {
        if (node instanceof Node.Logic logic) {
            return logic.parts();
        } else if (node instanceof Node.Choice choice) {
            return List.of(choice.condition(), choice.yes(), choice.no());
        } else if (node instanceof Node.Call call) {
            return call.arguments();
        } else if (node instanceof Node.ListOf list) {
            return list.elements();
        } else if (node instanceof Node.MapOf map) {
            return map.values();
        } else if (node instanceof Node.Loop loop) {
            return List.of(loop.range(), loop.body());
        }
        return List.of();
    }

    private static Cost all(List<Node> nodes, Set<Integer> shared) {
        Cost sum = NONE;
        for (Node node : nodes) {
            sum = sum.plus(of(node, shared));
        }
        return sum;
    }

    /** What a call takes beside its arguments, from bounds or from actual sizes alike. */
    static Cost own(Function function, List<Size> arguments, Size result) {
        return new Cost(Size.plus(1, function.steps().of(arguments, result)), function.bytes().of(arguments, result));
    }

    static Cost container(long count) {
        return new Cost(Size.plus(1, count), Costs.containerBytes(count));
    }

    static Cost loop(Node.Macro macro, long count) {
        boolean collects = macro == Node.Macro.MAP || macro == Node.Macro.FILTER;
        return new Cost(1, collects ? Costs.containerBytes(count) : 0);
    }

    @Override
    public String toString() {
        return amount(steps) + " steps and " + amount(bytes) + " bytes";
    }

    private static String amount(long count) {
        return count == Long.MAX_VALUE ? "countless" : Long.toString(count);
    }
}
