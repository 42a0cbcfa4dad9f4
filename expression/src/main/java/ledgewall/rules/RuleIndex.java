package ledgewall.rules;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import ledgewall.expression.Frame;
import ledgewall.expression.Program;
import ledgewall.expression.Requirement;
import ledgewall.expression.Requirement.Subject;

/**
 * Which of many rules a request may match: those whose plain requirement it meets, and those without one, in their order.
 * Each rule stands under one requirement alone, the one that is met least often as far as can be told.
 */
final class RuleIndex {
    /** How a rule is found. */
    enum Way { EQUALITY, PREFIX, RANGE, SCAN }

    /** What stands under one subject. */
    private static final class Shelf {
        private final Map<Object, int[]> equal = new HashMap<>();
        private final Map<String, int[]> prefixes = new HashMap<>();
        private PrefixTable table = new PrefixTable(Map.of());
        private long[] starts = {};
        private int[][] spans = {};
    }

    private final Map<Subject, Shelf> shelves = new LinkedHashMap<>();
    private final Subject[] subjects;
    private final Shelf[] shelfOf;
    private final int[] always;
    private final Way[] ways;

    RuleIndex(List<Program> conditions) {
        ways = new Way[conditions.size()];
        Map<Subject, Map<Object, Integer>> popular = new HashMap<>();
        for (Program condition : conditions) {
            for (Requirement requirement : condition.requirements()) {
                if (requirement.values() != null) {
                    requirement.values().forEach(value -> popular.computeIfAbsent(requirement.subject(), s -> new HashMap<>())
                        .merge(value, 1, Integer::sum));
                }
            }
        }
        Map<Subject, List<Integer>> ranged = new LinkedHashMap<>();
        Requirement[] chosen = new Requirement[conditions.size()];
        List<Integer> unplaced = new ArrayList<>();
        for (int rule = 0; rule < ways.length; rule++) {
            chosen[rule] = best(conditions.get(rule).requirements(), popular);
            ways[rule] = place(rule, chosen[rule], ranged, unplaced);
        }
        ranged.forEach((subject, rules) -> spans(shelf(subject), rules, chosen));
        always = unplaced.stream().mapToInt(Integer::intValue).toArray();
        subjects = shelves.keySet().toArray(new Subject[0]);
        shelfOf = shelves.values().toArray(new Shelf[0]);
        for (Shelf shelf : shelfOf) {
            shelf.table = new PrefixTable(shelf.prefixes);
        }
    }

    private Shelf shelf(Subject subject) {
        return shelves.computeIfAbsent(subject, s -> new Shelf());
    }

    private static Requirement best(List<Requirement> all, Map<Subject, Map<Object, Integer>> popular) {
        Requirement best = null;
        double least = Double.MAX_VALUE;
        for (Requirement one : all) {
            double shared = one.values() != null
                ? one.values().stream().mapToInt(v -> popular.get(one.subject()).get(v)).max().orElse(0)
                : one.prefix() != null ? 1e6 - one.prefix().length() : one.max() - one.min() < 0 ? 4e6 : 2e6;
            if (shared < least) {
                least = shared;
                best = one;
            }
        }
        return best;
    }

    private Way place(int rule, Requirement one, Map<Subject, List<Integer>> ranged, List<Integer> unplaced) {
        if (one == null) {
            unplaced.add(rule);
            return Way.SCAN;
        }
        if (one.values() != null) {
            one.values().forEach(value -> shelf(one.subject()).equal.merge(value, new int[] {rule}, RuleIndex::joined));
            return Way.EQUALITY;
        }
        if (one.prefix() != null) {
            shelf(one.subject()).prefixes.merge(one.prefix(), new int[] {rule}, RuleIndex::joined);
            return Way.PREFIX;
        }
        ranged.computeIfAbsent(one.subject(), s -> new ArrayList<>()).add(rule);
        return Way.RANGE;
    }

