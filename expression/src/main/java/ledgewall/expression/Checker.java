package ledgewall.expression;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import ledgewall.expression.Function.Form;
import ledgewall.expression.GrammarParser.ArgumentsContext;
import ledgewall.expression.GrammarParser.ExpressionContext;
import ledgewall.expression.GrammarParser.LiteralContext;
import ledgewall.expression.GrammarParser.MemberContext;
import ledgewall.expression.GrammarParser.PostfixContext;
import ledgewall.expression.Type.Kind;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Gives each part of a parsed expression its type, its size and its meaning, or refuses it. Parts that are constant are
 * computed here, so that no evaluation finds their errors.
 */
final class Checker {
    private static final Map<String, Node.Macro> MACROS = Map.of("all", Node.Macro.ALL, "exists", Node.Macro.EXISTS,
        "exists_one", Node.Macro.EXISTS_ONE, "filter", Node.Macro.FILTER, "map", Node.Macro.MAP);
    /** Names that differ by more are no slip of the keyboard. */
    private static final int SLIPS = 3;

    private final Schema schema;
    private final Map<String, Node.Shared> named;
    private final Limits limits;
    private final Map<String, Node.Variable> scope = new HashMap<>();
    private int slots;

    /** Comprehensions take slots from the first one given on: those of expressions that share a frame differ. */
    Checker(Schema schema, Map<String, Node.Shared> named, Limits limits, int firstSlot) {
        this.slots = firstSlot;
        this.schema = schema;
        this.named = named;
        this.limits = limits;
    }

    /** The first slot that is free. */
    int slots() {
        return slots;
    }

    Node check(ExpressionContext tree) throws ExpressionException {
        return expression(tree, 0);
    }

    private static Position at(Token token) {
        return new Position(token.getLine(), token.getCharPositionInLine() + 1);
    }

    private static Position at(ParserRuleContext tree) {
        return at(tree.getStart());
    }

    private static ExpressionException refuse(Position at, String reason) {
        return new ExpressionException(at, reason);
    }

    private int deeper(ParserRuleContext tree, int depth) throws ExpressionException {
        if (depth >= limits.depth()) {
            throw refuse(at(tree), "nested deeper than " + limits.depth() + " levels");
        }
        return depth + 1;
    }

    // ---- From the conditional down to what has postfixes

    private Node expression(ExpressionContext tree, int depth) throws ExpressionException {
        int inner = deeper(tree, depth);
        Node condition = logic(tree.or(0), inner);
        if (tree.QUESTION() == null) {
            return condition;
        }
        Node yes = logic(tree.or(1), inner);
        Node no = expression(tree.expression(), inner);
        if (condition.type() != Type.BOOL) {
            throw refuse(condition.at(), "a condition is a bool, this is " + condition.type());
        }
        if (!yes.type().equals(no.type())) {
            throw refuse(no.at(), "both branches have one type, these are " + yes.type() + " and " + no.type());
        }
        if (condition instanceof Node.Constant constant) {
            return (Boolean) constant.value() ? yes : no;
        }
        return new Node.Choice(condition, yes, no, yes.type(), yes.size().or(no.size()), condition.at());
    }

    private Node logic(GrammarParser.OrContext tree, int depth) throws ExpressionException {
        List<Node> parts = new ArrayList<>();
        for (GrammarParser.AndContext part : tree.and()) {
            List<Node> all = new ArrayList<>();
            for (GrammarParser.RelationContext relation : part.relation()) {
                all.add(relation(relation, depth));
            }
            parts.add(logic(true, all));
        }
        return logic(false, parts);
    }

    /** Constant parts decide or go. */
    private Node logic(boolean all, List<Node> parts) throws ExpressionException {
        if (parts.size() == 1) {
            return parts.get(0);
        }
        List<Node> left = new ArrayList<>();
        Node decisive = null;
        for (Node part : parts) {
            if (part.type() != Type.BOOL) {
                throw refuse(part.at(), (all ? "&&" : "||") + " takes bools, this is " + part.type());
            }
            if (!(part instanceof Node.Constant constant)) {
                left.add(part);
            } else if ((Boolean) constant.value() != all) {
                decisive = part;
            }
        }
        return decisive != null ? decisive : left.isEmpty() ? parts.get(0)
            : left.size() == 1 ? left.get(0) : new Node.Logic(all, List.copyOf(left), parts.get(0).at());
    }

    private Node relation(GrammarParser.RelationContext tree, int depth) throws ExpressionException {
        Node left = sum(tree.sum(0), depth);
        return tree.op == null ? left : operator(tree.op.getText(), at(tree.op), left, sum(tree.sum(1), depth));
    }

    private Node sum(GrammarParser.SumContext tree, int depth) throws ExpressionException {
        Node left = product(tree.product(0), depth);
        for (int i = 1; i < tree.product().size(); i++) {
            left = chained(tree.getChild(2 * i - 1), left, product(tree.product(i), depth), depth + i, tree);
        }
        return left;
    }

