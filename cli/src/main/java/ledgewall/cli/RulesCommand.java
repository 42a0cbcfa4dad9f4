package ledgewall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import ledgewall.expression.Frame;
import ledgewall.net.RouterConfig;
import ledgewall.pg.SqlSummary;
import ledgewall.rules.Decision;
import ledgewall.rules.RuleTable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code rules} command: explains and tests rules files. */
@Command(name = "rules", mixinStandardHelpOptions = true, description = "Explain and test files of rules.",
    subcommands = {RulesCommand.Explain.class, RulesCommand.Test.class})
final class RulesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    /** The names of the classes in a configuration. */
    static Set<String> classNames(RouterConfig config) throws SettingsException {
        if (config == null) {
            throw new SettingsException("rules are checked against the classes of a configuration: name one before them");
        }
        return new TreeSet<>(config.vocabulary().classes());
    }

    private static RuleTable loadTable(Path config, Path rules) throws IOException, SettingsException {
        return RulesFile.read(rules, classNames(RouterConfig.read(config))).table();
    }

    /** Prints each rule's class, cost bound and how the index finds it. */
    @Command(name = "explain", mixinStandardHelpOptions = true,
        description = "Show each rule's class, its cost bound and how the index finds it.")
    static final class Explain implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "CONFIG", description = "The router's configuration in JSON.")
        private Path config;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException, SettingsException {
            PrintWriter out = spec.commandLine().getOut();
            RuleTable table = loadTable(config, file);
            for (int i = 0; i < table.size(); i++) {
                out.printf("%-24s %-16s %-9s %s%n", table.rule(i).name(), table.rule(i).requestClass(), table.lookup(i),
                    table.cost(i));
            }
            table.warnings().forEach(warning -> out.println("warning: " + warning));
            return 0;
        }
    }

    /** Compares the outcomes of the cases in a file with the expected outcomes. */
    @Command(name = "test", mixinStandardHelpOptions = true, description = "Try cases with the outcome that is expected of each.",
        footer = {"", "A case, in HCL:", "  case \"a kiosk books\" {", "    sql  = \"INSERT INTO bookings VALUES (1)\"",
            "    user = \"kiosk-7\"", "    expect {", "      class = \"book-bay\"", "      rule  = \"booking\"", "    }", "  }",
            "Beside sql, any attribute by its name; in expect class, rule, tenant, group, session, wait, retry."}
                )
    static final class Test implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "CONFIG", description = "The router's configuration in JSON.")
        private Path config;

        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Parameters(index = "1", paramLabel = "CASES")
        private Path cases;

        @Override
        public Integer call() throws IOException, SettingsException {
            PrintWriter out = spec.commandLine().getOut();
            RuleTable table = loadTable(config, file);
            HclBlock casesFile = HclBlock.parse(cases.getFileName().toString(), RulesFile.readText(cases));
            casesFile.allowOnly(Set.of("case"));
            int passed = 0;
            int failed = 0;
            for (Map.Entry<String, HclBlock> testCase : casesFile.labelledBlocks("case").entrySet()) {
                Map<String, String> expectations = testCase.getValue().block("expect").strings();
                if (expectations.isEmpty()) {
                    throw testCase.getValue().error("its block 'expect' is empty");
                }
                Map<String, String> actual = actualOutcome(table, testCase.getValue());
                Map<String, String> mismatches = new TreeMap<>();
                for (Map.Entry<String, String> expectation : expectations.entrySet()) {
                    if (!actual.containsKey(expectation.getKey())) {
                        throw testCase.getValue().error("unknown expectation '" + expectation.getKey() + "'; there are "
                            + actual.keySet());
                    }
                    if (!expectation.getValue().equals(actual.get(expectation.getKey()))) {
                        mismatches.put(expectation.getKey(), "'" + actual.get(expectation.getKey()) + "', not '"
                            + expectation.getValue() + "'");
                    }
                }
                failed += mismatches.isEmpty() ? 0 : 1;
                passed += mismatches.isEmpty() ? 1 : 0;
                mismatches.forEach((property, difference) -> out.println("case \"" + testCase.getKey() + "\": " + property
                    + " is " + difference));
            }
            out.println(passed + " passed, " + failed + " failed");
            return failed > 0 || passed == 0 ? Ledgewall.EXIT_FAILURE : 0;
        }

        private static Map<String, String> actualOutcome(RuleTable table, HclBlock block) throws SettingsException {
            // attributes that the router sets for every request, here empty unless the case sets them
            Map<String, String> attributes = new LinkedHashMap<>(Map.of("user", "", "database", "", "comment", ""));
            for (String setting : block.settingNames()) {
                if (!setting.equals("expect") && !setting.equals("sql")) {
                    attributes.put(setting, block.string(setting));
                }
            }
            Frame frame = ExpressionCommand.toFrame(table.schema(), attributes);
            if (block.has("sql")) {
                setStatementAttributes(table, frame, block);
            }
            Decision decision = new Decision();
            table.decide(frame, decision);
            Map<String, String> actual = new LinkedHashMap<>();
            actual.put("rule", decision.matched() ? decision.ruleName() : "none");
            actual.put("class", String.valueOf(decision.requestClass()));
            actual.put("tenant", String.valueOf(decision.tenant()));
            actual.put("group", Long.toString(decision.group()));
            actual.put("session", String.valueOf(decision.session()));
            actual.put("wait", decision.maxWaitNs() < 0 ? "null" : decision.maxWaitNs() / 1_000_000 + "ms");
            actual.put("retry", Boolean.toString(decision.retry()));
            return actual;
        }

        private static void setStatementAttributes(RuleTable table, Frame frame, HclBlock block) throws SettingsException {
            String sql = block.string("sql");
            SqlSummary summary = SqlSummary.ofText(sql);
            if (summary == null) {
                throw block.error("'sql' must be a single statement");
            }
            frame.set(table.schema().attribute("sql.text"), sql);
            frame.set(table.schema().attribute("sql.keyword"), summary.keyword());
            frame.set(table.schema().attribute("sql.tables"), summary.tables());
            frame.set(table.schema().attribute("sql.writes"), summary.writes());
        }
    }
}
