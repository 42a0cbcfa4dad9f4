package ledgewall.rules;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ledgewall.expression.Cost;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Program;
import ledgewall.expression.Schema;
import ledgewall.expression.Type;
import ledgewall.rules.Rule.Output;

/**
 * Rules in their order: the first whose condition holds says what a request is. Checked whole before any request sees it,
 * and never changed then. One thread at a time may ask.
 */
public final class RuleTable {
    /** Rules in one table at most: a look-up and a reload stay short. */
    private static final int MOST_RULES = 100_000;
    private static final Map<Output, Type> TYPES = new EnumMap<>(Map.of(Output.TENANT, Type.STRING, Output.GROUP, Type.INT,
        Output.SESSION, Type.STRING, Output.WAIT, Type.DURATION, Output.RETRY, Type.BOOL));

    /** A rule with its expressions compiled. */
    private record Line(Rule rule, Program match, Map<Output, Program> outputs, Program limitKey) { }

    private final Schema schema;
    private final List<Line> lines;
    private final RuleIndex index;
    private final RuleIndex.Scratch scratch = new RuleIndex.Scratch();
    private final List<String> warnings = new ArrayList<>();
    /** Conditions and outputs that were errors, by rule and kind. */
    private final long[][] errors;
    private final long[] matches;
    private long unmatched;
    /** The request in hand, so that asking allocates nothing. */
    private Frame asked;
    private final RuleIndex.Visitor visitor = this::holds;

