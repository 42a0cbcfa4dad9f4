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
 * Finds the rules that a request can match: those whose indexed requirement it meets, and those that can't be indexed, in
 * the order of the table. Each rule is indexed by a single requirement, the one that is estimated to be most selective.
 */
final class RuleIndex {
    /** How the index finds a rule. {@code SCAN} means that the rule is not indexed and is tried for every request. */
    enum Lookup { EQUALITY, PREFIX, RANGE, SCAN }

    /** The rules that are indexed by one subject: an attribute or an entry of a map attribute. */
    private static final class SubjectIndex {
        private final Map<Object, int[]> rulesByValue = new HashMap<>();
        private final Map<String, int[]> rulesByPrefix = new HashMap<>();
        private PrefixTable prefixTable = new PrefixTable(Map.of());
        /** Sorted points at which the set of ranges that contain a value changes. */
        private long[] rangeStarts = {};
        /** Segment tree over the intervals between {@link #rangeStarts}: the rules stored at each node. */
        private int[][] rulesByNode = {};
    }

    private final Map<Subject, SubjectIndex> indexes = new LinkedHashMap<>();
    private final Subject[] indexedSubjects;
    /** The values of {@link #indexes}, in the order of {@link #indexedSubjects}. */
    private final SubjectIndex[] subjectIndexes;
    /** Rules that are tried for every request. */
    private final int[] unindexedRules;
    /** How each rule is found, by rule index. */
    private final Lookup[] lookups;

    RuleIndex(List<Program> conditions) {
        lookups = new Lookup[conditions.size()];
        Map<Subject, Map<Object, Integer>> valueCounts = new HashMap<>();
        for (Program condition : conditions) {
            for (Requirement requirement : condition.requirements()) {
                if (requirement.values() != null) {
                    requirement.values().forEach(value -> valueCounts.computeIfAbsent(requirement.subject(), s -> new HashMap<>())
                        .merge(value, 1, Integer::sum));
                }
            }
        }
        Map<Subject, List<Integer>> rangeRulesBySubject = new LinkedHashMap<>();
        Requirement[] chosen = new Requirement[conditions.size()];
        List<Integer> unindexed = new ArrayList<>();
        for (int rule = 0; rule < lookups.length; rule++) {
            chosen[rule] = mostSelective(conditions.get(rule).requirements(), valueCounts);
            lookups[rule] = addToIndex(rule, chosen[rule], rangeRulesBySubject, unindexed);
        }
        rangeRulesBySubject.forEach((subject, rules) -> buildRangeTree(subjectIndex(subject), rules, chosen));
        unindexedRules = unindexed.stream().mapToInt(Integer::intValue).toArray();
        indexedSubjects = indexes.keySet().toArray(new Subject[0]);
        subjectIndexes = indexes.values().toArray(new SubjectIndex[0]);
        for (SubjectIndex subjectIndex : subjectIndexes) {
            subjectIndex.prefixTable = new PrefixTable(subjectIndex.rulesByPrefix);
        }
    }

    private SubjectIndex subjectIndex(Subject subject) {
        return indexes.computeIfAbsent(subject, s -> new SubjectIndex());
    }

    /**
     * The requirement with the lowest score. A set of values scores the number of rules that share its most common value. It
     * is preferred to a prefix, a longer prefix to a shorter one, and any prefix to a range. A range that spans more than
     * half of all values, so that the subtraction overflows, scores worst.
     */
    private static Requirement mostSelective(List<Requirement> requirements, Map<Subject, Map<Object, Integer>> valueCounts) {
        Requirement mostSelective = null;
        double lowestScore = Double.MAX_VALUE;
        for (Requirement requirement : requirements) {
            double score = requirement.values() != null
                ? requirement.values().stream().mapToInt(v -> valueCounts.get(requirement.subject()).get(v)).max().orElse(0)
                : requirement.prefix() != null ? 1e6 - requirement.prefix().length()
                : requirement.max() - requirement.min() < 0 ? 4e6 : 2e6;
            if (score < lowestScore) {
                lowestScore = score;
                mostSelective = requirement;
            }
        }
        return mostSelective;
    }

    private Lookup addToIndex(int rule, Requirement requirement, Map<Subject, List<Integer>> rangeRulesBySubject,
            List<Integer> unindexed) {
        if (requirement == null) {
            unindexed.add(rule);
            return Lookup.SCAN;
        }
        if (requirement.values() != null) {
            requirement.values().forEach(value -> subjectIndex(requirement.subject()).rulesByValue
                .merge(value, new int[] {rule}, RuleIndex::concat));
            return Lookup.EQUALITY;
        }
        if (requirement.prefix() != null) {
            subjectIndex(requirement.subject()).rulesByPrefix.merge(requirement.prefix(), new int[] {rule}, RuleIndex::concat);
            return Lookup.PREFIX;
        }
        rangeRulesBySubject.computeIfAbsent(requirement.subject(), s -> new ArrayList<>()).add(rule);
        return Lookup.RANGE;
    }

