package ledgewall.expression;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ledgewall.expression.Type.Kind;

/**
 * Compiles a checked expression into a tree of {@link Code} objects that call one another. The functions that conditions
 * on requests use most (comparisons, prefixes, set membership, map keys) have specialized code that allocates nothing;
 * every other function is called through its {@link Function.Implementation}.
 */
final class Compiler {
    /** Code of shared expressions by slot: each is compiled once, however many expressions refer to it. */
    private final Map<Integer, Code> shared = new HashMap<>();
    /**
     * Limit on the generated classes for the expressions of one file: each takes some KB of memory, and the JVM has to
     * warm up each one separately.
     */
    private static final int MAX_GENERATED_CLASSES = 1_000;
    private int generatedClasses;

    Code compile(Node node) {
        if (node instanceof Node.Constant constant) {
            return constant(constant);
        }
        if (node instanceof Node.Attribute attribute) {
            return attribute(attribute);
        }
        if (node instanceof Node.Variable variable) {
            int slot = variable.slot();
            return objectCode(frame -> frame.variable(slot));
        }
        if (node instanceof Node.Logical logical) {
            Code generated = generatedClasses < MAX_GENERATED_CLASSES ? Bytecode.compile(logical, this) : null;
            generatedClasses += generated == null ? 0 : 1;
            return generated != null ? generated : logical(logical.isConjunction(), compile(logical.operands()));
        }
        if (node instanceof Node.Conditional conditional) {
            return conditional(conditional, compile(conditional.condition()), compile(conditional.whenTrue()),
                compile(conditional.whenFalse()));
        }
        if (node instanceof Node.Call call) {
            Code specialized = specialized(call);
            return specialized != null ? specialized : generic(call.function().implementation(), compile(call.arguments()));
        }
        if (node instanceof Node.ListLiteral list) {
            return list(compile(list.elements()));
        }
        if (node instanceof Node.MapLiteral map) {
            return map(map.keys(), compile(map.values()));
        }
        if (node instanceof Node.Comprehension comprehension) {
            return Loops.compile(comprehension.macro(), comprehension.slot(), compile(comprehension.list()),
                compile(comprehension.body()));
        }
        Node.SharedExpression sharedNode = (Node.SharedExpression) node;
        Code body = shared.get(sharedNode.slot());
        if (body == null) {
            body = compile(sharedNode.body());
            shared.put(sharedNode.slot(), body);
        }
        return shared(sharedNode.slot(), body);
    }

    private Code[] compile(List<Node> nodes) {
        return nodes.stream().map(this::compile).toArray(Code[]::new);
    }

    /** Evaluates an expression to an object: the body of {@link Code#object}. */
    interface ObjectEvaluator {
        Object of(Frame frame);
    }

    static Code objectCode(ObjectEvaluator body) {
        return new Code() {
            @Override
            Object object(Frame frame) {
                return body.of(frame);
            }
        };
    }

    /** Evaluates an expression to 0, 1 or {@link Code#ERROR}: the body of {@link Code#bool}. */
    interface BoolEvaluator {
        int of(Frame frame);
    }

