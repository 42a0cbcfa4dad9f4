package ledgewall.rules;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ledgewall.expression.Cost;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Program;
import ledgewall.expression.Schema;
import ledgewall.expression.Type;
import ledgewall.rules.Rule.Output;

/**
 * An ordered list of rules: the first rule whose condition holds classifies the request. All rules are compiled and checked
 * when the table is built; the rules don't change after that. Not thread-safe: a lookup uses shared buffers and counters.
 */
public final class RuleTable {
    /** Maximum number of rules in a table, which bounds the time of a lookup and of a reload. */
    private static final int MAX_RULES = 100_000;
    private static final Map<Output, Type> OUTPUT_TYPES = new EnumMap<>(Map.of(Output.TENANT, Type.STRING, Output.GROUP, Type.INT,
        Output.SESSION, Type.STRING, Output.WAIT, Type.DURATION, Output.RETRY, Type.BOOL));

    /** A rule with its expressions compiled. */
    private record CompiledRule(Rule rule, Program match, Map<Output, Program> outputs, Program limitKey) { }

    private final Schema schema;
    private final List<CompiledRule> compiledRules;
    private final RuleIndex index;
    private final RuleIndex.Scratch scratch = new RuleIndex.Scratch();
    private final List<String> warnings = new ArrayList<>();
    /** Number of conditions and outputs that evaluated to an error, by rule and error kind. */
    private final long[][] errorCounts;
    private final long[] matchCounts;
    private long unmatchedCount;
    /** The frame of the lookup in progress; a field rather than a lambda capture, so that a lookup doesn't allocate. */
    private Frame currentFrame;
    private final RuleIndex.RulePredicate matchesCurrentFrame = this::conditionHolds;