    private Node product(GrammarParser.ProductContext tree, int depth) throws ExpressionException {
        Node left = unary(tree.unary(0), depth);
        for (int i = 1; i < tree.unary().size(); i++) {
            left = chained(tree.getChild(2 * i - 1), left, unary(tree.unary(i), depth), depth + i, tree);
        }
        return left;
    }

    private Node chained(ParseTree sign, Node left, Node right, int depth, ParserRuleContext tree) throws ExpressionException {
        deeper(tree, depth);
        return operator(sign.getText(), at(((TerminalNode) sign).getSymbol()), left, right);
    }

    private Node unary(GrammarParser.UnaryContext tree, int depth) throws ExpressionException {
        int signs = tree.getChildCount() - 1;
        boolean negates = signs > 0 && tree.getChild(signs - 1).getText().equals("-");
        TerminalNode number = negates ? lone(tree.postfix()) : null;
        Node value;
        if (number != null) {
            value = integer("-" + number.getText(), at(number.getSymbol()));
            signs--;
        } else {
            value = postfix(tree.postfix(), depth);
        }
        for (int i = signs - 1; i >= 0; i--) {
            value = operator(tree.getChild(i).getText(), at(((TerminalNode) tree.getChild(i)).getSymbol()), value);
        }
        return value;
    }

    /** An integer that stands by itself: its sign belongs to it, as the smallest has no positive. */
    private static TerminalNode lone(PostfixContext tree) {
        return tree.getChildCount() == 1 && tree.primary() instanceof GrammarParser.ConstantContext constant
            ? constant.literal().INTEGER() : null;
    }

    private Node operator(String name, Position at, Node... operands) throws ExpressionException {
        return call(name, Form.OPERATOR, at, List.of(operands));
    }

    // ---- Names, members, indexes

    private Node postfix(PostfixContext tree, int depth) throws ExpressionException {
        List<ParseTree> tail = new ArrayList<>(tree.children.subList(1, tree.children.size()));
        deeper(tree, depth + tail.size());
        Node value = tree.primary() instanceof GrammarParser.NameOrCallContext name && name.LPAREN() == null
            ? name(name.NAME().getSymbol(), tail) : primary(tree.primary(), depth);
        for (ParseTree part : tail) {
            if (part instanceof GrammarParser.IndexContext index) {
                Node key = expression(index.expression(), depth + 1);
                value = call(index.QUESTION() == null ? "[]" : "[?]", Form.OPERATOR, at(index), List.of(value, key));
            } else {
                value = member(value, (MemberContext) part, depth);
            }
        }
        return value;
    }

    /** The longest name that is one; parts of it are taken off the tail. */
    private Node name(Token first, List<ParseTree> tail) throws ExpressionException {
        Node.Variable variable = scope.get(first.getText());
        if (variable != null) {
            return new Node.Variable(variable.slot(), variable.name(), variable.type(), variable.size(), at(first));
        }
        List<String> names = new ArrayList<>(List.of(first.getText()));
        for (ParseTree part : tail) {
            if (!(part instanceof MemberContext member) || member.LPAREN() != null) {
                break;
            }
            names.add(names.get(names.size() - 1) + "." + member.NAME().getText());
        }
        for (int parts = names.size(); parts > 0; parts--) {
            String name = names.get(parts - 1);
            Schema.Attribute attribute = schema.attribute(name);
            Node.Shared shared = named.get(name);
            if (attribute != null || shared != null) {
                tail.subList(0, parts - 1).clear();
                return attribute != null
                    ? new Node.Attribute(attribute.index(), name, attribute.type(), attribute.size(), at(first))
                    : new Node.Shared(shared.slot(), name, shared.body(), at(first));
            }
        }
        Set<String> known = new HashSet<>(schema.names());
        known.addAll(named.keySet());
        known.addAll(scope.keySet());
        throw refuse(at(first), "unknown name '" + names.get(names.size() - 1) + "'" + meant(names, known));
    }

    private static String meant(Collection<String> written, Collection<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(SLIPS);
        return written.stream().flatMap(word -> known.stream().filter(k -> distance.apply(word, k) >= 0)
                .map(k -> Map.entry(distance.apply(word, k), k)))
            .min(Map.Entry.<Integer, String>comparingByKey().thenComparing(Map.Entry.comparingByValue()))
            .map(nearest -> "; did you mean '" + nearest.getValue() + "'?").orElse("");
    }