    static Code boolCode(BoolEvaluator body) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                return body.of(frame);
            }
        };
    }

    /** Evaluates an expression to a long: the body of {@link Code#number}. */
    interface NumberEvaluator {
        long of(Frame frame);
    }

    static Code numberCode(NumberEvaluator body) {
        return new Code.Number() {
            @Override
            long number(Frame frame) {
                return body.of(frame);
            }
        };
    }

    private static Code constant(Node.Constant constant) {
        Object value = constant.value();
        if (value instanceof Boolean bool) {
            int result = bool ? 1 : 0;
            return boolCode(frame -> result);
        }
        if (value instanceof Long number) {
            long result = number;
            return numberCode(frame -> result);
        }
        return objectCode(frame -> value);
    }

    private static Code attribute(Node.Attribute attribute) {
        int index = attribute.index();
        if (attribute.type().isLong()) {
            return numberCode(frame -> {
                if (frame.value(index) instanceof ErrorKind error) {
                    frame.error(error);
                    return 0;
                }
                return frame.number(index);
            });
        }
        return objectCode(frame -> {
            Object value = frame.value(index);
            if (value instanceof ErrorKind error) {
                frame.error(error);
                return null;
            }
            return value;
        });
    }

    /**
     * A conjunction or disjunction. The first part whose value decides the result ends the evaluation; the first error is
     * the result only if no part decides.
     */
    private static Code logical(boolean conjunction, Code[] parts) {
        int decisive = conjunction ? 0 : 1;
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                ErrorKind error = null;
                for (Code part : parts) {
                    int value = part.bool(frame);
                    if (value == decisive) {
                        return decisive;
                    }
                    if (value == Code.ERROR) {
                        error = error == null ? frame.error() : error;
                        frame.error(null);
                    }
                }
                if (error != null) {
                    frame.error(error);
                    return Code.ERROR;
                }
                return 1 - decisive;
            }
        };
    }

    private static Code conditional(Node.Conditional node, Code condition, Code whenTrue, Code whenFalse) {
        if (node.type() == Type.BOOL) {
            return boolCode(frame -> {
                int value = condition.bool(frame);
                return value == Code.ERROR ? value : value == 1 ? whenTrue.bool(frame) : whenFalse.bool(frame);
            });
        }
        if (node.type().isLong()) {
            return numberCode(frame -> {
                int value = condition.bool(frame);
                return value == Code.ERROR ? 0 : value == 1 ? whenTrue.number(frame) : whenFalse.number(frame);
            });
        }
        return objectCode(frame -> {
            int value = condition.bool(frame);
            return value == Code.ERROR ? null : value == 1 ? whenTrue.object(frame) : whenFalse.object(frame);
        });
    }

    /** Evaluates a shared expression once per request and keeps its value, or its error, in the frame. */
    private static Code shared(int slot, Code body) {
        return objectCode(frame -> {
            if (!frame.hasShared(slot)) {
                Object value = body.object(frame);
                frame.storeShared(slot, value == null ? frame.error() : value);
                frame.error(null);
            }
            Object value = frame.shared(slot);
            if (value instanceof ErrorKind error) {
                frame.error(error);
                return null;
            }
            return value;
        });
    }

    private static Code list(Code[] elements) {
        return objectCode(frame -> {
            List<Object> values = new ArrayList<>(elements.length);
            for (Code element : elements) {
                Object value = element.object(frame);
                if (value == null) {
                    return null;
                }
                values.add(value);
            }
            return values;
        });
    }

    private static Code map(List<String> keys, Code[] values) {
        return objectCode(frame -> {
            Map<String, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < values.length; i++) {
                Object value = values[i].object(frame);
                if (value == null) {
                    return null;
                }
                map.put(keys.get(i), value);
            }
            return map;
        });
    }

    /** Calls a function with all arguments as objects; the first argument that fails is the result. */
    private static Code generic(Function.Implementation implementation, Code[] argumentCodes) {
        return objectCode(frame -> {
            Object[] arguments = new Object[argumentCodes.length];
            for (int i = 0; i < argumentCodes.length; i++) {
                arguments[i] = argumentCodes[i].object(frame);
                if (arguments[i] == null) {
                    return null;
                }
            }
            Object result = implementation.of(arguments);
            if (result instanceof ErrorKind error) {
                frame.error(error);
                return null;
            }
            return result;
        });
    }

    // ---- Specialized code

    /** The specialized code for a call, or null if there is none for this function with these operand types. */
    private Code specialized(Node.Call call) {
        List<Node> nodes = call.arguments();
        Node first = nodes.get(0);
        Node second = nodes.size() > 1 ? nodes.get(1) : null;
        return switch (call.function().name()) {
            case "!" -> not(compile(first));
            case "==", "!=" -> equality(call.function().name().equals("=="), first, second);
            case "<", "<=", ">", ">=" -> first.type().isLong()
                ? comparison(call.function().name(), compile(first), compile(second)) : null;
            case "+", "-", "*" -> second != null && call.type().isLong()
                ? checkedArithmetic(call.function().name(), compile(first), compile(second)) : null;
            case "in" -> membership(first, second);
            case "[]" -> first.type().kind() == Kind.MAP ? mapLookup(compile(first), compile(second)) : null;
            case "orValue" -> orValue(first, second);
            case "startsWith", "endsWith", "contains" -> stringTest(call.function().name(), Operand.of(first, this),
                Operand.of(second, this));
            case "matches" -> matches(Operand.of(first, this), (Pattern) ((Node.Constant) second).value());
            case "size" -> size(Operand.of(first, this));
            case "hash" -> hash(Operand.of(first, this));
            case "bucket" -> bucket(Operand.of(first, this), compile(second));
            default -> null;
        };
    }

    private static Code not(Code operand) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                int value = operand.bool(frame);
                return value == ERROR ? value : 1 - value;
            }
        };
    }

    /** The operator == or, where {@code equals} is false, !=. */
    private Code equality(boolean equals, Node first, Node second) {
        int whenEqual = equals ? 1 : 0;
        if (first.type() == Type.STRING || first.type() == Type.BYTES) {
            return stringEquality(whenEqual, Operand.of(first, this), Operand.of(second, this));
        }
        Code a = compile(first);
        Code b = compile(second);
        if (first.type().isLong()) {
            return boolCode(frame -> {
                long x = a.number(frame);
                if (frame.error() != null) {
                    return Code.ERROR;
                }
                long y = b.number(frame);
                return frame.error() != null ? Code.ERROR : x == y ? whenEqual : 1 - whenEqual;
            });
        }
        if (first.type() == Type.BOOL) {
            return boolCode(frame -> {
                int x = a.bool(frame);
                if (x == Code.ERROR) {
                    return x;
                }
                int y = b.bool(frame);
                return y == Code.ERROR ? y : x == y ? whenEqual : 1 - whenEqual;
            });
        }
        return boolCode(frame -> {
            Object x = a.object(frame);
            if (x == null) {
                return Code.ERROR;
            }
            Object y = b.object(frame);
            return y == null ? Code.ERROR : Values.equal(x, y) ? whenEqual : 1 - whenEqual;
        });
    }

    /** Compares strings or bytes, for which {@link Object#equals} is the equality of the language. */
    private static Code stringEquality(int whenEqual, Operand a, Operand b) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                Object x = a.object(frame);
                if (x == null) {
                    return ERROR;
                }
                Object y = b.object(frame);
                return y == null ? ERROR : x.equals(y) ? whenEqual : 1 - whenEqual;
            }
        };
    }

    /** Orders two integers, durations or timestamps. */
    private static Code comparison(String operator, Code a, Code b) {
        boolean isLess = operator.startsWith("<");
        int whenEqual = operator.length() == 2 ? 1 : 0;
        return boolCode(frame -> {
            long x = a.number(frame);
            if (frame.error() != null) {
                return Code.ERROR;
            }
            long y = b.number(frame);
            return frame.error() != null ? Code.ERROR : x == y ? whenEqual : x < y == isLess ? 1 : 0;
        });
    }

    /** Adds, subtracts or multiplies longs; a result beyond 64 bits is the error {@link ErrorKind#OVERFLOW}. */
    private static Code checkedArithmetic(String name, Code a, Code b) {
        char operator = name.charAt(0);
        return numberCode(frame -> {
            long x = a.number(frame);
            if (frame.error() != null) {
                return 0;
            }
            long y = b.number(frame);
            if (frame.error() != null) {
                return 0;
            }
            long result = operator == '+' ? x + y : operator == '-' ? x - y : x * y;
            boolean overflows = switch (operator) {
                case '+' -> ((x ^ result) & (y ^ result)) < 0;
                case '-' -> ((x ^ y) & (x ^ result)) < 0;
                default -> Math.multiplyHigh(x, y) != result >> 63;
            };
            if (overflows) {
                frame.error(ErrorKind.OVERFLOW);
            }
            return result;
        });
    }

    /** The operator in, for the keys of a map and for a constant list of values whose equality is {@link Object#equals}. */
    private Code membership(Node first, Node second) {
        Operand element = Operand.of(first, this);
        if (second.type().kind() == Kind.MAP) {
            Operand mapOperand = Operand.of(second, this);
            return boolCode(frame -> {
                Object key = element.object(frame);
                if (key == null) {
                    return Code.ERROR;
                }
                Object entries = mapOperand.object(frame);
                return entries == null ? Code.ERROR : ((Map<?, ?>) entries).containsKey(key) ? 1 : 0;
            });
        }
        boolean comparesByEquals = first.type() == Type.STRING || first.type() == Type.BYTES || first.type().isLong();
        if (!comparesByEquals || !(second instanceof Node.Constant constant)) {
            return null;
        }
        Set<Object> elements = new HashSet<>((List<?>) constant.value());
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                Object value = element.object(frame);
                return value == null ? ERROR : elements.contains(value) ? 1 : 0;
            }
        };
    }

    /** A map's value for a key; a missing key is the error {@link ErrorKind#NO_SUCH_KEY}. */
    private static Code mapLookup(Code map, Code key) {
        return objectCode(frame -> {
            Object entries = map.object(frame);
            if (entries == null) {
                return null;
            }
            Object keyValue = key.object(frame);
            if (keyValue == null) {
                return null;
            }
            Object value = ((Map<?, ?>) entries).get(keyValue);
            if (value == null) {
                frame.error(ErrorKind.NO_SUCH_KEY);
            }
            return value;
        });
    }

    /** Compiles {@code map[?key].orValue(default)} to a direct lookup that creates no {@link java.util.Optional}. */
    private Code orValue(Node optional, Node defaultNode) {
        boolean isMapLookup = optional instanceof Node.Call call && call.function().name().equals("[?]")
            && call.arguments().get(0).type().kind() == Kind.MAP;
        if (!isMapLookup) {
            return null;
        }
        Code map = compile(((Node.Call) optional).arguments().get(0));
        Code key = compile(((Node.Call) optional).arguments().get(1));
        Code defaultCode = compile(defaultNode);
        return objectCode(frame -> {
            Object entries = map.object(frame);
            if (entries == null) {
                return null;
            }
            Object keyValue = key.object(frame);
            if (keyValue == null) {
                return null;
            }
            Object defaultValue = defaultCode.object(frame);
            if (defaultValue == null) {
                return null;
            }
            Object value = ((Map<?, ?>) entries).get(keyValue);
            return value == null ? defaultValue : value;
        });
    }

    /** The code of startsWith, endsWith or contains. */
    private static Code stringTest(String function, Operand a, Operand b) {
        return switch (function) {
            case "startsWith" -> new StringTest(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.startsWith(other);
                }
            };
            case "endsWith" -> new StringTest(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.endsWith(other);
                }
            };
            default -> new StringTest(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.contains(other);
                }
            };
        };
    }

    /** A bool function of two strings. */
    private abstract static class StringTest extends Code.Bool {
        private final Operand left;
        private final Operand right;

        private StringTest(Operand left, Operand right) {
            this.left = left;
            this.right = right;
        }

        abstract boolean holds(String text, String other);

        @Override
        final int bool(Frame frame) {
            Object text = left.object(frame);
            if (text == null) {
                return ERROR;
            }
            Object other = right.object(frame);
            return other == null ? ERROR : holds((String) text, (String) other) ? 1 : 0;
        }
    }

    private static Code matches(Operand text, Pattern pattern) {
        return boolCode(frame -> {
            String value = (String) text.object(frame);
            return value == null ? Code.ERROR : pattern.matcher(value).find() ? 1 : 0;
        });
    }

    private static Code size(Operand operand) {
        return numberCode(frame -> {
            Object value = operand.object(frame);
            return value == null ? 0 : value instanceof String text ? text.length()
                : value instanceof List<?> list ? list.size() : value instanceof Map<?, ?> map ? map.size()
                : ((Bytes) value).size();
        });
    }

    private static Code hash(Operand key) {
        return numberCode(frame -> {
            Object value = key.object(frame);
            return value == null ? 0 : Texts.hash(value);
        });
    }

    private static Code bucket(Operand key, Code bucketCount) {
        return numberCode(frame -> {
            Object value = key.object(frame);
            if (value == null) {
                return 0;
            }
            long count = bucketCount.number(frame);
            if (frame.error() == null && count < 1) {
                frame.error(ErrorKind.OUT_OF_RANGE);
            }
            return frame.error() != null ? 0 : Long.remainderUnsigned(Texts.hash(value), count);
        });
    }
}
