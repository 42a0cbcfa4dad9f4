package ledgewall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.Service;
import ledgewall.net.RouterConfig;
import ledgewall.settings.FormatException;
import ledgewall.simhost.SimHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The main class of the full command line. */
@Command(name = "ledgewall", mixinStandardHelpOptions = true, version = "ledgewall 0.1.0",
    description = "A gateway that spreads reads over replicas and sends writes to the primary.",
    subcommands = {Ledgewall.Serve.class, Ledgewall.Simhost.class, Ledgewall.Check.class, ExpressionCommand.class,
        RulesCommand.class, AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class},
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done, or all is well", "1:it failed, or something is wrong with what was checked", "2:wrong usage"})
public final class Ledgewall implements Callable<Integer> {
    static final int EXIT_FAILURE = 1;
    private static final Logger LOG = LoggerFactory.getLogger(Ledgewall.class);

    @Spec
    private CommandSpec spec;

    private Ledgewall() {
    }

    public static void main(String[] args) {
        int status = commandLine().execute(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Creates the command line. Errors in settings and files are printed as one line, without a stack trace. */
    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Ledgewall());
        commandLine.setExecutionExceptionHandler((e, command, result) -> {
            String reason = e instanceof IOException io ? Service.describe(io) : e.getMessage();
            if (!(e instanceof IOException || e instanceof SettingsException || e instanceof FormatException)) {
                throw e;
            }
            command.getErr().println("ledgewall: " + reason);
            return EXIT_FAILURE;
        });
        return commandLine;
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    /** Runs one router. */
    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Run one router until it is told to end.",
        footer = {"", "Examples:", "  ledgewall serve router.json", "  ledgewall serve --rules deploy/rules.hcl router.json", "",
            "SIGHUP reads both files anew; SIGTERM drains."})
    static final class Serve implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "CONFIG", defaultValue = "${ROUTER_CONFIG}",
            description = "The router's configuration in JSON; else the file that ROUTER_CONFIG names.")
        private Path config;

        @Option(names = "--rules", paramLabel = "FILE",
            description = "Rules in HCL that say what statements without the comment are.")
        private Path rules;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (config == null) {
                throw new FormatException("no CONFIG given, and ROUTER_CONFIG is not set");
            }
            new Service(config, rules, rules == null ? null : (routerConfig, previous) -> {
                try {
                    RulesFile file = RulesFile.read(rules, RulesCommand.classNames(routerConfig));
                    file.table().warnings().forEach(warning -> LOG.atWarn().addKeyValue("file", rules).log(warning));
                    LOG.atInfo().addKeyValue("file", rules).addKeyValue("rules", file.table().size()).log("rules are read");
                    if (previous instanceof RuleClassifier previousClassifier) {
                        LOG.atInfo().addKeyValue("matches", previousClassifier.matchCounts()).log("the rules before are over");
                    }
                    return new RuleClassifier(file, routerConfig, (RuleClassifier) previous);
                } catch (SettingsException e) {
                    throw new FormatException(e.getMessage());
                }
            }).run();
            return 0;
        }
    }

    /** Serves routing decisions to a simulator on standard input and output. */
    @Command(name = "simhost", mixinStandardHelpOptions = true,
        description = "Decide for a simulator's instances, on standard input and output.")
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            new SimHost(ReplicaRoutingPolicy::new).serve(System.in, System.out);
            return 0;
        }
    }

    /** Checks configuration and rules files. */
    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Check settings: a router's configuration (.json) and, against the one before them, rules (.hcl).",
        footer = {"", "Example:", "  ledgewall check router.json deploy/rules.hcl"})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            RouterConfig routerConfig = null;
            int exitCode = 0;
            for (Path file : files) {
                try {
                    if (file.toString().endsWith(".json")) {
                        routerConfig = RouterConfig.read(file);
                        out.println(file + ": ok, " + routerConfig.vocabulary().classes().size() + " classes, "
                            + routerConfig.knownList().members().size() + " members known");
                    } else {
                        RulesFile rules = RulesFile.read(file, RulesCommand.classNames(routerConfig));
                        rules.table().warnings().forEach(warning -> out.println(file + ": warning: " + warning));
                        out.println(file + ": ok, " + rules.table().size() + " rules");
                    }
                } catch (SettingsException | FormatException e) {
                    out.println(e.getMessage());
                    exitCode = EXIT_FAILURE;
                } catch (IOException e) {
                    out.println(Service.describe(e));
                    exitCode = EXIT_FAILURE;
                }
            }
            return exitCode;
        }
    }
}
