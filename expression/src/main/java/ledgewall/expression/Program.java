package ledgewall.expression;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** An expression that was accepted: compiled once, evaluated for each request, never beyond its cost. */
public final class Program {
    private final String source;
    private final Node node;
    private final Cost cost;
    private final Code code;
    private final int sharedSlots;
    private final int variableSlots;
    private final boolean needsSlots;
    /** Whose slots these are: those of another's expressions mean something else. */
    private final Object owner;

    Program(String source, Node node, Cost cost, Code code, int sharedSlots, int variableSlots, Object owner) {
        this.owner = owner;
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

    /** How large its value can be. */
    public Size size() {
        return node.size();
    }

    /** What one evaluation takes at most. */
    public Cost cost() {
        return cost;
    }

    Node node() {
        return node;
    }

    /** What a condition requires of single attributes; a request that does not meet each cannot match. */
    public List<Requirement> requirements() {
        return Requirement.of(node);
    }

    /**
     * Whether this condition holds wherever the other does. Only what is plain is seen: parts that say the same, and
     * requirements of one attribute that follow from the other's; so a true answer is one, and a false one may be not.
     */
    public boolean covers(Program other) {
        Set<String> said = new HashSet<>();
        Requirement.conjuncts(other.node).forEach(part -> said.add(CanonicalForm.of(part)));
        List<Requirement> required = other.requirements();
        for (Node part : Requirement.conjuncts(node)) {
            List<Requirement> plain = Requirement.of(part);
            boolean follows = said.contains(CanonicalForm.of(part)) || isTrue(part)
                || plain.size() == 1 && required.stream().anyMatch(r -> r.implies(plain.get(0)));
            if (!follows) {
                return false;
            }
        }
        return true;
    }

    private static boolean isTrue(Node part) {
        return part instanceof Node.Constant constant && Boolean.TRUE.equals(constant.value());
    }

    /** Whether a condition is true whatever the request. */
    public boolean isAlwaysTrue() {
        return isTrue(node);
    }

    /** The value of one that depends on no request, or null. */
    public Object constant() {
        return node instanceof Node.Constant constant ? constant.value() : null;
    }

    /** The value for a request, or an {@link ErrorKind}. */
    public Object evaluate(Frame frame) {
        frame.reserve(owner, sharedSlots, variableSlots);
        frame.error(null);
        Object value = code.ref(frame);
        return value == null ? frame.error() : value;
    }

    /** Whether a condition holds for a request: true, false, or null where it is the error that the frame tells. */
    public boolean matches(Frame frame) {
        if (needsSlots) {
            frame.reserve(owner, sharedSlots, variableSlots);
        }
        frame.error(null);
        return code.bool(frame) == 1;
    }

    /** The error that the last {@link #matches} came to, or null. */
    public ErrorKind error(Frame frame) {
        return frame.error();
    }

    /** What an evaluation by the interpreter gave, and what it took. */
    public record Counted(Object value, Cost cost) { }

    /** Evaluates by walking the tree, and counts: for tests and for whoever asks what an expression took. */
    public Counted count(Frame frame) {
        frame.reserve(owner, sharedSlots, variableSlots);
        Interpreter interpreter = new Interpreter(frame, new Object[variableSlots]);
        Object value = interpreter.value(node);
        return new Counted(value, interpreter.taken());
    }
}
