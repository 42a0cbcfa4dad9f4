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
import ledgewall.rules.Limiter.Allowance;
import ledgewall.rules.Rule;
import ledgewall.rules.Rule.Output;
import ledgewall.rules.RuleException;
import ledgewall.rules.RuleTable;

/**
 * A file of rules in HCL, taken whole or not at all. The operators' page shows its form.
 *
 * @param overridesComments whether rules go before a statement's own comment
 */
record RulesFile(RuleTable table, boolean overridesComments) {
    private static final Set<String> TOP = Set.of("comments", "limits", "expressions", "rule");
    private static final Set<String> RULE = Set.of("match", "class", "tenant", "group", "session", "wait", "retry", "limit");
    private static final Set<String> LIMIT = Set.of("rate", "burst", "concurrent", "keys", "key");
    private static final int USUAL_KEYS = 10_000;

    /**
     * Reads a file.
     *
     * @param classes those that the router's settings name
     */
    static RulesFile read(Path file, Set<String> classes) throws SettingsException {
        return parse(file.getFileName().toString(), text(file), classes);
    }

    static String text(Path file) throws SettingsException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": no such file");
        } catch (CharacterCodingException e) {
            throw new SettingsException(file + ": no UTF-8");
        } catch (IOException e) {
            throw new SettingsException(file + ": " + e.getMessage());
        }
    }

    static RulesFile parse(String name, String text, Set<String> classes) throws SettingsException {
        Hcl file = Hcl.parse(name, text);
        file.allow(TOP);
        String comments = file.text("comments", "win");
        if (!comments.equals("win") && !comments.equals("lose")) {
            throw file.wrong("'comments' is \"win\" or \"lose\", this is \"" + comments + "\"");
        }
        List<Rule> rules = new ArrayList<>();
        for (Map.Entry<String, Hcl> one : file.labelled("rule").entrySet()) {
            rules.add(rule(one.getKey(), one.getValue()));
        }
        if (rules.isEmpty()) {
            throw file.wrong("no rule: a table that says nothing would refuse every request");
        }
        Map<String, String> named = file.block("expressions").texts();
        try {
            return new RulesFile(RuleTable.of(Schema.ofRequests(), limits(file.block("limits")), named, rules, classes),
                comments.equals("lose"));
        } catch (RuleException e) {
            throw new SettingsException(name + ": " + e.show());
        }
    }

    private static Limits limits(Hcl block) throws SettingsException {
        block.allow(Set.of("steps", "bytes"));
        Limits usual = Limits.DEFAULT;
        return new Limits(usual.maxSourceChars(), usual.maxTokens(), usual.maxNesting(), usual.maxDepth(),
            (long) block.number("steps", usual.maxSteps()), (long) block.number("bytes", usual.maxBytes()));
    }

    private static Rule rule(String name, Hcl block) throws SettingsException {
        block.allow(RULE);
        Map<Output, String> outputs = new EnumMap<>(Output.class);
        for (Output output : Output.values()) {
            String setting = output.name().toLowerCase(Locale.ROOT);
            if (block.has(setting)) {
                outputs.put(output, block.text(setting));
            }
        }
        Allowance allowance = null;
        String key = null;
        if (block.has("limit")) {
            Hcl limit = block.block("limit");
            limit.allow(LIMIT);
            double rate = limit.number("rate", 0);
            allowance = new Allowance(rate, limit.number("burst", Math.max(1, rate)), limit.whole("concurrent", 0),
                limit.whole("keys", USUAL_KEYS));
            key = limit.text("key", null);
        }
        return new Rule(name, block.text("match"), block.text("class"), outputs, allowance, key);
    }
}
