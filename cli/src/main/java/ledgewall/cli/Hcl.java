package ledgewall.cli;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A block of a settings file, read strictly: each setting is asked for by its name and type, and what nobody asked for is
 * refused, so that a slip of the keyboard is no silent default.
 */
final class Hcl {
    /** Files are read whole; one that is larger is none of ours. */
    private static final int LARGEST = 16 * 1024 * 1024;

    private final String where;
    private final Map<String, Object> settings;

    private Hcl(String where, Map<String, Object> settings) {
        this.where = where;
        this.settings = settings;
    }

    static Hcl parse(String name, String text) throws SettingsException {
        if (text.length() > LARGEST) {
            throw new SettingsException(name + ": " + text.length() + " characters, " + LARGEST + " at most");
        }
        try {
            return new Hcl(name, new LinkedHashMap<>(new HCLParser().parse(text)));
        } catch (HCLParserException | IOException e) {
            throw new SettingsException(name + ": no HCL: " + e.getMessage());
        } catch (RuntimeException | StackOverflowError e) {
            throw new SettingsException(name + ": no HCL"); // what the parser did not expect
        }
    }

    String where() {
        return where;
    }

    SettingsException wrong(String what) {
        return new SettingsException(where + ": " + what);
    }

    /** The names that stand here. */
    Set<String> names() {
        return settings.keySet();
    }

    void allow(Set<String> names) throws SettingsException {
        for (String name : settings.keySet()) {
            if (!names.contains(name)) {
                throw wrong("unknown setting '" + name + "'; there are " + String.join(", ", names.stream().sorted().toList()));
            }
        }
    }

    boolean has(String name) {
        return settings.get(name) != null;
    }

    String text(String name) throws SettingsException {
        return get(name, String.class, "a string in quotes");
    }

    String text(String name, String otherwise) throws SettingsException {
        return settings.containsKey(name) ? text(name) : otherwise;
    }

    double number(String name, double otherwise) throws SettingsException {
        return settings.containsKey(name) ? get(name, Number.class, "a number").doubleValue() : otherwise;
    }

    int whole(String name, int otherwise) throws SettingsException {
        double value = number(name, otherwise);
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw wrong("'" + name + "' is to be a whole number, this is " + value);
        }
        return (int) value;
    }

    boolean flag(String name, boolean otherwise) throws SettingsException {
        return settings.containsKey(name) ? get(name, Boolean.class, "true or false") : otherwise;
    }

    private <T> T get(String name, Class<T> type, String wanted) throws SettingsException {
        Object value = settings.get(name);
        if (!type.isInstance(value)) {
            throw wrong(value == null ? "lacks '" + name + "', " + wanted : "'" + name + "' is to be " + wanted);
        }
        return type.cast(value);
    }

    /** The one block of a name, or an empty one. */
    Hcl block(String name) throws SettingsException {
        Object value = settings.get(name);
        return value == null && !settings.containsKey(name) ? new Hcl(where + ", " + name, Map.of())
            : new Hcl(where + ", " + name, map(value, name));
    }

    /** The blocks of a kind by their labels, in their order. */
    Map<String, Hcl> labelled(String kind) throws SettingsException {
        Map<String, Hcl> blocks = new LinkedHashMap<>();
        if (settings.containsKey(kind)) {
            for (Map.Entry<String, Object> one : map(settings.get(kind), kind).entrySet()) {
                if (one.getValue() instanceof List<?>) {
                    throw wrong("two blocks are " + kind + " \"" + one.getKey() + "\"");
                }
                String label = kind + " \"" + one.getKey() + "\"";
                if (!(one.getValue() instanceof Map)) {
                    throw wrong(kind + " blocks need a name, as in " + kind + " \"name\" { }");
                }
                blocks.put(one.getKey(), new Hcl(where + ", " + label, map(one.getValue(), label)));
            }
        }
        return blocks;
    }

    /** All settings here as strings by their names. */
    Map<String, String> texts() throws SettingsException {
        Map<String, String> all = new LinkedHashMap<>();
        for (String name : settings.keySet()) {
            all.put(name, text(name));
        }
        return all;
    }

    Object raw(String name) {
        return settings.get(name);
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> map(Object value, String name) throws SettingsException {
        if (!(value instanceof Map)) {
            throw wrong(value instanceof List ? "one block '" + name + "' at most, or each with a name of its own"
                : "'" + name + "' is to be a block");
        }
        return (Map<String, Object>) value;
    }
}
