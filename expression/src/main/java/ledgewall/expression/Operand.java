package ledgewall.expression;

import java.util.Map;

/**
 * What a compiled part works on. Most are an attribute, an entry of one or a constant: those are read here, without a call
 * that the machine could not see through.
 */
final class Operand {
    private final int attribute;
    private final String key;
    private final Object constant;
    private final Code code;

    private Operand(int attribute, String key, Object constant, Code code) {
        this.attribute = attribute;
        this.key = key;
        this.constant = constant;
        this.code = code;
    }

    static Operand of(Node node, Compiler compiler) {
        if (node instanceof Node.Constant held) {
            return new Operand(-1, null, held.value(), null);
        }
        if (node instanceof Node.Attribute attribute) {
            return new Operand(attribute.index(), null, null, null);
        }
        if (node instanceof Node.Call call && call.function().name().equals("[]")
                && call.arguments().get(0) instanceof Node.Attribute map && map.type().kind() == Type.Kind.MAP
                && call.arguments().get(1) instanceof Node.Constant key) {
            return new Operand(map.index(), (String) key.value(), null, null);
        }
        return new Operand(-1, null, null, compiler.compile(node));
    }

    /** Its value; null for an error, which stands in the frame. */
    Object ref(Frame frame) {
        if (attribute < 0) {
            return code == null ? constant : code.ref(frame);
        }
        Object value = frame.value(attribute);
        if (value instanceof ErrorKind error) {
            frame.error(error);
            return null;
        }
        if (key == null) {
            return value;
        }
        Object entry = ((Map<?, ?>) value).get(key);
        if (entry == null) {
            frame.error(ErrorKind.NO_SUCH_KEY);
        }
        return entry;
    }
}