    private Node primary(GrammarParser.PrimaryContext tree, int depth) throws ExpressionException {
        if (tree instanceof GrammarParser.ConstantContext constant) {
            return literal(constant.literal());
        }
        if (tree instanceof GrammarParser.ParenthesizedContext brackets) {
            return expression(brackets.expression(), depth);
        }
        if (tree instanceof GrammarParser.NameOrCallContext function) {
            return call(function.NAME().getText(), Form.FUNCTION, at(function), arguments(function.arguments(), depth));
        }
        return tree instanceof GrammarParser.ListContext list ? list(list, depth) : map((GrammarParser.MapContext) tree, depth);
    }

    private List<Node> arguments(ArgumentsContext tree, int depth) throws ExpressionException {
        List<Node> all = new ArrayList<>();
        if (tree != null) {
            for (ExpressionContext argument : tree.expression()) {
                all.add(expression(argument, depth + 1));
            }
        }
        return all;
    }

    private Node member(Node value, MemberContext tree, int depth) throws ExpressionException {
        String name = tree.NAME().getText();
        Position at = at(tree.NAME().getSymbol());
        if (tree.LPAREN() == null) {
            if (value.type().kind() != Kind.MAP) {
                throw refuse(at, value.type() + " has no part '" + name + "'");
            }
            return call("[]", Form.OPERATOR, at, List.of(value, constant(name, Type.STRING, at)));
        }
        Node.Macro macro = MACROS.get(name);
        if (macro != null) {
            return loop(macro, value, tree, depth);
        }
        List<Node> all = new ArrayList<>(List.of(value));
        all.addAll(arguments(tree.arguments(), depth));
        return call(name, Form.METHOD, at, all);
    }

    private Node loop(Node.Macro macro, Node range, MemberContext tree, int depth) throws ExpressionException {
        String called = tree.NAME().getText();
        Position at = at(tree.NAME().getSymbol());
        if (range.type().kind() != Kind.LIST) {
            throw refuse(at, "'" + called + "' goes over a list, this is " + range.type());
        }
        List<ExpressionContext> arguments = tree.arguments() == null ? List.of() : tree.arguments().expression();
        String name = arguments.size() == 2 ? arguments.get(0).getText() : "";
        if (!name.matches("[A-Za-z_][A-Za-z0-9_]*") || name.equals("true") || name.equals("false")) {
            throw refuse(at, "'" + called + "' takes a new name and what is asked of each element, as in "
                + "tables." + called + "(t, t == 'facts')");
        }
        if (scope.containsKey(name)) {
            throw refuse(at(arguments.get(0)), "'" + name + "' is another element's name already");
        }
        int slot = slots++;
        scope.put(name, new Node.Variable(slot, name, range.type().of(), range.size().of(), at));
        Node body = expression(arguments.get(1), depth + 1);
        scope.remove(name);
        if (macro != Node.Macro.MAP && body.type() != Type.BOOL) {
            throw refuse(body.at(), "'" + called + "' asks a bool of each element, this is " + body.type());
        }
        Type type = macro == Node.Macro.MAP ? Type.listOf(body.type()) : macro == Node.Macro.FILTER ? range.type() : Type.BOOL;
        Size size = macro == Node.Macro.MAP ? Size.list(range.size().count(), body.size())
            : macro == Node.Macro.FILTER ? range.size() : Size.ONE;
        return new Node.Loop(macro, range, slot, body, type, size, at);
    }

    // ---- Calls

    private Node call(String name, Form form, Position at, List<Node> arguments) throws ExpressionException {
        List<Function> candidates = Functions.named(name, form);
        if (candidates.isEmpty()) {
            Set<String> known = new TreeSet<>();
            Functions.all().stream().filter(f -> f.form() == form).forEach(f -> known.add(f.name()));
            known.addAll(form == Form.METHOD ? MACROS.keySet() : Set.of());
            throw refuse(at, "unknown " + (form == Form.METHOD ? "method" : "function") + " '" + name + "'"
                + meant(List.of(name), known));
        }
        List<Type> types = arguments.stream().map(Node::type).toList();
        for (Function function : candidates) {
            Type type = function.arity() == types.size() ? function.typing().of(types) : null;
            if (type != null) {
                return call(function, type, at, arguments);
            }
        }
        String wanted = candidates.stream().map(Function::signature).distinct().reduce((a, b) -> a + "; " + b).orElse("");
        throw refuse(at, "no '" + name + "' for " + types.stream().map(Type::toString).reduce((a, b) -> a + " and " + b)
            .orElse("nothing") + "; there is " + wanted);
    }