    /**
     * Compiles and checks rules.
     *
     * @param namedExpressions expressions that rules and later named expressions can refer to, in order of definition
     * @param classes names of the classes in the router's settings
     */
    public static RuleTable of(Schema schema, Limits limits, Map<String, String> namedExpressions, List<Rule> rules,
            Set<String> classes) throws RuleException {
        ExpressionEnvironment environment = new ExpressionEnvironment(schema, limits);
        for (Map.Entry<String, String> entry : namedExpressions.entrySet()) {
            String location = "expression \"" + entry.getKey() + "\"";
            try {
                environment.define(entry.getKey(), entry.getValue());
            } catch (ExpressionException e) {
                throw new RuleException(location, entry.getValue(), e);
            }
        }
        if (rules.size() > MAX_RULES) {
            throw new RuleException("rules", rules.size() + " of them, " + MAX_RULES + " at most");
        }
        List<CompiledRule> compiledRules = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Rule rule : rules) {
            if (!names.add(rule.name())) {
                throw new RuleException("rule \"" + rule.name() + "\"", "another rule has this name");
            }
            compiledRules.add(compileRule(rule, environment, classes));
        }
        List<Program> conditions = environment.shareCommonSubexpressions(
            compiledRules.stream().map(CompiledRule::match).toList());
        for (int i = 0; i < compiledRules.size(); i++) {
            CompiledRule compiled = compiledRules.get(i);
            compiledRules.set(i, new CompiledRule(compiled.rule(), conditions.get(i), compiled.outputs(), compiled.limitKey()));
        }
        return new RuleTable(schema, compiledRules);
    }

    private static CompiledRule compileRule(Rule rule, ExpressionEnvironment environment, Set<String> classes)
            throws RuleException {
        String location = "rule \"" + rule.name() + "\"";
        Program match = compile(location + ", match", rule.match(), Type.BOOL, environment);
        if (!classes.contains(rule.requestClass())) {
            throw new RuleException(location + ", class", "no class '" + rule.requestClass() + "'; there are "
                + String.join(", ", classes.stream().sorted().toList()));
        }
        Map<Output, Program> outputs = new EnumMap<>(Output.class);
        for (Map.Entry<Output, String> entry : rule.outputs().entrySet()) {
            String name = entry.getKey().name().toLowerCase(java.util.Locale.ROOT);
            outputs.put(entry.getKey(), compile(location + ", " + name, entry.getValue(), OUTPUT_TYPES.get(entry.getKey()),
                environment));
        }
        String limitError = rule.limit() == null ? null : rule.limit().validationError();
        if (limitError != null) {
            throw new RuleException(location + ", limit", limitError);
        }
        Program key = rule.limitKey() == null ? null
            : compile(location + ", limit, key", rule.limitKey(), Type.STRING, environment);
        return new CompiledRule(rule, match, outputs, key);
    }

    private static Program compile(String location, String source, Type expectedType, ExpressionEnvironment environment)
            throws RuleException {
        try {
            Program program = environment.compile(source);
            if (!program.type().equals(expectedType)) {
                throw new RuleException(location, "is to be " + expectedType + ", this is " + program.type() + ": "
                    + source.strip());
            }
            return program;
        } catch (ExpressionException e) {
            throw new RuleException(location, source, e);
        }
    }

    private RuleTable(Schema schema, List<CompiledRule> compiledRules) {
        this.schema = schema;
        this.compiledRules = compiledRules;
        this.index = new RuleIndex(compiledRules.stream().map(CompiledRule::match).toList());
        this.errorCounts = new long[compiledRules.size()][ErrorKind.values().length];
        this.matchCounts = new long[compiledRules.size()];
        findWarnings();
    }

    /** Adds warnings about rules that provably never match, and about a table without a rule that matches every request. */
    private void findWarnings() {
        boolean hasCatchAll = false;
        for (int i = 0; i < compiledRules.size(); i++) {
            CompiledRule compiled = compiledRules.get(i);
            if (Boolean.FALSE.equals(compiled.match().constant())) {
                warnings.add("rule \"" + compiled.rule().name() + "\" never matches: its condition is always false");
            }
            for (int earlier : earlierRulesToCompare(i)) {
                if (compiledRules.get(earlier).match().covers(compiled.match())) {
                    warnings.add("rule \"" + compiled.rule().name() + "\" never matches: \""
                        + compiledRules.get(earlier).rule().name() + "\" before it matches whatever it does");
                    break;
                }
            }
            hasCatchAll |= compiled.match().isAlwaysTrue();
        }
        if (!hasCatchAll) {
            warnings.add("no rule matches every request: requests without a matching rule are refused");
        }
    }

    /** The up to 500 rules directly before a rule. The bound keeps the time to load a large table linear in its size. */
    private static List<Integer> earlierRulesToCompare(int rule) {
        List<Integer> earlierRules = new ArrayList<>();
        for (int earlier = Math.max(0, rule - 500); earlier < rule; earlier++) {
            earlierRules.add(earlier);
        }
        return earlierRules;
    }

    /** Likely mistakes in a valid table. */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    public Schema schema() {
        return schema;
    }

    public int size() {
        return compiledRules.size();
    }

    public Rule rule(int ruleIndex) {
        return compiledRules.get(ruleIndex).rule();
    }

    /** The upper bound on the cost of evaluating a rule's condition. */
    public Cost cost(int ruleIndex) {
        return compiledRules.get(ruleIndex).match().cost();
    }

    /** How the index finds a rule: equality, prefix or range, or scan for a rule that is tried for every request. */
    public String lookup(int ruleIndex) {
        return index.lookup(ruleIndex).name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Finds the first matching rule and writes its results to {@code decision}. */
    public void decide(Frame frame, Decision decision) {
        decision.clear();
        currentFrame = frame;
        int rule = index.firstAccepted(frame, scratch, matchesCurrentFrame);
        currentFrame = null;
        if (rule < 0) {
            unmatchedCount++;
            return;
        }
        matchCounts[rule]++;
        fillDecision(rule, frame, decision);
    }

    /** Finds the first matching rule without the index; tests compare the index with it. */
    int firstMatchByScan(Frame frame) {
        for (int rule = 0; rule < compiledRules.size(); rule++) {
            if (compiledRules.get(rule).match().matches(frame)) {
                return rule;
            }
        }
        return -1;
    }

    private boolean conditionHolds(int rule) {
        Frame frame = currentFrame;
        Program match = compiledRules.get(rule).match();
        boolean conditionHolds = match.matches(frame);
        if (!conditionHolds && match.error(frame) != null) {
            errorCounts[rule][match.error(frame).ordinal()]++;
        }
        return conditionHolds;
    }

    private void fillDecision(int ruleIndex, Frame frame, Decision decision) {
        CompiledRule compiled = compiledRules.get(ruleIndex);
        decision.ruleIndex = ruleIndex;
        decision.ruleName = compiled.rule().name();
        decision.requestClass = compiled.rule().requestClass();
        if (!compiled.outputs().isEmpty()) {
            computeOutputs(ruleIndex, compiled, frame, decision);
        }
        if (compiled.rule().limit() != null) {
            Object key = compiled.limitKey() == null ? "" : compiled.limitKey().evaluate(frame);
            // requests whose key expression fails share one key
            decision.limitKey = key instanceof ErrorKind ? "" : (String) key;
        }
    }

    private void computeOutputs(int ruleIndex, CompiledRule compiled, Frame frame, Decision decision) {
        for (Map.Entry<Output, Program> entry : compiled.outputs().entrySet()) {
            Object value = entry.getValue().evaluate(frame);
            if (value instanceof ErrorKind error) {
                errorCounts[ruleIndex][error.ordinal()]++;
                continue;
            }
            switch (entry.getKey()) {
                case TENANT -> decision.tenant = (String) value;
                case GROUP -> decision.group = (Long) value;
                case SESSION -> decision.session = (String) value;
                case WAIT -> decision.maxWaitNs = Math.max(0, (Long) value);
                case RETRY -> decision.retry = (Boolean) value;
                default -> throw new IllegalStateException("unexpected output " + entry.getKey());
            }
        }
    }

    /** The number of requests that a rule matched. */
    public long matchCount(int rule) {
        return matchCounts[rule];
    }

    /** How often a rule's condition or one of its outputs evaluated to an error of this kind. */
    public long errorCount(int rule, ErrorKind kind) {
        return errorCounts[rule][kind.ordinal()];
    }

    /** The number of requests that no rule matched. */
    public long unmatchedCount() {
        return unmatchedCount;
    }
}
