package ledgewall.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ledgewall.expression.Limits;
import ledgewall.expression.Schema;
import ledgewall.rules.Limiter;
import ledgewall.rules.Rule;
import ledgewall.rules.Rule.Output;
import ledgewall.rules.RuleException;
import ledgewall.rules.RuleTable;

/**
 * A rules file in HCL. An error anywhere in it rejects the whole file. The operators' documentation describes the format.
 *
 * @param table the rules of the file
 * @param overridesComments whether the rules take precedence over the comment in a statement
 */
record RulesFile(RuleTable table, boolean overridesComments) {
    private static final Set<String> TOP_LEVEL_SETTINGS = Set.of("comments", "limits", "expressions", "rule");
    private static final Set<String> RULE_SETTINGS = Set.of("match", "class", "tenant", "group", "session", "wait", "retry",
        "limit");
    private static final Set<String> LIMIT_SETTINGS = Set.of("rate", "burst", "concurrent", "keys", "key");
    private static final int DEFAULT_MAX_KEYS = 10_000;

    /**
     * Reads a file.
     *
     * @param classes names of the classes in the router's settings
     */
    static RulesFile read(Path file, Set<String> classes) throws SettingsException {
        return parse(file.getFileName().toString(), readText(file), classes);
    }

    static String readText(Path file) throws SettingsException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": no such file");
        } catch (CharacterCodingException e) {
            throw new SettingsException(file + ": not valid UTF-8");
        } catch (IOException e) {
            throw new SettingsException(file + ": " + e.getMessage());
        }
    }

    static RulesFile parse(String name, String text, Set<String> classes) throws SettingsException {
        HclBlock file = HclBlock.parse(name, text);
        file.allowOnly(TOP_LEVEL_SETTINGS);
        String comments = file.string("comments", "win");
        if (!comments.equals("win") && !comments.equals("lose")) {
            throw file.error("'comments' is \"win\" or \"lose\", this is \"" + comments + "\"");
        }
        List<Rule> rules = new ArrayList<>();
        for (Map.Entry<String, HclBlock> entry : file.labelledBlocks("rule").entrySet()) {
            rules.add(parseRule(entry.getKey(), entry.getValue()));
        }
        if (rules.isEmpty()) {
            throw file.error("no rule: a table without rules would refuse every request");
        }
        Map<String, String> namedExpressions = file.block("expressions").strings();
        try {
            return new RulesFile(RuleTable.of(Schema.ofRequests(), parseLimits(file.block("limits")), namedExpressions, rules,
                classes), comments.equals("lose"));
        } catch (RuleException e) {
            throw new SettingsException(name + ": " + e.detailedMessage());
        }
    }

    private static Limits parseLimits(HclBlock block) throws SettingsException {
        block.allowOnly(Set.of("steps", "bytes"));
        Limits defaults = Limits.DEFAULT;
        return new Limits(defaults.maxSourceChars(), defaults.maxTokens(), defaults.maxNesting(), defaults.maxDepth(),
            (long) block.number("steps", defaults.maxSteps()), (long) block.number("bytes", defaults.maxBytes()));
    }

    private static Rule parseRule(String name, HclBlock block) throws SettingsException {
        block.allowOnly(RULE_SETTINGS);
        Map<Output, String> outputs = new EnumMap<>(Output.class);
        for (Output output : Output.values()) {
            String setting = output.name().toLowerCase(Locale.ROOT);
            if (block.has(setting)) {
                outputs.put(output, block.string(setting));
            }
        }
        Limiter.Config limitConfig = null;
        String limitKey = null;
        if (block.has("limit")) {
            HclBlock limitBlock = block.block("limit");
            limitBlock.allowOnly(LIMIT_SETTINGS);
            double ratePerSecond = limitBlock.number("rate", 0);
            limitConfig = new Limiter.Config(ratePerSecond, limitBlock.number("burst", Math.max(1, ratePerSecond)),
                limitBlock.integer("concurrent", 0), limitBlock.integer("keys", DEFAULT_MAX_KEYS));
            limitKey = limitBlock.string("key", null);
        }
        return new Rule(name, block.string("match"), block.string("class"), outputs, limitConfig, limitKey);
    }
}
