package ledgewall.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Bytes;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Schema;
import ledgewall.expression.Type;

/** Parses attribute values from text, such as command line arguments. Lists are written a,b,c and maps k=v,k=v. */
final class AttributeText {
    private AttributeText() {
    }

    static void setAttribute(Schema schema, Frame frame, String name, String text) throws SettingsException {
        Schema.Attribute attribute = schema.attribute(name);
        if (attribute == null) {
            throw new SettingsException("no attribute '" + name + "'; there are " + String.join(", ", schema.attributeNames()));
        }
        frame.set(attribute, parseValue(name, attribute.type(), text));
    }

    private static Object parseValue(String name, Type type, String text) throws SettingsException {
        return switch (type.kind()) {
            case STRING -> text;
            case BYTES -> Bytes.of(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            case LIST -> {
                List<Object> elements = new ArrayList<>();
                for (String item : text.isEmpty() ? new String[0] : text.split(",", -1)) {
                    elements.add(parseValue(name, type.element(), item));
                }
                yield elements;
            }
            case MAP -> {
                Map<String, Object> entries = new LinkedHashMap<>();
                for (String item : text.isEmpty() ? new String[0] : text.split(",", -1)) {
                    int separator = item.indexOf('=');
                    if (separator < 0) {
                        throw new SettingsException("'" + name + "' is to be k=v,k=v");
                    }
                    entries.put(item.substring(0, separator), parseValue(name, type.element(), item.substring(separator + 1)));
                }
                yield entries;
            }
            case OPTIONAL -> text.isEmpty() ? Optional.empty() : Optional.of(parseValue(name, type.element(), text));
            default -> parseConstant(name, type, text);
        };
    }

    /** Parses a constant by evaluating the expression language's conversion function for its type. */
    static Object parseConstant(String name, Type type, String text) throws SettingsException {
        String quoted = "'" + text.replace("\\", "\\\\").replace("'", "\\'") + "'";
        String source = switch (type.kind()) {
            case BOOL -> quoted + " == 'true'";
            case INT -> "int(" + quoted + ")";
            case DOUBLE -> "double(" + quoted + ")";
            case DURATION -> "duration(" + quoted + ")";
            default -> "timestamp(" + quoted + ")";
        };
        try {
            Schema emptySchema = new Schema();
            Object value = new ExpressionEnvironment(emptySchema, Limits.DEFAULT).compile(source)
                .evaluate(new Frame(emptySchema));
            if (!(value instanceof ErrorKind)) {
                return value;
            }
        } catch (ExpressionException e) {
            // the text can't be parsed as this type; reported below
        }
        throw new SettingsException("'" + name + "' is to be " + type + ", this is '" + text + "'");
    }
}
