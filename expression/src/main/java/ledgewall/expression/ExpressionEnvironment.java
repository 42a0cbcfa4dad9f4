package ledgewall.expression;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/**
 * Compiles expressions against a schema. Expressions of one environment can refer by name to those defined before them, and use
 * one layout of slots in a frame.
 */
public final class ExpressionEnvironment {
    private final Schema schema;
    private final Limits limits;
    private final Map<String, Node.SharedExpression> namedExpressions = new LinkedHashMap<>();
    private final Compiler compiler = new Compiler();
    /** The number of variable slots that the expressions compiled so far use. */
    private int variableSlots;

    public ExpressionEnvironment(Schema schema, Limits limits) {
        this.schema = schema;
        this.limits = limits;
    }

    public Schema schema() {
        return schema;
    }

    /** Compiles an expression that later ones can refer to by name. It is evaluated at most once for a request. */
    public Program define(String name, String source) throws ExpressionException {
        if (!name.matches("[A-Za-z_][A-Za-z0-9_]*") || schema.attribute(name) != null || namedExpressions.containsKey(name)) {
            throw new ExpressionException(new Position(1, 1), "'" + name + "' is not a valid name or is already in use");
        }
        Program program = compile(source);
        namedExpressions.put(name, new Node.SharedExpression(namedExpressions.size(), name, program.node(), new Position(1, 1)));
        return program;
    }

    public Program compile(String source) throws ExpressionException {
        GrammarParser.SourceContext tree = parse(source);
        TypeChecker checker = new TypeChecker(schema, namedExpressions, limits, variableSlots);
        Node node = checker.check(tree.expression());
        Cost cost = Cost.of(node);
        if (cost.steps() > limits.maxSteps() || cost.bytes() > limits.maxBytes()) {
            throw new ExpressionException(node.position(), "can take " + cost + "; the limit is " + limits.maxSteps()
                + " steps and " + limits.maxBytes() + " bytes");
        }
        variableSlots = checker.nextSlot();
        return new Program(source, node, cost, compiler.compile(node), namedExpressions.size(), variableSlots, this);
    }

    /**
     * Recompiles expressions of this environment so that subexpressions that several of them have in common are evaluated once
     * for a request. Results stay the same. An expression whose cost bound would then exceed the limit is returned unchanged.
     */
    public List<Program> shareCommonSubexpressions(List<Program> programs) {
        CommonSubexpressions subexpressions = new CommonSubexpressions(programs.stream().map(Program::node).toList(),
            namedExpressions.size());
        List<Node> nodes = programs.stream().map(program -> subexpressions.share(program.node())).toList();
        List<Program> recompiled = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            Cost cost = Cost.of(nodes.get(i));
            boolean withinLimits = cost.steps() <= limits.maxSteps() && cost.bytes() <= limits.maxBytes();
            recompiled.add(!withinLimits ? programs.get(i) : new Program(programs.get(i).source(), nodes.get(i), cost,
                compiler.compile(nodes.get(i)), subexpressions.slotCount(), variableSlots, this));
        }
        return recompiled;
    }

    private GrammarParser.SourceContext parse(String source) throws ExpressionException {
        if (source.length() > limits.maxSourceChars()) {
            throw new ExpressionException(new Position(1, 1), "the expression has " + source.length()
                + " characters; at most " + limits.maxSourceChars() + " are allowed");
        }
        GrammarLexer lexer = new GrammarLexer(CharStreams.fromString(source));
        FirstErrorListener errorListener = new FirstErrorListener();
        lexer.removeErrorListeners();
        lexer.addErrorListener(errorListener);
        try {
            CommonTokenStream tokens = new CommonTokenStream(lexer);
            tokens.fill();
            checkTokens(tokens);
            GrammarParser parser = new GrammarParser(tokens);
            parser.removeErrorListeners();
            parser.addErrorListener(errorListener);
            return parser.source();
        } catch (ParseCancellationException e) {
            throw errorListener.error;
        }
    }

    /** Rejects deep nesting and unrecognized characters before parsing, because the parser recurses for each nested level. */
    private void checkTokens(CommonTokenStream tokens) throws ExpressionException {
        int bracketDepth = 0;
        int consecutiveSigns = 0;
        int conditionals = 0;
        int count = 0;
        for (Token token : tokens.getTokens()) {
            int type = token.getType();
            Position position = new Position(token.getLine(), token.getCharPositionInLine() + 1);
            if (type == GrammarLexer.UNRECOGNIZED) {
                throw new ExpressionException(position, "unexpected " + describe(token.getText()));
            }
            bracketDepth += type == GrammarLexer.LPAREN || type == GrammarLexer.LBRACKET || type == GrammarLexer.LBRACE ? 1
                : type == GrammarLexer.RPAREN || type == GrammarLexer.RBRACKET || type == GrammarLexer.RBRACE ? -1 : 0;
            consecutiveSigns = token.getText().equals("!") || token.getText().equals("-") ? consecutiveSigns + 1 : 0;
            conditionals += type == GrammarLexer.QUESTION ? 1 : 0;
            if (Math.max(Math.max(bracketDepth, consecutiveSigns), conditionals) > limits.maxNesting()) {
                throw new ExpressionException(position, "more than " + limits.maxNesting()
                    + " nested brackets, unary operators or conditionals");
            }
            if (++count > limits.maxTokens()) {
                throw new ExpressionException(position, "more than " + limits.maxTokens() + " tokens");
            }
        }
    }

    private static String describe(String token) {
        int c = token.codePointAt(0);
        return Character.isISOControl(c) || Character.isSurrogate(token.charAt(0)) && token.length() == 1
            ? String.format("character U+%04X", c) : "'" + token + "'";
    }

    /** Aborts parsing at the first syntax error and keeps it. */
    private static final class FirstErrorListener extends BaseErrorListener {
        private ExpressionException error;

        @Override
        public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                RecognitionException cause) {
            String reason = symbol instanceof Token token && token.getType() == Token.EOF ? "unexpected end of expression"
                : symbol instanceof Token token ? "unexpected " + describe(token.getText()) : "unexpected character";
            error = new ExpressionException(new Position(line, column + 1), reason);
            throw new ParseCancellationException(error);
        }
    }
}
