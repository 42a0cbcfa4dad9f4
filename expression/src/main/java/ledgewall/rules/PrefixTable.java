package ledgewall.rules;

import java.util.Map;

/** Finds all of some prefixes that a text begins with, in one walk over it and without a new object. */
final class PrefixTable {
    private final int[] lengths;
    /** Open addressing, at most half full: a prefix's list stands at its hash or behind it. */
    private final String[] keys;
    private final int[][] lists;

    PrefixTable(Map<String, int[]> prefixes) {
        lengths = prefixes.keySet().stream().mapToInt(String::length).distinct().sorted().toArray();
        int size = Integer.highestOneBit(Math.max(1, prefixes.size())) * 4;
        keys = new String[size];
        lists = new int[size][];
        prefixes.forEach((prefix, list) -> {
            int place = place(prefix.hashCode());
            while (keys[place] != null) {
                place = (place + 1) & (keys.length - 1);
            }
            keys[place] = prefix;
            lists[place] = list;
        });
    }

    private int place(int hash) {
        return (hash ^ hash >>> 15) & (keys.length - 1);
    }

    void gather(String text, RuleIndex.Scratch into) {
        int hash = 0;
        int at = 0;
        for (int length : lengths) {
            if (length > text.length()) {
                return;
            }
            for (; at < length; at++) {
                hash = 31 * hash + text.charAt(at); // as String.hashCode has it
            }
            for (int place = place(hash); keys[place] != null; place = (place + 1) & (keys.length - 1)) {
                if (keys[place].length() == length && text.startsWith(keys[place])) {
                    into.add(lists[place]);
                    break;
                }
            }
        }
    }
}
