package ledgewall.expression;

import java.util.Map;

/**
 * An operand of specialized code. Most operands are an attribute, an entry of a map attribute or a constant; these are read
 * here directly, without a virtual call that the JIT compiler could not inline.
 */
final class Operand {
    /** Index of the attribute to read, or -1 for a constant or other code. */
    private final int attributeIndex;
    /** Key of the entry to read, or null if the operand is the attribute itself. */
    private final String mapKey;
    private final Object constant;
    /** Code of any other operand, or null for a constant or an attribute. */
    private final Code code;

    private Operand(int attributeIndex, String mapKey, Object constant, Code code) {
        this.attributeIndex = attributeIndex;
        this.mapKey = mapKey;
        this.constant = constant;
        this.code = code;
    }

    static Operand of(Node node, Compiler compiler) {
        if (node instanceof Node.Constant constant) {
            return new Operand(-1, null, constant.value(), null);
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

    /** The value, or null if the evaluation failed; the error is then in the frame. */
    Object object(Frame frame) {
        if (attributeIndex < 0) {
            return code == null ? constant : code.object(frame);
        }
        Object value = frame.value(attributeIndex);
        if (value instanceof ErrorKind error) {
            frame.error(error);
            return null;
        }
        if (mapKey == null) {
            return value;
        }
        Object entry = ((Map<?, ?>) value).get(mapKey);
        if (entry == null) {
            frame.error(ErrorKind.NO_SUCH_KEY);
        }
        return entry;
    }
}
