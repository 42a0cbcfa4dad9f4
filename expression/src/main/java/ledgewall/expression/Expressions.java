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
 * Accepts expressions over one schema, or refuses them with the place and the reason. Those accepted by one object can name one
 * another, each those before it, and share a frame.
 */
public final class Expressions {
    private final Schema schema;
    private final Limits limits;
    private final Map<String, Node.Shared> named = new LinkedHashMap<>();
    private final Compiler compiler = new Compiler();
    private int slots;

    public Expressions(Schema schema, Limits limits) {
        this.schema = schema;
        this.limits = limits;
    }

    public Schema schema() {
        return schema;
    }

    /** Accepts an expression that later ones can name. In one evaluation it is computed once at most. */
    public Program define(String name, String source) throws ExpressionException {
        if (!name.matches("[A-Za-z_][A-Za-z0-9_]*") || schema.attribute(name) != null || named.containsKey(name)) {
            throw new ExpressionException(new Position(1, 1), "'" + name + "' is no name, or names something already");
        }
        Program program = compile(source);
        named.put(name, new Node.Shared(named.size(), name, program.node(), new Position(1, 1)));
        return program;
    }

    /** Accepts an expression. */
    public Program compile(String source) throws ExpressionException {
        GrammarParser.SourceContext tree = parse(source);
        Checker checker = new Checker(schema, named, limits, slots);
        Node node = checker.check(tree.expression());
        Cost cost = Cost.of(node);
        if (cost.steps() > limits.steps() || cost.bytes() > limits.bytes()) {
            throw new ExpressionException(node.at(), "can take " + cost + ", " + limits.steps() + " steps and "
                + limits.bytes() + " bytes at most");
        }
        slots = checker.slots();
        return new Program(source, node, cost, compiler.compile(node), named.size(), slots, this);
    }

    /**
     * The same expressions, accepted by this object, with what several of them say alike computed once for a request. They
     * say what they said before; one whose bound would pass the limit by that stays as it is.
     */
    public List<Program> share(List<Program> programs) {
        Sharing sharing = new Sharing(programs.stream().map(Program::node).toList(), named.size());
        List<Node> nodes = programs.stream().map(program -> sharing.share(program.node())).toList();
        List<Program> shared = new ArrayList<>();
        for (int i = 0; i < nodes.size(); i++) {
            Cost cost = Cost.of(nodes.get(i));
            boolean fits = cost.steps() <= limits.steps() && cost.bytes() <= limits.bytes();
            shared.add(!fits ? programs.get(i) : new Program(programs.get(i).source(), nodes.get(i), cost,
                compiler.compile(nodes.get(i)), sharing.slots(), slots, this));
        }
        return shared;
    }

    private GrammarParser.SourceContext parse(String source) throws ExpressionException {
        if (source.length() > limits.source()) {
            throw new ExpressionException(new Position(1, 1), "a source of " + source.length() + " characters, "
                + limits.source() + " at most");
        }
        GrammarLexer lexer = new GrammarLexer(CharStreams.fromString(source));
        Refusal refusal = new Refusal();
        lexer.removeErrorListeners();
        lexer.addErrorListener(refusal);
        try {
            CommonTokenStream tokens = new CommonTokenStream(lexer);
            tokens.fill();
            look(tokens);
            GrammarParser parser = new GrammarParser(tokens);
            parser.removeErrorListeners();
            parser.addErrorListener(refusal);
            return parser.source();
        } catch (ParseCancellationException e) {
            throw refusal.told;
        }
    }

    /** Whatever would make the parser go deep is refused before it begins. */
    private void look(CommonTokenStream tokens) throws ExpressionException {
        int depth = 0;
        int signs = 0;
        int conditionals = 0;
        int count = 0;
        for (Token token : tokens.getTokens()) {
            int type = token.getType();
            Position at = new Position(token.getLine(), token.getCharPositionInLine() + 1);
            if (type == GrammarLexer.UNRECOGNIZED) {
                throw new ExpressionException(at, "unexpected " + shown(token.getText()));
            }
            depth += type == GrammarLexer.LPAREN || type == GrammarLexer.LBRACKET || type == GrammarLexer.LBRACE ? 1
                : type == GrammarLexer.RPAREN || type == GrammarLexer.RBRACKET || type == GrammarLexer.RBRACE ? -1 : 0;
            signs = token.getText().equals("!") || token.getText().equals("-") ? signs + 1 : 0;
            conditionals += type == GrammarLexer.QUESTION ? 1 : 0;
            if (Math.max(Math.max(depth, signs), conditionals) > limits.nesting()) {
                throw new ExpressionException(at, "more than " + limits.nesting() + " brackets, signs or conditionals nested");
            }
            if (++count > limits.tokens()) {
                throw new ExpressionException(at, "more than " + limits.tokens() + " words and signs");
            }
        }
    }

    private static String shown(String text) {
        int c = text.codePointAt(0);
        return Character.isISOControl(c) || Character.isSurrogate(text.charAt(0)) && text.length() == 1
            ? String.format("character U+%04X", c) : "'" + text + "'";
    }

    /** Ends at the first complaint. */
    private static final class Refusal extends BaseErrorListener {
        private ExpressionException told;

        @Override
        public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                RecognitionException cause) {
            String reason = symbol instanceof Token token && token.getType() == Token.EOF ? "ends too early"
                : symbol instanceof Token token ? "unexpected " + shown(token.getText()) : "unexpected character";
            told = new ExpressionException(new Position(line, column + 1), reason);
            throw new ParseCancellationException(told);
        }
    }
}