    private Node call(Function function, Type type, Position at, List<Node> arguments) throws ExpressionException {
        Object[] constants = arguments.stream()
            .map(node -> node instanceof Node.Constant constant ? constant.value() : null).toArray();
        String problem = function.check().problem(constants);
        if (problem != null) {
            throw refuse(arguments.get(Math.min(1, arguments.size() - 1)).at(), problem);
        }
        List<Node> prepared = new ArrayList<>(arguments);
        if (Functions.takesPattern(function)) {
            Pattern pattern = Pattern.compile((String) constants[1]);
            prepared.set(1, new Node.Constant(pattern, Type.STRING, Size.chars(pattern.programSize()), arguments.get(1).at()));
        } else if (function.name().equals("inCidr")) {
            prepared.set(1, new Node.Constant(Texts.range((String) constants[1]), Type.STRING, Size.ONE, arguments.get(1).at()));
        }
        Size size = function.sizing().of(prepared.stream().map(Node::size).toList());
        Node.Call call = new Node.Call(function, List.copyOf(prepared), type, size, at);
        return prepared.stream().allMatch(Node.Constant.class::isInstance) ? fold(call) : call;
    }

    private Node fold(Node node) throws ExpressionException {
        Cost cost = Cost.of(node);
        if (cost.steps() > limits.steps() || cost.bytes() > limits.bytes()) {
            throw refuse(node.at(), "a constant that takes " + cost + " to compute");
        }
        Object value = new Interpreter(null, new Object[0]).value(node);
        if (value instanceof ErrorKind error) {
            throw refuse(node.at(), "a constant that is an error: " + error.name().toLowerCase(java.util.Locale.ROOT)
                .replace('_', ' '));
        }
        return constant(value, node.type(), node.at());
    }

    private static Node constant(Object value, Type type, Position at) {
        return new Node.Constant(value, type, Values.measure(value), at);
    }

    // ---- Constants, lists and maps

    private Node literal(LiteralContext tree) throws ExpressionException {
        Token token = tree.getStart();
        Position at = at(token);
        String text = token.getText();
        return switch (token.getType()) {
            case GrammarParser.TRUE, GrammarParser.FALSE -> constant(token.getType() == GrammarParser.TRUE, Type.BOOL, at);
            case GrammarParser.INTEGER -> integer(text, at);
            case GrammarParser.FLOAT -> {
                double value = Double.parseDouble(text);
                if (Double.isInfinite(value)) {
                    throw refuse(at, "a double beyond the largest");
                }
                yield constant(value, Type.DOUBLE, at);
            }
            case GrammarParser.STRING -> constant(Literals.string(text, at), Type.STRING, at);
            default -> constant(Literals.bytes(text, at), Type.BYTES, at);
        };
    }

    private static Node integer(String text, Position at) throws ExpressionException {
        try {
            return constant(text.contains("0x") ? Long.parseLong(text.replace("0x", ""), 16) : Long.parseLong(text), Type.INT,
                at);
        } catch (NumberFormatException e) {
            throw refuse(at, "an integer beyond 64 bits");
        }
    }

    private Node list(GrammarParser.ListContext tree, int depth) throws ExpressionException {
        List<Node> elements = arguments(tree.arguments(), depth);
        if (elements.isEmpty()) {
            throw refuse(at(tree), "a list without elements has no type");
        }
        oneType("list", elements);
        Size inner = elements.stream().map(Node::size).reduce(Size::or).orElseThrow();
        Node.ListOf list = new Node.ListOf(List.copyOf(elements), Type.listOf(elements.get(0).type()),
            Size.list(elements.size(), inner), at(tree));
        return elements.stream().allMatch(Node.Constant.class::isInstance) ? fold(list) : list;
    }

    private Node map(GrammarParser.MapContext tree, int depth) throws ExpressionException {
        if (tree.entry().isEmpty()) {
            throw refuse(at(tree), "a map without entries has no type");
        }
        List<String> keys = new ArrayList<>();
        List<Node> values = new ArrayList<>();
        for (GrammarParser.EntryContext entry : tree.entry()) {
            Node key = expression(entry.expression(0), depth + 1);
            if (!(key instanceof Node.Constant constant) || key.type() != Type.STRING) {
                throw refuse(key.at(), "a map's keys are constant strings");
            }
            if (keys.contains(constant.value())) {
                throw refuse(key.at(), "a key that stands before already");
            }
            keys.add((String) constant.value());
            values.add(expression(entry.expression(1), depth + 1));
        }
        oneType("map", values);
        Size inner = values.stream().map(Node::size).reduce(Size::or).orElseThrow();
        long longest = keys.stream().map(String::length).max(Comparator.naturalOrder()).orElse(0);
        Node.MapOf map = new Node.MapOf(List.copyOf(keys), List.copyOf(values), Type.mapOf(values.get(0).type()),
            Size.map(keys.size(), longest, inner), at(tree));
        return values.stream().allMatch(Node.Constant.class::isInstance) ? fold(map) : map;
    }

    private static void oneType(String what, List<Node> parts) throws ExpressionException {
        for (Node part : parts) {
            if (!part.type().equals(parts.get(0).type())) {
                throw refuse(part.at(), "a " + what + " holds one type, this is " + part.type() + " beside "
                    + parts.get(0).type());
            }
        }
    }
}
