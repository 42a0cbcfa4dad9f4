package ledgewall.expression;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An accepted expression: compiled once and evaluated for each request, at no more than its cost bound. */
public final class Program {
    private final String source;
    private final Node node;
    private final Cost cost;
    private final Code code;
    private final int sharedSlots;
    private final int variableSlots;
    private final boolean needsSlots;
    /** The {@link ExpressionEnvironment} that assigned the slots: slots of different ones are unrelated. */
    private final Object environment;

    Program(String source, Node node, Cost cost, Code code, int sharedSlots, int variableSlots, Object environment) {
        this.environment = environment;
        this.source = source;
        this.node = node;
        this.cost = cost;
        this.code = code;
        this.sharedSlots = sharedSlots;
        this.variableSlots = variableSlots;
        this.needsSlots = sharedSlots + variableSlots > 0;
    }

    public String source() {
        return source;
    }

    public Type type() {
        return node.type();
    }

    /** The largest size that the value can have. */
    public Size size() {
        return node.size();
    }

    /** The upper bound on the cost of one evaluation. */
    public Cost cost() {
        return cost;
    }

    Node node() {
        return node;
    }

    /** The requirements of a condition on single attributes; a request that fails one of them cannot match. */
    public List<Requirement> requirements() {
        return Requirement.of(node);
    }

    /**
     * Whether this condition is known to hold whenever the other does. Only simple implications are recognized: a part that
     * both have, and a requirement on one attribute that follows from a requirement of the other. So a result of true is
     * certain, while false may only mean that the implication was not recognized.
     */
    public boolean covers(Program other) {
        Set<String> otherParts = new HashSet<>();
        Requirement.conjuncts(other.node).forEach(part -> otherParts.add(CanonicalForm.of(part)));
        List<Requirement> otherRequirements = other.requirements();
        for (Node part : Requirement.conjuncts(node)) {
            List<Requirement> partRequirements = Requirement.of(part);
            boolean implied = otherParts.contains(CanonicalForm.of(part)) || isConstantTrue(part)
                || partRequirements.size() == 1 && otherRequirements.stream().anyMatch(r -> r.implies(partRequirements.get(0)));
            if (!implied) {
                return false;
            }
        }
        return true;
    }

    private static boolean isConstantTrue(Node part) {
        return part instanceof Node.Constant constant && Boolean.TRUE.equals(constant.value());
    }

    /** Whether a condition is a constant that is true for every request. */
    public boolean isAlwaysTrue() {
        return isConstantTrue(node);
    }

    /** The value if the expression is a constant, or null. */
    public Object constant() {
        return node instanceof Node.Constant constant ? constant.value() : null;
    }

    /** Evaluates the expression for a request to its value, or to an {@link ErrorKind}. */
    public Object evaluate(Frame frame) {
        frame.reserve(environment, sharedSlots, variableSlots);
        frame.error(null);
        Object value = code.object(frame);
        return value == null ? frame.error() : value;
    }

    /** Whether a condition holds for a request. False if the evaluation fails too: {@link #error} tells the two apart. */
    public boolean matches(Frame frame) {
        if (needsSlots) {
            frame.reserve(environment, sharedSlots, variableSlots);
        }
        frame.error(null);
        return code.bool(frame) == 1;
    }

    /** The error of the last call of {@link #matches}, or null. */
    public ErrorKind error(Frame frame) {
        return frame.error();
    }

    /** The result of an evaluation by the interpreter: the value, or an {@link ErrorKind}, and the actual cost. */
    public record Evaluation(Object value, Cost cost) { }

    /** Evaluates with the interpreter and counts the actual cost; meant for tests and diagnostics. */
    public Evaluation evaluateAndCount(Frame frame) {
        frame.reserve(environment, sharedSlots, variableSlots);
        Interpreter interpreter = new Interpreter(frame, new Object[variableSlots]);
        Object value = interpreter.evaluate(node);
        return new Evaluation(value, interpreter.cost());
    }
}
