package ledgewall.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One JSON object with checked access: absent and null read alike, a missing or ill-typed value is named. */
public record Fields(String where, Map<String, Object> values) {

    /** Reads the object at which the parser stands. */
    public static Fields read(JsonParser parser, String where) throws IOException {
        return new Fields(where, readObject(parser));
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
        return new Fields(where + ", " + name, asMap(name, values.get(name)));
    }

    /** The objects of an array; none where the array is absent. */
    public List<Fields> objects(String name) {
        Object value = values.get(name);
        if (value == null) {
            return List.of();
        }
        List<Fields> objects = new ArrayList<>();
        for (Object element : array(name, value)) {
            objects.add(new Fields(where + ", " + name + "[" + objects.size() + "]", asMap(name, element)));
        }
        return objects;
    }

    /** The numbers or strings of an array; none where the array is absent. */
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

    public String text(String name, String otherwise) {
        return typed(name, String.class, otherwise);
    }

    public long integer(String name) {
        return required(name, typed(name, Number.class, null)).longValue();
    }

    public long integer(String name, long otherwise) {
        return typed(name, Number.class, otherwise).longValue();
    }

    public double decimal(String name, double otherwise) {
        return typed(name, Number.class, otherwise).doubleValue();
    }

    public boolean flag(String name, boolean otherwise) {
        return typed(name, Boolean.class, otherwise);
    }

    private <T> T required(String name, T value) {
        if (value == null) {
            throw new FormatException(where + ": lacks '" + name + "'");
        }
        return value;
    }

    private <T> T typed(String name, Class<T> type, T otherwise) {
        Object value = values.get(name);
        if (value == null) {
            return otherwise;
        }
        if (!type.isInstance(value)) {
            throw new FormatException(where + ": '" + name + "' is no " + type.getSimpleName().toLowerCase());
        }
        return type.cast(value);
    }

    private List<?> array(String name, Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new FormatException(where + ": '" + name + "' is no array");
    }

    @SuppressWarnings("unchecked") // objects are only ever read as maps from names
    private Map<String, Object> asMap(String name, Object value) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new FormatException(where + ": '" + name + "' is no object");
    }
}
