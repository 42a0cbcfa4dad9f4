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

/** Works on files of rules. */
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

    /** The classes that a configuration names. */
    static Set<String> classes(RouterConfig settings) throws SettingsException {
        if (settings == null) {
            throw new SettingsException("rules are checked against the classes of a configuration: name one before them");
        }
        return new TreeSet<>(settings.vocabulary().classes());
    }

    private static RuleTable table(Path config, Path rules) throws IOException, SettingsException {
        return RulesFile.read(rules, classes(RouterConfig.read(config))).table();
    }

    /** Shows how each rule is found. */
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
            RuleTable table = table(config, file);
            for (int i = 0; i < table.size(); i++) {
                out.printf("%-24s %-16s %-9s %s%n", table.rule(i).name(), table.rule(i).requestClass(), table.way(i),
                    table.cost(i));
            }
            table.warnings().forEach(warning -> out.println("warning: " + warning));
            return 0;
        }
    }

    /** Runs a table of cases. */
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
            RuleTable table = table(config, file);
            Hcl read = Hcl.parse(cases.getFileName().toString(), RulesFile.text(cases));
            read.allow(Set.of("case"));
            int passed = 0;
            int failed = 0;
            for (Map.Entry<String, Hcl> one : read.labelled("case").entrySet()) {
                Map<String, String> wanted = one.getValue().block("expect").texts();
                if (wanted.isEmpty()) {
                    throw one.getValue().wrong("expects nothing");
                }
                Map<String, String> got = outcome(table, one.getValue());
                Map<String, String> wrong = new TreeMap<>();
                for (Map.Entry<String, String> expected : wanted.entrySet()) {
                    if (!got.containsKey(expected.getKey())) {
                        throw one.getValue().wrong("unknown expectation '" + expected.getKey() + "'; there are " + got.keySet());
                    }
                    if (!expected.getValue().equals(got.get(expected.getKey()))) {
                        wrong.put(expected.getKey(), "'" + got.get(expected.getKey()) + "', not '" + expected.getValue() + "'");
                    }
                }
                failed += wrong.isEmpty() ? 0 : 1;
                passed += wrong.isEmpty() ? 1 : 0;
                wrong.forEach((what, how) -> out.println("case \"" + one.getKey() + "\": " + what + " is " + how));
            }
            out.println(passed + " passed, " + failed + " failed");
            return failed > 0 || passed == 0 ? Ledgewall.WRONG : 0;
        }

        private static Map<String, String> outcome(RuleTable table, Hcl block) throws SettingsException {
            // what the router knows of each request, if only that it is empty
            Map<String, String> attributes = new LinkedHashMap<>(Map.of("user", "", "database", "", "comment", ""));
            for (String name : block.names()) {
                if (!name.equals("expect") && !name.equals("sql")) {
                    attributes.put(name, block.text(name));
                }
            }
            Frame frame = ExpressionCommand.frame(table.schema(), attributes);
            if (block.has("sql")) {
                statement(table, frame, block);
            }
            Decision decision = new Decision();
            table.decide(frame, decision);
            Map<String, String> got = new LinkedHashMap<>();
            got.put("rule", decision.matched() ? decision.name() : "none");
            got.put("class", String.valueOf(decision.requestClass()));
            got.put("tenant", String.valueOf(decision.tenant()));
            got.put("group", Long.toString(decision.group()));
            got.put("session", String.valueOf(decision.session()));
            got.put("wait", decision.longestWait() < 0 ? "null" : decision.longestWait() / 1_000_000 + "ms");
            got.put("retry", Boolean.toString(decision.retry()));
            return got;
        }

        private static void statement(RuleTable table, Frame frame, Hcl block) throws SettingsException {
            String sql = block.text("sql");
            SqlSummary summary = SqlSummary.ofText(sql);
            if (summary == null) {
                throw block.wrong("'sql' is no one statement");
            }
            frame.set(table.schema().attribute("sql.text"), sql);
            frame.set(table.schema().attribute("sql.keyword"), summary.keyword());
            frame.set(table.schema().attribute("sql.tables"), summary.tables());
            frame.set(table.schema().attribute("sql.writes"), summary.writes());
        }
    }
}
