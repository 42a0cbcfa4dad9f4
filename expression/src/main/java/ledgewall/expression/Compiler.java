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
 * Makes a checked expression into parts that call one another. What requests are told apart by most, comparisons,
 * beginnings, sets, keys, has parts of its own that allocate nothing; all else goes by the function's body.
 */
final class Compiler {
    /** Shared expressions are compiled once, whoever names them. */
    private final Map<Integer, Code> shared = new HashMap<>();
    /** Classes of their own, of one file's expressions; each takes some KB and is warmed up for itself. */
    private static final int MOST_CLASSES = 1_000;
    private int classes;

    Code compile(Node node) {
        if (node instanceof Node.Constant constant) {
            return constant(constant);
        }
        if (node instanceof Node.Attribute attribute) {
            return attribute(attribute);
        }
        if (node instanceof Node.Variable variable) {
            int slot = variable.slot();
            return ref(frame -> frame.variable(slot));
        }
        if (node instanceof Node.Logical logic) {
            Code own = classes < MOST_CLASSES ? Bytecode.of(logic, this) : null;
            classes += own == null ? 0 : 1;
            return own != null ? own : logic(logic.isConjunction(), compile(logic.operands()));
        }
        if (node instanceof Node.Conditional choice) {
            return choice(choice, compile(choice.condition()), compile(choice.whenTrue()), compile(choice.whenFalse()));
        }
        if (node instanceof Node.Call call) {
            Code special = special(call);
            return special != null ? special : general(call.function().implementation(), compile(call.arguments()));
        }
        if (node instanceof Node.ListLiteral list) {
            return list(compile(list.elements()));
        }
        if (node instanceof Node.MapLiteral map) {
            return map(map.keys(), compile(map.values()));
        }
        if (node instanceof Node.Comprehension loop) {
            return Loops.compile(loop.macro(), loop.slot(), compile(loop.list()), compile(loop.body()));
        }
        Node.SharedExpression other = (Node.SharedExpression) node;
        Code body = shared.get(other.slot());
        if (body == null) {
            body = compile(other.body());
            shared.put(other.slot(), body);
        }
        return shared(other.slot(), body);
    }

    private Code[] compile(List<Node> nodes) {
        return nodes.stream().map(this::compile).toArray(Code[]::new);
    }

    /** A part in one method. */
    interface Ref {
        Object of(Frame frame);
    }

    static Code ref(Ref body) {
        return new Code() {
            @Override
            Object ref(Frame frame) {
                return body.of(frame);
            }
        };
    }

    interface Test {
        int of(Frame frame);
    }

