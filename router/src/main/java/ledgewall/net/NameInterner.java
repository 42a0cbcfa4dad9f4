package ledgewall.net;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Indexes of names: those that the settings list, then the others in the order in which they were met. */
final class NameInterner {
    /** Names beyond this many share the last index: whoever makes them up gets no memory for it. */
    private static final int MOST = 4096;

    private final Map<String, Integer> indexes = new HashMap<>();

    NameInterner(List<String> listed) {
        listed.forEach(this::index);
    }

    int index(String name) {
        Integer known = indexes.get(name);
        if (known != null || indexes.size() >= MOST) {
            return known != null ? known : MOST;
        }
        indexes.put(name, indexes.size());
        return indexes.size() - 1;
    }
}