    private static int[] joined(int[] some, int[] more) {
        int[] all = Arrays.copyOf(some, some.length + more.length);
        System.arraycopy(more, 0, all, some.length, more.length);
        return all;
    }

    /**
     * A tree over the places where ranges begin or end: each range stands at the few nodes that make it up, so that memory
     * grows with n log n, and a look-up reads one node a level.
     */
    private static void spans(Shelf shelf, List<Integer> rules, Requirement[] chosen) {
        TreeSet<Long> cuts = new TreeSet<>(List.of(Long.MIN_VALUE));
        for (int rule : rules) {
            cuts.add(chosen[rule].min());
            if (chosen[rule].max() < Long.MAX_VALUE) {
                cuts.add(chosen[rule].max() + 1);
            }
        }
        shelf.starts = cuts.stream().mapToLong(Long::longValue).toArray();
        int leaves = Integer.highestOneBit(Math.max(1, shelf.starts.length - 1)) * 2;
        shelf.spans = new int[2 * leaves][];
        for (int rule : rules) {
            int from = Arrays.binarySearch(shelf.starts, chosen[rule].min()) + leaves;
            int to = chosen[rule].max() == Long.MAX_VALUE ? shelf.starts.length + leaves
                : Arrays.binarySearch(shelf.starts, chosen[rule].max() + 1) + leaves;
            for (; from < to; from /= 2, to /= 2) {
                if (from % 2 == 1) {
                    put(shelf.spans, from++, rule);
                }
                if (to % 2 == 1) {
                    put(shelf.spans, --to, rule);
                }
            }
        }
    }

    private static void put(int[][] spans, int node, int rule) {
        spans[node] = spans[node] == null ? new int[] {rule} : joined(spans[node], new int[] {rule});
    }

    Way way(int rule) {
        return ways[rule];
    }

    /** Takes rules in their order until one is accepted. */
    interface Visitor {
        boolean accepts(int rule);
    }

    /** What one look-up works with; kept by whoever asks, so that asking allocates nothing. */
    static final class Scratch {
        private int[][] lists = new int[16][];
        private int[] places = new int[16];
        private int count;

        void add(int[] list) {
            if (list == null || list.length == 0) {
                return;
            }
            if (count == lists.length) {
                lists = Arrays.copyOf(lists, 2 * count);
                places = Arrays.copyOf(places, 2 * count);
            }
            lists[count] = list;
            places[count++] = 0;
        }
    }

    /** The first rule that the visitor accepts among those that the request may match, or -1. */
    int first(Frame frame, Scratch scratch, Visitor visitor) {
        scratch.count = 0;
        scratch.add(always);
        for (int i = 0; i < subjects.length; i++) {
            Object value = subjects[i].value(frame);
            if (value != null) {
                gather(shelfOf[i], value, scratch);
            }
        }
        while (true) {
            int next = Integer.MAX_VALUE;
            for (int i = 0; i < scratch.count; i++) {
                if (scratch.places[i] < scratch.lists[i].length) {
                    next = Math.min(next, scratch.lists[i][scratch.places[i]]);
                }
            }
            if (next == Integer.MAX_VALUE) {
                return -1;
            }
            if (visitor.accepts(next)) {
                return next;
            }
            for (int i = 0; i < scratch.count; i++) {
                if (scratch.places[i] < scratch.lists[i].length && scratch.lists[i][scratch.places[i]] == next) {
                    scratch.places[i]++;
                }
            }
        }
    }

    private static void gather(Shelf shelf, Object value, Scratch scratch) {
        scratch.add(shelf.equal.get(value));
        if (value instanceof String text) {
            shelf.table.gather(text, scratch);
        }
        if (value instanceof Long number && shelf.starts.length > 0) {
            int place = Arrays.binarySearch(shelf.starts, number);
            int node = (place < 0 ? -place - 2 : place) + shelf.spans.length / 2;
            for (; node > 0; node /= 2) {
                scratch.add(shelf.spans[node]);
            }
        }
    }
}
