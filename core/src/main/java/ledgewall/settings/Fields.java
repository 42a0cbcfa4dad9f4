package ledgewall.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with checked access: null counts as absent, and the error for a missing or wrongly typed value names it.
 *
 * @param location the place of the object in its input, for error messages
 */
public record Fields(String location, Map<String, Object> values) {

    /** Reads the object whose start is the current token of the parser. */
    public static Fields read(JsonParser parser, String location) throws IOException {
        return new Fields(location, readObject(parser));
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, readValue(parser));
        }
        return object;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    public Fields object(String name) {
        return new Fields(location + ", " + name, asMap(name, values.get(name)));
    }

    /** The objects of an array; none if the array is absent. */
    public List<Fields> objects(String name) {
        Object value = values.get(name);
        if (value == null) {
            return List.of();
        }
        List<Fields> objects = new ArrayList<>();
        for (Object element : array(name, value)) {
            objects.add(new Fields(location + ", " + name + "[" + objects.size() + "]", asMap(name, element)));
        }
        return objects;
    }

    /** The numbers or strings of an array; none if the array is absent. */
    public List<?> elements(String name) {
        Object value = values.get(name);
        return value == null ? List.of() : array(name, value);
    }

    public boolean has(String name) {
        return values.get(name) != null;
    }

    public String text(String name) {
        return required(name, text(name, null));
    }

    public String text(String name, String defaultValue) {
        return typed(name, String.class, defaultValue);
    }

    public long integer(String name) {
        return required(name, typed(name, Number.class, null)).longValue();
    }

    public long integer(String name, long defaultValue) {
        return typed(name, Number.class, defaultValue).longValue();
    }

    public double decimal(String name, double defaultValue) {
        return typed(name, Number.class, defaultValue).doubleValue();
    }

    public boolean flag(String name, boolean defaultValue) {
        return typed(name, Boolean.class, defaultValue);
    }

    private <T> T required(String name, T value) {
        if (value == null) {
            throw new FormatException(location + ": lacks '" + name + "'");
        }
        return value;
    }

    private <T> T typed(String name, Class<T> type, T defaultValue) {
        Object value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!type.isInstance(value)) {
            throw new FormatException(location + ": '" + name + "' is no " + type.getSimpleName().toLowerCase());
        }
        return type.cast(value);
    }

    private List<?> array(String name, Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new FormatException(location + ": '" + name + "' is no array");
    }

    @SuppressWarnings("unchecked") // readObject is the only source of maps
    private Map<String, Object> asMap(String name, Object value) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new FormatException(location + ": '" + name + "' is no object");
    }
}