    private static int[] concat(int[] first, int[] second) {
        int[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /**
     * Builds a segment tree over the points where ranges begin or end. Each range is stored at the O(log n) nodes that cover
     * it, so memory is O(n log n), and a lookup reads one node per level.
     */
    private static void buildRangeTree(SubjectIndex subjectIndex, List<Integer> rules, Requirement[] chosen) {
        TreeSet<Long> boundaries = new TreeSet<>(List.of(Long.MIN_VALUE));
        for (int rule : rules) {
            boundaries.add(chosen[rule].min());
            if (chosen[rule].max() < Long.MAX_VALUE) {
                boundaries.add(chosen[rule].max() + 1);
            }
        }
        subjectIndex.rangeStarts = boundaries.stream().mapToLong(Long::longValue).toArray();
        int leaves = Integer.highestOneBit(Math.max(1, subjectIndex.rangeStarts.length - 1)) * 2;
        subjectIndex.rulesByNode = new int[2 * leaves][];
        for (int rule : rules) {
            int leftNode = Arrays.binarySearch(subjectIndex.rangeStarts, chosen[rule].min()) + leaves;
            int rightNode = chosen[rule].max() == Long.MAX_VALUE ? subjectIndex.rangeStarts.length + leaves
                : Arrays.binarySearch(subjectIndex.rangeStarts, chosen[rule].max() + 1) + leaves;
            for (; leftNode < rightNode; leftNode /= 2, rightNode /= 2) {
                if (leftNode % 2 == 1) {
                    addToNode(subjectIndex.rulesByNode, leftNode++, rule);
                }
                if (rightNode % 2 == 1) {
                    addToNode(subjectIndex.rulesByNode, --rightNode, rule);
                }
            }
        }
    }

    private static void addToNode(int[][] rulesByNode, int node, int rule) {
        rulesByNode[node] = rulesByNode[node] == null ? new int[] {rule} : concat(rulesByNode[node], new int[] {rule});
    }

    Lookup lookup(int rule) {
        return lookups[rule];
    }

    /** Tested on the candidate rules in order, until it accepts one. */
    interface RulePredicate {
        boolean accepts(int rule);
    }

    /** Buffers of one lookup. The caller keeps and reuses them, so that a lookup doesn't allocate. */
    static final class Scratch {
        /** Candidate rules, each list in ascending order. */
        private int[][] ruleLists = new int[16][];
        /** Index of the next rule in each list. */
        private int[] offsets = new int[16];
        private int count;

        void add(int[] rules) {
            if (rules == null || rules.length == 0) {
                return;
            }
            if (count == ruleLists.length) {
                ruleLists = Arrays.copyOf(ruleLists, 2 * count);
                offsets = Arrays.copyOf(offsets, 2 * count);
            }
            ruleLists[count] = rules;
            offsets[count++] = 0;
        }
    }

    /** The first rule that the predicate accepts among those that the request can match, or -1. */
    int firstAccepted(Frame frame, Scratch scratch, RulePredicate predicate) {
        scratch.count = 0;
        scratch.add(unindexedRules);
        for (int i = 0; i < indexedSubjects.length; i++) {
            Object value = indexedSubjects[i].value(frame);
            if (value != null) {
                addCandidates(subjectIndexes[i], value, scratch);
            }
        }
        while (true) {
            int next = Integer.MAX_VALUE;
            for (int i = 0; i < scratch.count; i++) {
                if (scratch.offsets[i] < scratch.ruleLists[i].length) {
                    next = Math.min(next, scratch.ruleLists[i][scratch.offsets[i]]);
                }
            }
            if (next == Integer.MAX_VALUE) {
                return -1;
            }
            if (predicate.accepts(next)) {
                return next;
            }
            for (int i = 0; i < scratch.count; i++) {
                if (scratch.offsets[i] < scratch.ruleLists[i].length && scratch.ruleLists[i][scratch.offsets[i]] == next) {
                    scratch.offsets[i]++;
                }
            }
        }
    }

    private static void addCandidates(SubjectIndex subjectIndex, Object value, Scratch scratch) {
        scratch.add(subjectIndex.rulesByValue.get(value));
        if (value instanceof String text) {
            subjectIndex.prefixTable.addMatches(text, scratch);
        }
        if (value instanceof Long number && subjectIndex.rangeStarts.length > 0) {
            int index = Arrays.binarySearch(subjectIndex.rangeStarts, number);
            int node = (index < 0 ? -index - 2 : index) + subjectIndex.rulesByNode.length / 2;
            for (; node > 0; node /= 2) {
                scratch.add(subjectIndex.rulesByNode[node]);
            }
        }
    }
}
