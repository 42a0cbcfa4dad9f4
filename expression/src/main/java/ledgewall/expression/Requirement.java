package ledgewall.expression;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Something that an attribute, or one entry of a map, must be for a condition to hold; false or an error otherwise. Indexes
 * find rules by these.
 *
 * @param subject what must be so
 * @param values one of these, where they are what is required; else null
 * @param prefix what it must begin with; else null
 * @param least the least integer, duration or timestamp, where a range is required
 * @param most the greatest
 */
public record Requirement(Subject subject, Set<Object> values, String prefix, long min, long max) {
    /**
     * An attribute, or an entry of one that is a map.
     *
     * @param key the entry's, or null
     */
    public record Subject(int attribute, String key) {
        /** Its value for a request, or null where it has none or is an error. */
        public Object value(Frame frame) {
            Object value = frame.value(attribute);
            if (value instanceof ErrorKind) {
                return null;
            }
            return key == null ? value : ((Map<?, ?>) value).get(key);
        }
    }

    /** Whether whatever meets this meets the other too. */
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

    /** What a condition requires of single subjects: one for each part that says so plainly. */
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

    /** The parts that must all hold. */
    static List<Node> conjuncts(Node condition) {
        if (condition instanceof Node.SharedExpression shared) {
            return conjuncts(shared.body());
        }
        if (condition instanceof Node.Logical logic && logic.isConjunction()) {
            return logic.operands().stream().flatMap(part -> conjuncts(part).stream()).toList();
        }
        return List.of(condition);
    }

    private static Requirement ofConjunct(Node conjunct) {
        if (conjunct instanceof Node.Logical logic && !logic.isConjunction()) {
            return ofDisjunction(logic.operands());
        }
        if (conjunct instanceof Node.SharedExpression shared) {
            return ofConjunct(shared.body());
        }
        if (conjunct instanceof Node.Attribute flag) { // a bool, as all that is required
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

    /** Any of several values of one subject is a set. */
    private static Requirement ofDisjunction(List<Node> operands) {
        Set<Object> values = new HashSet<>();
        Subject subject = null;
        for (Node operand : operands) {
            Requirement requirement = ofConjunct(operand);
            if (requirement == null || requirement.values == null || subject != null && !requirement.subject.equals(subject)) {
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

    /** An attribute; an entry under a constant key; or such an entry with a default, unless the default would do. */
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
