package ledgewall.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import ledgewall.expression.ErrorKind;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Program;
import ledgewall.expression.Reference;
import ledgewall.expression.Schema;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code expression} command: checks, evaluates and explains single expressions. */
@Command(name = "expression", mixinStandardHelpOptions = true, description = "Check, evaluate and explain single expressions.",
    subcommands = {ExpressionCommand.Check.class, ExpressionCommand.Eval.class, ExpressionCommand.Explain.class,
        ExpressionCommand.Functions.class})
final class ExpressionCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    private static Program compile(Schema schema, String source) throws SettingsException {
        try {
            return new ExpressionEnvironment(schema, Limits.DEFAULT).compile(source);
        } catch (ExpressionException e) {
            throw new SettingsException(e.formatWithSource("expression", source));
        }
    }

    /** Checks an expression and prints its type. */
    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Say whether an expression is accepted, and its type.",
        footer = {"", "Example:", "  ledgewall expression check \"sql.keyword == 'SELECT' && 'bays' in sql.tables\""})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "EXPRESSION")
        private String source;

        @Override
        public Integer call() throws SettingsException {
            spec.commandLine().getOut().println(compile(Schema.ofRequests(), source).type());
            return 0;
        }
    }

    /** Evaluates an expression for a request that is given by its attributes. */
    @Command(name = "eval", mixinStandardHelpOptions = true, description = "Evaluate an expression for a request.",
        footer = {"", "Lists are written a,b,c and maps k=v,k=v; times as RFC 3339 has them.", "Example:",
            "  ledgewall expression eval \"sql.keyword in ['INSERT'] && user.startsWith('k')\" sql.keyword=INSERT user=kiosk-7"})
    static final class Eval implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "EXPRESSION")
        private String source;

        @Option(names = "--request", paramLabel = "FILE", description = "The request as a JSON object of attributes.")
        private Path requestFile;

        @Parameters(index = "1..*", arity = "0..*", paramLabel = "NAME=VALUE", description = "Attributes of the request.")
        private List<String> attributes = List.of();

        @Override
        public Integer call() throws SettingsException {
            Schema schema = Schema.ofRequests();
            Program program = compile(schema, source);
            Frame frame = new Frame(schema);
            if (requestFile != null) {
                AttributeJson.setAttributes(schema, frame, requestFile.getFileName().toString(), RulesFile.readText(requestFile));
            }
            for (String attribute : attributes) {
                int separator = attribute.indexOf('=');
                if (separator < 0) {
                    throw new SettingsException("expected NAME=VALUE, got: " + attribute);
                }
                AttributeText.setAttribute(schema, frame, attribute.substring(0, separator), attribute.substring(separator + 1));
            }
            Object value = program.evaluate(frame);
            if (value instanceof ErrorKind error) {
                spec.commandLine().getOut().println("error: " + error.name().toLowerCase(Locale.ROOT));
                return Ledgewall.EXIT_FAILURE;
            }
            spec.commandLine().getOut().println(value);
            return 0;
        }
    }

    /** Prints an expression's type, cost bound, plan and index requirements. */
    @Command(name = "explain", mixinStandardHelpOptions = true,
        description = "Show an expression's type, its cost bound, its plan and what an index can find it by.")
    static final class Explain implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "EXPRESSION")
        private String source;

        @Override
        public Integer call() throws SettingsException {
            Schema schema = Schema.ofRequests();
            Program program = compile(schema, source);
            PrintWriter out = spec.commandLine().getOut();
            out.println("type:  " + program.type());
            out.println("bound: " + program.cost() + " of " + Limits.DEFAULT.maxSteps() + " and " + Limits.DEFAULT.maxBytes());
            out.println("plan:");
            Reference.plan(program).forEach(line -> out.println("  " + line));
            out.println("index: " + (program.requirements().isEmpty() ? "none, it is tried for each request"
                : String.join("; ", Reference.requirements(program, schema))));
            return 0;
        }
    }

    /** Lists the attributes, functions and operators of the expression language. */
    @Command(name = "functions", mixinStandardHelpOptions = true, description = "List attributes, functions and operators.")
    static final class Functions implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            Reference.attributeRows(Schema.ofRequests()).forEach(spec.commandLine().getOut()::println);
            spec.commandLine().getOut().println();
            Reference.functionRows().forEach(spec.commandLine().getOut()::println);
            return 0;
        }
    }

    /** Creates a frame from the names and textual values of attributes. */
    static Frame toFrame(Schema schema, Map<String, String> attributes) throws SettingsException {
        Frame frame = new Frame(schema);
        for (Map.Entry<String, String> attribute : attributes.entrySet()) {
            AttributeText.setAttribute(schema, frame, attribute.getKey(), attribute.getValue());
        }
        return frame;
    }
}
