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

/**
 * Reads the attributes of a request from a JSON object. Timestamps and durations are strings in the format of the
 * expression language.
 */
final class AttributeJson {
    private AttributeJson() {
    }

    /**
     * Sets the attributes of a frame.
     *
     * @param location where the JSON comes from, for error messages
     */
    static void setAttributes(Schema schema, Frame frame, String location, String json) throws SettingsException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new SettingsException(location + ": not a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                Schema.Attribute attribute = schema.attribute(name);
                if (attribute == null) {
                    throw new SettingsException(location + ": no attribute '" + name + "'; there are "
                        + String.join(", ", schema.attributeNames()));
                }
                parser.nextToken();
                frame.set(attribute, parseValue(location + ": " + name, attribute.type(), parser));
            }
            if (parser.nextToken() != null) {
                throw new SettingsException(location + ": unexpected content after the JSON object");
            }
        } catch (IOException e) {
            throw new SettingsException(location + ": invalid JSON: " + e.getMessage().split("\n")[0]);
        }
    }

    private static Object parseValue(String name, Type type, JsonParser parser) throws IOException, SettingsException {
        JsonToken token = parser.currentToken();
        switch (type.kind()) {
            case BOOL -> require(token.isBoolean(), name, type);
            case INT -> require(token == JsonToken.VALUE_NUMBER_INT, name, type);
            case DOUBLE -> require(token.isNumeric(), name, type);
            case LIST -> require(token == JsonToken.START_ARRAY, name, type);
            case MAP -> require(token == JsonToken.START_OBJECT, name, type);
            case OPTIONAL -> { }
            default -> require(token == JsonToken.VALUE_STRING, name, type);
        }
        return switch (type.kind()) {
            case BOOL -> parser.getBooleanValue();
            case INT -> parser.getLongValue();
            case DOUBLE -> parser.getDoubleValue();
            case STRING -> parser.getText();
            case BYTES -> Bytes.of(parser.getBinaryValue());
            case DURATION, TIMESTAMP -> AttributeText.parseConstant(name, type, parser.getText());
            case LIST -> {
                List<Object> elements = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    elements.add(parseValue(name, type.element(), parser));
                }
                yield elements;
            }
            case MAP -> {
                Map<String, Object> entries = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String key = parser.currentName();
                    parser.nextToken();
                    entries.put(key, parseValue(name + "." + key, type.element(), parser));
                }
                yield entries;
            }
            case OPTIONAL -> token == JsonToken.VALUE_NULL ? Optional.empty()
                : Optional.of(parseValue(name, type.element(), parser));
        };
    }

    private static void require(boolean condition, String name, Type type) throws SettingsException {
        if (!condition) {
            throw new SettingsException(name + " is to be " + type);
        }
    }
}
