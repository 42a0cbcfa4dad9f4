package ledgewall.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Bytes;
import ledgewall.expression.Frame;
import ledgewall.expression.Schema;
import ledgewall.expression.Type;

/** A request as one JSON object: attributes by their names, times and durations as the language writes them. */
final class AttributeJson {
    private AttributeJson() {
    }

    static void set(Schema schema, Frame frame, String where, String json) throws SettingsException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new SettingsException(where + ": no JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                Schema.Attribute attribute = schema.attribute(name);
                if (attribute == null) {
                    throw new SettingsException(where + ": no attribute '" + name + "'; there are "
                        + String.join(", ", schema.attributeNames()));
                }
                parser.nextToken();
                frame.set(attribute, value(where + ": " + name, attribute.type(), parser));
            }
            if (parser.nextToken() != null) {
                throw new SettingsException(where + ": more than one value");
            }
        } catch (IOException e) {
            throw new SettingsException(where + ": no JSON: " + e.getMessage().split("\n")[0]);
        }
    }

    private static Object value(String name, Type type, JsonParser parser) throws IOException, SettingsException {
        JsonToken token = parser.currentToken();
        switch (type.kind()) {
            case BOOL -> expect(token.isBoolean(), name, type);
            case INT -> expect(token == JsonToken.VALUE_NUMBER_INT, name, type);
            case DOUBLE -> expect(token.isNumeric(), name, type);
            case LIST -> expect(token == JsonToken.START_ARRAY, name, type);
            case MAP -> expect(token == JsonToken.START_OBJECT, name, type);
            case OPTIONAL -> { }
            default -> expect(token == JsonToken.VALUE_STRING, name, type);
        }
        return switch (type.kind()) {
            case BOOL -> parser.getBooleanValue();
            case INT -> parser.getLongValue();
            case DOUBLE -> parser.getDoubleValue();
            case STRING -> parser.getText();
            case BYTES -> Bytes.of(parser.getBinaryValue());
            case DURATION, TIMESTAMP -> AttributeText.read(name, type, parser.getText());
            case LIST -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(name, type.element(), parser));
                }
                yield list;
            }
            case MAP -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String key = parser.currentName();
                    parser.nextToken();
                    map.put(key, value(name + "." + key, type.element(), parser));
                }
                yield map;
            }
            case OPTIONAL -> token == JsonToken.VALUE_NULL ? Optional.empty() : Optional.of(value(name, type.element(), parser));
        };
    }

    private static void expect(boolean holds, String name, Type type) throws SettingsException {
        if (!holds) {
            throw new SettingsException(name + " is to be " + type);
        }
    }
}
