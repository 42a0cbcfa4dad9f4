package ledgewall.expression;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A necessary condition on one attribute or one map entry: where it is not met, the whole condition is false or an error. Rule
 * indexes look rules up by their requirements.
 *
 * @param subject the attribute or map entry that is restricted
 * @param values the permitted values, or null if the requirement is a prefix or a range
 * @param prefix the required prefix of a string, or null if the requirement is a set of values or a range
 * @param min the least permitted integer, duration or timestamp; used only if both {@code values} and {@code prefix} are null
 * @param max the greatest one, inclusive
 */
public record Requirement(Subject subject, Set<Object> values, String prefix, long min, long max) {
    /**
     * An attribute, or an entry of a map attribute.
     *
     * @param attribute the attribute's index in the schema
     * @param key the key of the map entry, or null for the attribute itself
     */
    public record Subject(int attribute, String key) {
        /** Returns the value for a request, or null if it is missing or an error. */
        public Object value(Frame frame) {
            Object value = frame.value(attribute);
            if (value instanceof ErrorKind) {
                return null;
            }
            return key == null ? value : ((Map<?, ?>) value).get(key);
        }
    }

    /** Whether every value that meets this requirement also meets the other. */
    public boolean implies(Requirement other) {
        if (!subject.equals(other.subject)) {
            return false;
        }
        if (values != null) {
            return values.stream().allMatch(other::accepts);
        }
        if (prefix != null) {
            return other.prefix != null && prefix.startsWith(other.prefix);
        }
        return other.values == null && other.prefix == null && other.min <= min && other.max >= max;
    }

    private boolean accepts(Object value) {
        return values != null ? values.contains(value)
            : prefix != null ? value instanceof String text && text.startsWith(prefix)
            : value instanceof Long number && number >= min && number <= max;
    }

    /** Returns one requirement for each conjunct of the condition that has an indexable form; other conjuncts are skipped. */
    static List<Requirement> of(Node condition) {
        List<Requirement> requirements = new ArrayList<>();
        for (Node conjunct : conjuncts(condition)) {
            Requirement requirement = ofConjunct(conjunct);
            if (requirement != null) {
                requirements.add(requirement);
            }
        }
        return requirements;
    }

    /** Splits a condition into the parts that must all hold, looking into nested conjunctions and named expressions. */
    static List<Node> conjuncts(Node condition) {
        if (condition instanceof Node.SharedExpression shared) {
            return conjuncts(shared.body());
        }
        if (condition instanceof Node.Logical logical && logical.isConjunction()) {
            return logical.operands().stream().flatMap(operand -> conjuncts(operand).stream()).toList();
        }
        return List.of(condition);
    }

    private static Requirement ofConjunct(Node conjunct) {
        if (conjunct instanceof Node.Logical logical && !logical.isConjunction()) {
            return ofDisjunction(logical.operands());
        }
        if (conjunct instanceof Node.SharedExpression shared) {
            return ofConjunct(shared.body());
        }
        if (conjunct instanceof Node.Attribute flag) { // a bool attribute that is the whole conjunct
            return new Requirement(new Subject(flag.index(), null), Set.of(true), null, 0, 0);
        }
        if (conjunct instanceof Node.Call negation && negation.function().name().equals("!")
                && negation.arguments().get(0) instanceof Node.Attribute flag) {
            return new Requirement(new Subject(flag.index(), null), Set.of(false), null, 0, 0);
        }
        if (!(conjunct instanceof Node.Call call) || call.arguments().size() != 2) {
            return null;
        }
        Node first = call.arguments().get(0);
        Node second = call.arguments().get(1);
        Subject subject = subject(first);
        if (subject != null && second instanceof Node.Constant constant) {
            return of(call.function().name(), subject, first.type(), constant.value());
        }
        Subject mirroredSubject = subject(second);
        return mirroredSubject != null && first instanceof Node.Constant constant
            ? of(mirroredOperator(call.function().name()), mirroredSubject, second.type(), constant.value()) : null;
    }

    /** The operator that gives the same result with its operands swapped, or an empty string if there is none. */
    private static String mirroredOperator(String operator) {
        return switch (operator) {
            case "==" -> "==";
            case "<" -> ">";
            case "<=" -> ">=";
            case ">" -> "<";
            case ">=" -> "<=";
            default -> "";
        };
    }

    /** Merges alternatives that all restrict the same subject to sets of values into one set; returns null otherwise. */
    private static Requirement ofDisjunction(List<Node> operands) {
        Set<Object> values = new HashSet<>();
        Subject subject = null;
        for (Node operand : operands) {
            Requirement requirement = ofConjunct(operand);
            if (requirement == null || requirement.values == null
                    || subject != null && !requirement.subject.equals(subject)) {
                return null;
            }
            subject = requirement.subject;
            values.addAll(requirement.values);
        }
        return new Requirement(subject, values, null, 0, 0);
    }

    private static Requirement of(String operator, Subject subject, Type type, Object constant) {
        boolean hasExactEquality = type == Type.STRING || type == Type.BYTES || type.isLong();
        boolean isLongConstant = type.isLong() && constant instanceof Long;
        long value = isLongConstant ? (Long) constant : 0;
        return switch (operator) {
            case "==" -> hasExactEquality ? new Requirement(subject, Set.of(constant), null, 0, 0) : null;
            case "in" -> hasExactEquality && constant instanceof List<?> list
                ? new Requirement(subject, new HashSet<>(list), null, 0, 0) : null;
            case "startsWith" -> new Requirement(subject, null, (String) constant, 0, 0);
            case ">=" -> isLongConstant ? range(subject, value, Long.MAX_VALUE) : null;
            case "<=" -> isLongConstant ? range(subject, Long.MIN_VALUE, value) : null;
            case ">" -> isLongConstant && value < Long.MAX_VALUE ? range(subject, value + 1, Long.MAX_VALUE) : null;
            case "<" -> isLongConstant && value > Long.MIN_VALUE ? range(subject, Long.MIN_VALUE, value - 1) : null;
            default -> null;
        };
    }

    private static Requirement range(Subject subject, long min, long max) {
        return new Requirement(subject, null, null, min, max);
    }

    /** Returns the subject if the node is a scalar attribute or a map attribute indexed by a constant key, else null. */
    private static Subject subject(Node node) {
        if (node instanceof Node.Attribute attribute && attribute.type().isScalar()) {
            return new Subject(attribute.index(), null);
        }
        if (node instanceof Node.Call call && call.function().name().equals("[]")
                && call.arguments().get(0) instanceof Node.Attribute map && map.type().kind() == Type.Kind.MAP
                && call.arguments().get(1) instanceof Node.Constant key) {
            return new Subject(map.index(), (String) key.value());
        }
        return null;
    }
}
