package ledgewall.net;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns indexes to names: first to those in the settings, then to others in the order in which they appear. */
final class NameInterner {
    /** Names beyond this number share the last index, so that a sender of made-up names can't exhaust memory. */
    private static final int MAX_NAMES = 4096;

    private final Map<String, Integer> indexes = new HashMap<>();

    NameInterner(List<String> configuredNames) {
        configuredNames.forEach(this::indexOf);
    }

    int indexOf(String name) {
        Integer index = indexes.get(name);
        if (index != null || indexes.size() >= MAX_NAMES) {
            return index != null ? index : MAX_NAMES;
        }
        indexes.put(name, indexes.size());
        return indexes.size() - 1;
    }
}
