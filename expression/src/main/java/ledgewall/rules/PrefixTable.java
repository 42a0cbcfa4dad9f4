package ledgewall.rules;

import java.util.Map;

/** Maps prefixes to rules. Finds every prefix of a text in a single pass over it, without allocation. */
final class PrefixTable {
    private final int[] prefixLengths;
    /** Open-addressing hash table with linear probing and a load factor of at most one half. */
    private final String[] keys;
    private final int[][] rulesByPrefix;

    PrefixTable(Map<String, int[]> prefixes) {
        prefixLengths = prefixes.keySet().stream().mapToInt(String::length).distinct().sorted().toArray();
        int capacity = Integer.highestOneBit(Math.max(1, prefixes.size())) * 4;
        keys = new String[capacity];
        rulesByPrefix = new int[capacity][];
        prefixes.forEach((prefix, rules) -> {
            int slot = slot(prefix.hashCode());
            while (keys[slot] != null) {
                slot = (slot + 1) & (keys.length - 1);
            }
            keys[slot] = prefix;
            rulesByPrefix[slot] = rules;
        });
    }

    private int slot(int hash) {
        return (hash ^ hash >>> 15) & (keys.length - 1);
    }

    /** Adds the rules of each prefix that the text starts with. */
    void addMatches(String text, RuleIndex.Scratch scratch) {
        int hash = 0;
        int hashedLength = 0;
        for (int length : prefixLengths) {
            if (length > text.length()) {
                return;
            }
            for (; hashedLength < length; hashedLength++) {
                hash = 31 * hash + text.charAt(hashedLength); // same hash as String.hashCode
            }
            for (int slot = slot(hash); keys[slot] != null; slot = (slot + 1) & (keys.length - 1)) {
                if (keys[slot].length() == length && text.startsWith(keys[slot])) {
                    scratch.add(rulesByPrefix[slot]);
                    break;
                }
            }
        }
    }
}
