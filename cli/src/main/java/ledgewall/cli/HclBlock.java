package ledgewall.cli;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A block of an HCL settings file. Settings are read by name and type; {@link #allowOnly} rejects unknown names, so that a
 * mistyped name is an error instead of a silent use of the default.
 */
final class HclBlock {
    /** Maximum length of a file in characters. The whole file is held in memory. */
    private static final int MAX_CHARS = 16 * 1024 * 1024;

    private final String location;
    private final Map<String, Object> settings;

    /** Creates a block; error messages begin with its location, the file name and the labels of the enclosing blocks. */
    private HclBlock(String location, Map<String, Object> settings) {
        this.location = location;
        this.settings = settings;
    }

    static HclBlock parse(String name, String text) throws SettingsException {
        if (text.length() > MAX_CHARS) {
            throw new SettingsException(name + ": " + text.length() + " characters, " + MAX_CHARS + " at most");
        }
        try {
            return new HclBlock(name, new LinkedHashMap<>(new HCLParser().parse(text)));
        } catch (HCLParserException | IOException e) {
            throw new SettingsException(name + ": invalid HCL: " + e.getMessage());
        } catch (RuntimeException | StackOverflowError e) {
            throw new SettingsException(name + ": invalid HCL"); // the parser fails with unchecked errors on some input
        }
    }

    String location() {
        return location;
    }

    SettingsException error(String message) {
        return new SettingsException(location + ": " + message);
    }

    /** The names of the settings in this block. */
    Set<String> settingNames() {
        return settings.keySet();
    }

    /** Rejects the block if it has a setting with another name than these. */
    void allowOnly(Set<String> allowedNames) throws SettingsException {
        for (String name : settings.keySet()) {
            if (!allowedNames.contains(name)) {
                throw error("unknown setting '" + name + "'; there are "
                    + String.join(", ", allowedNames.stream().sorted().toList()));
            }
        }
    }

    boolean has(String name) {
        return settings.get(name) != null;
    }

    String string(String name) throws SettingsException {
        return required(name, String.class, "a string in quotes");
    }

    String string(String name, String defaultValue) throws SettingsException {
        return settings.containsKey(name) ? string(name) : defaultValue;
    }

    double number(String name, double defaultValue) throws SettingsException {
        return settings.containsKey(name) ? required(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    int integer(String name, int defaultValue) throws SettingsException {
        double value = number(name, defaultValue);
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw error("'" + name + "' is to be a whole number, this is " + value);
        }
        return (int) value;
    }

    boolean bool(String name, boolean defaultValue) throws SettingsException {
        return settings.containsKey(name) ? required(name, Boolean.class, "true or false") : defaultValue;
    }

    private <T> T required(String name, Class<T> type, String expected) throws SettingsException {
        Object value = settings.get(name);
        if (!type.isInstance(value)) {
            throw error(value == null ? "lacks '" + name + "', " + expected : "'" + name + "' is to be " + expected);
        }
        return type.cast(value);
    }

    /** The nested block of this name, or an empty block if there is none. */
    HclBlock block(String name) throws SettingsException {
        Object value = settings.get(name);
        return value == null && !settings.containsKey(name) ? new HclBlock(location + ", " + name, Map.of())
            : new HclBlock(location + ", " + name, asMap(value, name));
    }

    /** The nested blocks of a type by label, in file order. */
    Map<String, HclBlock> labelledBlocks(String type) throws SettingsException {
        Map<String, HclBlock> blocks = new LinkedHashMap<>();
        if (settings.containsKey(type)) {
            for (Map.Entry<String, Object> entry : asMap(settings.get(type), type).entrySet()) {
                if (entry.getValue() instanceof List<?>) {
                    throw error("two blocks are " + type + " \"" + entry.getKey() + "\"");
                }
                String label = type + " \"" + entry.getKey() + "\"";
                if (!(entry.getValue() instanceof Map)) {
                    throw error(type + " blocks need a name, as in " + type + " \"name\" { }");
                }
                blocks.put(entry.getKey(), new HclBlock(location + ", " + label, asMap(entry.getValue(), label)));
            }
        }
        return blocks;
    }

    /** All settings of this block, which must be strings, by name. */
    Map<String, String> strings() throws SettingsException {
        Map<String, String> strings = new LinkedHashMap<>();
        for (String name : settings.keySet()) {
            strings.put(name, string(name));
        }
        return strings;
    }

    Object raw(String name) {
        return settings.get(name);
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> asMap(Object value, String name) throws SettingsException {
        if (!(value instanceof Map)) {
            throw error(value instanceof List ? "one block '" + name + "' at most, or each with a name of its own"
                : "'" + name + "' is to be a block");
        }
        return (Map<String, Object>) value;
    }
}