    static Code test(Test body) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                return body.of(frame);
            }
        };
    }

    interface Count {
        long of(Frame frame);
    }

    static Code number(Count body) {
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
            int answer = bool ? 1 : 0;
            return test(frame -> answer);
        }
        if (value instanceof Long count) {
            long answer = count;
            return number(frame -> answer);
        }
        return ref(frame -> value);
    }

    private static Code attribute(Node.Attribute attribute) {
        int index = attribute.index();
        if (attribute.type().isLong()) {
            return number(frame -> {
                if (frame.value(index) instanceof ErrorKind error) {
                    frame.error(error);
                    return 0;
                }
                return frame.number(index);
            });
        }
        return ref(frame -> {
            Object value = frame.value(index);
            if (value instanceof ErrorKind error) {
                frame.error(error);
                return null;
            }
            return value;
        });
    }

    /** An error counts only where no other part decides. */
    private static Code logic(boolean all, Code[] parts) {
        int decisive = all ? 0 : 1;
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

    private static Code choice(Node.Conditional node, Code condition, Code yes, Code no) {
        if (node.type() == Type.BOOL) {
            return test(frame -> {
                int value = condition.bool(frame);
                return value == Code.ERROR ? value : value == 1 ? yes.bool(frame) : no.bool(frame);
            });
        }
        if (node.type().isLong()) {
            return number(frame -> {
                int value = condition.bool(frame);
                return value == Code.ERROR ? 0 : value == 1 ? yes.number(frame) : no.number(frame);
            });
        }
        return ref(frame -> {
            int value = condition.bool(frame);
            return value == Code.ERROR ? null : value == 1 ? yes.ref(frame) : no.ref(frame);
        });
    }

    private static Code shared(int slot, Code body) {
        return ref(frame -> {
            if (!frame.hasShared(slot)) {
                Object value = body.ref(frame);
                frame.share(slot, value == null ? frame.error() : value);
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
        return ref(frame -> {
            List<Object> values = new ArrayList<>(elements.length);
            for (Code element : elements) {
                Object value = element.ref(frame);
                if (value == null) {
                    return null;
                }
                values.add(value);
            }
            return values;
        });
    }

    private static Code map(List<String> keys, Code[] values) {
        return ref(frame -> {
            Map<String, Object> map = new LinkedHashMap<>();
            for (int i = 0; i < values.length; i++) {
                Object value = values[i].ref(frame);
                if (value == null) {
                    return null;
                }
                map.put(keys.get(i), value);
            }
            return map;
        });
    }

    private static Code general(Function.Implementation body, Code[] parts) {
        return ref(frame -> {
            Object[] arguments = new Object[parts.length];
            for (int i = 0; i < parts.length; i++) {
                arguments[i] = parts[i].ref(frame);
                if (arguments[i] == null) {
                    return null;
                }
            }
            Object result = body.of(arguments);
            if (result instanceof ErrorKind error) {
                frame.error(error);
                return null;
            }
            return result;
        });
    }

    // ---- Parts of their own

    private Code special(Node.Call call) {
        List<Node> nodes = call.arguments();
        Node first = nodes.get(0);
        Node second = nodes.size() > 1 ? nodes.get(1) : null;
        return switch (call.function().name()) {
            case "!" -> not(compile(first));
            case "==", "!=" -> equality(call.function().name().equals("=="), first, second);
            case "<", "<=", ">", ">=" -> first.type().isLong()
                ? order(call.function().name(), compile(first), compile(second)) : null;
            case "+", "-", "*" -> second != null && call.type().isLong()
                ? exact(call.function().name(), compile(first), compile(second)) : null;
            case "in" -> membership(first, second);
            case "[]" -> first.type().kind() == Kind.MAP ? lookUp(compile(first), compile(second)) : null;
            case "orValue" -> orValue(first, second);
            case "startsWith", "endsWith", "contains" -> text(call.function().name(), Operand.of(first, this),
                Operand.of(second, this));
            case "matches" -> matches(Operand.of(first, this), (Pattern) ((Node.Constant) second).value());
            case "size" -> size(Operand.of(first, this));
            case "hash" -> hash(Operand.of(first, this));
            case "bucket" -> bucket(Operand.of(first, this), compile(second));
            default -> null;
        };
    }

    private static Code not(Code part) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                int value = part.bool(frame);
                return value == ERROR ? value : 1 - value;
            }
        };
    }

    private Code equality(boolean same, Node first, Node second) {
        int yes = same ? 1 : 0;
        if (first.type() == Type.STRING || first.type() == Type.BYTES) {
            return plainEquality(yes, Operand.of(first, this), Operand.of(second, this));
        }
        Code a = compile(first);
        Code b = compile(second);
        if (first.type().isLong()) {
            return test(frame -> {
                long x = a.number(frame);
                if (frame.error() != null) {
                    return Code.ERROR;
                }
                long y = b.number(frame);
                return frame.error() != null ? Code.ERROR : x == y ? yes : 1 - yes;
            });
        }
        if (first.type() == Type.BOOL) {
            return test(frame -> {
                int x = a.bool(frame);
                if (x == Code.ERROR) {
                    return x;
                }
                int y = b.bool(frame);
                return y == Code.ERROR ? y : x == y ? yes : 1 - yes;
            });
        }
        return test(frame -> {
            Object x = a.ref(frame);
            if (x == null) {
                return Code.ERROR;
            }
            Object y = b.ref(frame);
            return y == null ? Code.ERROR : Values.equal(x, y) ? yes : 1 - yes;
        });
    }

    private static Code plainEquality(int yes, Operand a, Operand b) {
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                Object x = a.ref(frame);
                if (x == null) {
                    return ERROR;
                }
                Object y = b.ref(frame);
                return y == null ? ERROR : x.equals(y) ? yes : 1 - yes;
            }
        };
    }

    private static Code order(String name, Code a, Code b) {
        boolean less = name.startsWith("<");
        int equal = name.length() == 2 ? 1 : 0;
        return test(frame -> {
            long x = a.number(frame);
            if (frame.error() != null) {
                return Code.ERROR;
            }
            long y = b.number(frame);
            return frame.error() != null ? Code.ERROR : x == y ? equal : x < y == less ? 1 : 0;
        });
    }

    private static Code exact(String name, Code a, Code b) {
        char sign = name.charAt(0);
        return number(frame -> {
            long x = a.number(frame);
            if (frame.error() != null) {
                return 0;
            }
            long y = b.number(frame);
            if (frame.error() != null) {
                return 0;
            }
            long result = sign == '+' ? x + y : sign == '-' ? x - y : x * y;
            boolean over = switch (sign) {
                case '+' -> ((x ^ result) & (y ^ result)) < 0;
                case '-' -> ((x ^ y) & (x ^ result)) < 0;
                default -> Math.multiplyHigh(x, y) != result >> 63;
            };
            if (over) {
                frame.error(ErrorKind.OVERFLOW);
            }
            return result;
        });
    }

    private Code membership(Node first, Node second) {
        Operand a = Operand.of(first, this);
        if (second.type().kind() == Kind.MAP) {
            Operand map = Operand.of(second, this);
            return test(frame -> {
                Object key = a.ref(frame);
                if (key == null) {
                    return Code.ERROR;
                }
                Object held = map.ref(frame);
                return held == null ? Code.ERROR : ((Map<?, ?>) held).containsKey(key) ? 1 : 0;
            });
        }
        boolean plain = first.type() == Type.STRING || first.type() == Type.BYTES || first.type().isLong();
        if (!plain || !(second instanceof Node.Constant constant)) {
            return null;
        }
        Set<Object> set = new HashSet<>((List<?>) constant.value());
        return new Code.Bool() {
            @Override
            int bool(Frame frame) {
                Object value = a.ref(frame);
                return value == null ? ERROR : set.contains(value) ? 1 : 0;
            }
        };
    }

    private static Code lookUp(Code map, Code key) {
        return ref(frame -> {
            Object held = map.ref(frame);
            if (held == null) {
                return null;
            }
            Object name = key.ref(frame);
            if (name == null) {
                return null;
            }
            Object value = ((Map<?, ?>) held).get(name);
            if (value == null) {
                frame.error(ErrorKind.NO_SUCH_KEY);
            }
            return value;
        });
    }

    /** What a map may lack needs no optional where a default stands right behind. */
    private Code orValue(Node optional, Node otherwise) {
        boolean looked = optional instanceof Node.Call call && call.function().name().equals("[?]")
            && call.arguments().get(0).type().kind() == Kind.MAP;
        if (!looked) {
            return null;
        }
        Code map = compile(((Node.Call) optional).arguments().get(0));
        Code key = compile(((Node.Call) optional).arguments().get(1));
        Code other = compile(otherwise);
        return ref(frame -> {
            Object held = map.ref(frame);
            if (held == null) {
                return null;
            }
            Object name = key.ref(frame);
            if (name == null) {
                return null;
            }
            Object fallback = other.ref(frame);
            if (fallback == null) {
                return null;
            }
            Object value = ((Map<?, ?>) held).get(name);
            return value == null ? fallback : value;
        });
    }

    private static Code text(String name, Operand a, Operand b) {
        return switch (name) {
            case "startsWith" -> new Text(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.startsWith(other);
                }
            };
            case "endsWith" -> new Text(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.endsWith(other);
                }
            };
            default -> new Text(a, b) {
                @Override
                boolean holds(String text, String other) {
                    return text.contains(other);
                }
            };
        };
    }

    /** A question about two strings. */
    private abstract static class Text extends Code.Bool {
        private final Operand a;
        private final Operand b;

        private Text(Operand a, Operand b) {
            this.a = a;
            this.b = b;
        }

        abstract boolean holds(String text, String other);

        @Override
        final int bool(Frame frame) {
            Object text = a.ref(frame);
            if (text == null) {
                return ERROR;
            }
            Object other = b.ref(frame);
            return other == null ? ERROR : holds((String) text, (String) other) ? 1 : 0;
        }
    }

    private static Code matches(Operand text, Pattern pattern) {
        return test(frame -> {
            String value = (String) text.ref(frame);
            return value == null ? Code.ERROR : pattern.matcher(value).find() ? 1 : 0;
        });
    }

    private static Code size(Operand held) {
        return number(frame -> {
            Object value = held.ref(frame);
            return value == null ? 0 : value instanceof String text ? text.length()
                : value instanceof List<?> list ? list.size() : value instanceof Map<?, ?> map ? map.size()
                : ((Bytes) value).size();
        });
    }

    private static Code hash(Operand key) {
        return number(frame -> {
            Object value = key.ref(frame);
            return value == null ? 0 : Texts.hash(value);
        });
    }

    private static Code bucket(Operand key, Code buckets) {
        return number(frame -> {
            Object value = key.ref(frame);
            if (value == null) {
                return 0;
            }
            long count = buckets.number(frame);
            if (frame.error() == null && count < 1) {
                frame.error(ErrorKind.OUT_OF_RANGE);
            }
            return frame.error() != null ? 0 : Long.remainderUnsigned(Texts.hash(value), count);
        });
    }
}