    /**
     * Compiles and checks a table.
     *
     * @param named expressions that rules and later named ones can use, in their order
     * @param classes the classes that exist
     */
    public static RuleTable of(Schema schema, Limits limits, Map<String, String> named, List<Rule> rules, Set<String> classes)
            throws RuleException {
        ExpressionEnvironment expressions = new ExpressionEnvironment(schema, limits);
        for (Map.Entry<String, String> one : named.entrySet()) {
            String where = "expression \"" + one.getKey() + "\"";
            try {
                expressions.define(one.getKey(), one.getValue());
            } catch (ExpressionException e) {
                throw new RuleException(where, one.getValue(), e);
            }
        }
        if (rules.size() > MOST_RULES) {
            throw new RuleException("rules", rules.size() + " of them, " + MOST_RULES + " at most");
        }
        List<Line> lines = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Rule rule : rules) {
            if (!names.add(rule.name())) {
                throw new RuleException("rule \"" + rule.name() + "\"", "another rule has this name");
            }
            lines.add(line(rule, expressions, classes));
        }
        List<Program> conditions = expressions.shareCommonSubexpressions(lines.stream().map(Line::match).toList());
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            lines.set(i, new Line(line.rule(), conditions.get(i), line.outputs(), line.limitKey()));
        }
        return new RuleTable(schema, lines);
    }

    private static Line line(Rule rule, ExpressionEnvironment expressions, Set<String> classes) throws RuleException {
        String where = "rule \"" + rule.name() + "\"";
        Program match = compile(where + ", match", rule.match(), Type.BOOL, expressions);
        if (!classes.contains(rule.requestClass())) {
            throw new RuleException(where + ", class", "no class '" + rule.requestClass() + "'; there are "
                + String.join(", ", classes.stream().sorted().toList()));
        }
        Map<Output, Program> outputs = new EnumMap<>(Output.class);
        for (Map.Entry<Output, String> one : rule.outputs().entrySet()) {
            String name = one.getKey().name().toLowerCase(java.util.Locale.ROOT);
            outputs.put(one.getKey(), compile(where + ", " + name, one.getValue(), TYPES.get(one.getKey()), expressions));
        }
        String problem = rule.limit() == null ? null : rule.limit().problem();
        if (problem != null) {
            throw new RuleException(where + ", limit", problem);
        }
        Program key = rule.limitKey() == null ? null
            : compile(where + ", limit, key", rule.limitKey(), Type.STRING, expressions);
        return new Line(rule, match, outputs, key);
    }

    private static Program compile(String where, String source, Type wanted, ExpressionEnvironment expressions)
            throws RuleException {
        try {
            Program program = expressions.compile(source);
            if (!program.type().equals(wanted)) {
                throw new RuleException(where, "is to be " + wanted + ", this is " + program.type() + ": " + source.strip());
            }
            return program;
        } catch (ExpressionException e) {
            throw new RuleException(where, source, e);
        }
    }

    private RuleTable(Schema schema, List<Line> lines) {
        this.schema = schema;
        this.lines = lines;
        this.index = new RuleIndex(lines.stream().map(Line::match).toList());
        this.errors = new long[lines.size()][ErrorKind.values().length];
        this.matches = new long[lines.size()];
        analyse();
    }

    /** Rules that cannot match, as far as can be proved, and whether any request can match none. */
    private void analyse() {
        boolean isDefault = false;
        for (int i = 0; i < lines.size(); i++) {
            Line line = lines.get(i);
            if (Boolean.FALSE.equals(line.match().constant())) {
                warnings.add("rule \"" + line.rule().name() + "\" never matches: its condition is always false");
            }
            for (int earlier : candidates(i)) {
                if (lines.get(earlier).match().covers(line.match())) {
                    warnings.add("rule \"" + line.rule().name() + "\" never matches: \"" + lines.get(earlier).rule().name()
                        + "\" before it matches whatever it does");
                    break;
                }
            }
            isDefault |= line.match().isAlwaysTrue();
        }
        if (!isDefault) {
            warnings.add("no rule matches every request: what none matches is refused as of no class");
        }
    }

    /** Earlier rules to compare with: few rules against all, of many the nearest, which keeps loading short. */
    private static List<Integer> candidates(int rule) {
        List<Integer> all = new ArrayList<>();
        for (int earlier = Math.max(0, rule - 500); earlier < rule; earlier++) {
            all.add(earlier);
        }
        return all;
    }

    /** What is likely not meant, though the table is valid. */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    public Schema schema() {
        return schema;
    }

    public int size() {
        return lines.size();
    }

    public Rule rule(int number) {
        return lines.get(number).rule();
    }

    /** What a rule's condition takes at most. */
    public Cost cost(int number) {
        return lines.get(number).match().cost();
    }

    /** How the index finds a rule: equality, prefix, range, or scan for those that are tried for each request. */
    public String way(int number) {
        return index.way(number).name().toLowerCase(java.util.Locale.ROOT);
    }

    /** The first rule that matches, and what it says. */
    public void decide(Frame frame, Decision into) {
        into.clear();
        asked = frame;
        int rule = index.first(frame, scratch, visitor);
        asked = null;
        if (rule < 0) {
            unmatched++;
            return;
        }
        matches[rule]++;
        say(rule, frame, into);
    }

    /** The first rule that matches by trying each: what the index is tested against. */
    int scan(Frame frame) {
        for (int rule = 0; rule < lines.size(); rule++) {
            if (lines.get(rule).match().matches(frame)) {
                return rule;
            }
        }
        return -1;
    }

    private boolean holds(int rule) {
        Frame frame = asked;
        Program match = lines.get(rule).match();
        boolean holds = match.matches(frame);
        if (!holds && match.error(frame) != null) {
            errors[rule][match.error(frame).ordinal()]++;
        }
        return holds;
    }

    private void say(int number, Frame frame, Decision into) {
        Line line = lines.get(number);
        into.rule = number;
        into.name = line.rule().name();
        into.requestClass = line.rule().requestClass();
        if (!line.outputs().isEmpty()) {
            compute(number, line, frame, into);
        }
        if (line.rule().limit() != null) {
            Object key = line.limitKey() == null ? "" : line.limitKey().evaluate(frame);
            // whoever makes the key an error shares one key with all who do
            into.limitKey = key instanceof ErrorKind ? "" : (String) key;
        }
    }

    private void compute(int number, Line line, Frame frame, Decision into) {
        for (Map.Entry<Output, Program> one : line.outputs().entrySet()) {
            Object value = one.getValue().evaluate(frame);
            if (value instanceof ErrorKind error) {
                errors[number][error.ordinal()]++;
                continue;
            }
            switch (one.getKey()) {
                case TENANT -> into.tenant = (String) value;
                case GROUP -> into.group = (Long) value;
                case SESSION -> into.session = (String) value;
                case WAIT -> into.wait = Math.max(0, (Long) value);
                case RETRY -> into.retry = (Boolean) value;
                default -> throw new IllegalStateException("no output " + one.getKey());
            }
        }
    }

    /** How often a rule matched. */
    public long matches(int rule) {
        return matches[rule];
    }

    /** How often a rule's condition or output was an error of a kind. */
    public long errors(int rule, ErrorKind kind) {
        return errors[rule][kind.ordinal()];
    }

    /** Requests that no rule matched. */
    public long unmatched() {
        return unmatched;
    }
}
