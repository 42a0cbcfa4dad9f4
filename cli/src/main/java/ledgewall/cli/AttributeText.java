package ledgewall.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Bytes;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Schema;
import ledgewall.expression.Type;

/** Attributes as people write them: lists a,b,c and maps k=v,k=v. */
final class AttributeText {
    private AttributeText() {
    }

    static void set(Schema schema, Frame frame, String name, String text) throws SettingsException {
        Schema.Attribute attribute = schema.attribute(name);
        if (attribute == null) {
            throw new SettingsException("no attribute '" + name + "'; there are " + String.join(", ", schema.attributeNames()));
        }
        frame.set(attribute, value(name, attribute.type(), text));
    }

    private static Object value(String name, Type type, String text) throws SettingsException {
        return switch (type.kind()) {
            case STRING -> text;
            case BYTES -> Bytes.of(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            case LIST -> {
                List<Object> list = new ArrayList<>();
                for (String part : text.isEmpty() ? new String[0] : text.split(",", -1)) {
                    list.add(value(name, type.element(), part));
                }
                yield list;
            }
            case MAP -> {
                Map<String, Object> map = new LinkedHashMap<>();
                for (String part : text.isEmpty() ? new String[0] : text.split(",", -1)) {
                    int equals = part.indexOf('=');
                    if (equals < 0) {
                        throw new SettingsException("'" + name + "' is to be k=v,k=v");
                    }
                    map.put(part.substring(0, equals), value(name, type.element(), part.substring(equals + 1)));
                }
                yield map;
            }
            case OPTIONAL -> text.isEmpty() ? Optional.empty() : Optional.of(value(name, type.element(), text));
            default -> read(name, type, text);
        };
    }

    /** Read as the language reads such constants. */
    static Object read(String name, Type type, String text) throws SettingsException {
        String quoted = "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'";
        String source = switch (type.kind()) {
            case BOOL -> quoted + " == 'true'";
            case INT -> "int(" + quoted + ")";
            case DOUBLE -> "double(" + quoted + ")";
            case DURATION -> "duration(" + quoted + ")";
            default -> "timestamp(" + quoted + ")";
        };
        try {
            Schema none = new Schema();
            Object value = new ExpressionEnvironment(none, Limits.DEFAULT).compile(source).evaluate(new Frame(none));
            if (!(value instanceof ErrorKind)) {
                return value;
            }
        } catch (ExpressionException e) {
            // told below: what cannot be read is no constant
        }
        throw new SettingsException("'" + name + "' is to be " + type + ", this is '" + text + "'");
    }
}
