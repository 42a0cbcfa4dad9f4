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
 * Turns a parse tree into typed nodes with maximum sizes, resolves names and overloads, and rejects expressions that are not well
 * typed. Constant subexpressions are folded here, so that their errors are reported at load and not at evaluation.
 */
final class TypeChecker {
    private static final Map<String, Node.Macro> MACROS = Map.of("all", Node.Macro.ALL, "exists", Node.Macro.EXISTS,
        "exists_one", Node.Macro.EXISTS_ONE, "filter", Node.Macro.FILTER, "map", Node.Macro.MAP);
    /** Maximum edit distance, in characters, at which a known name is suggested for an unknown one. */
    private static final int MAX_TYPO_DISTANCE = 3;

    private final Schema schema;
    private final Map<String, Node.SharedExpression> namedExpressions;
    private final Limits limits;
    private final Map<String, Node.Variable> loopVariables = new HashMap<>();
    /** The first free variable slot. */
    private int nextSlot;

    /** Comprehensions use slots from {@code firstSlot} on: expressions that use the same frame must not use the same slots. */
    TypeChecker(Schema schema, Map<String, Node.SharedExpression> namedExpressions, Limits limits, int firstSlot) {
        this.nextSlot = firstSlot;
        this.schema = schema;
        this.namedExpressions = namedExpressions;
        this.limits = limits;
    }

    /** The first variable slot that is free after the expressions checked so far. */
    int nextSlot() {
        return nextSlot;
    }

    Node check(ExpressionContext tree) throws ExpressionException {
        return expression(tree, 0);
    }

    private static Position positionOf(Token token) {
        return new Position(token.getLine(), token.getCharPositionInLine() + 1);
    }

    private static Position positionOf(ParserRuleContext tree) {
        return positionOf(tree.getStart());
    }

    private static ExpressionException error(Position position, String reason) {
        return new ExpressionException(position, reason);
    }

    /** Returns the depth of the next level; throws if it exceeds the limit. */
    private int checkDepth(ParserRuleContext tree, int depth) throws ExpressionException {
        if (depth >= limits.maxDepth()) {
            throw error(positionOf(tree), "nested deeper than " + limits.maxDepth() + " levels");
        }
        return depth + 1;
    }

    // ---- Operators, by increasing precedence

    private Node expression(ExpressionContext tree, int depth) throws ExpressionException {
        int innerDepth = checkDepth(tree, depth);
        Node condition = logical(tree.or(0), innerDepth);
        if (tree.QUESTION() == null) {
            return condition;
        }
        Node whenTrue = logical(tree.or(1), innerDepth);
        Node whenFalse = expression(tree.expression(), innerDepth);
        if (condition.type() != Type.BOOL) {
            throw error(condition.position(), "a condition must be a bool, but this is " + condition.type());
        }
        if (!whenTrue.type().equals(whenFalse.type())) {
            throw error(whenFalse.position(), "both branches must have the same type, but these are " + whenTrue.type()
                + " and " + whenFalse.type());
        }
        if (condition instanceof Node.Constant constant) {
            return (Boolean) constant.value() ? whenTrue : whenFalse;
        }
        return new Node.Conditional(condition, whenTrue, whenFalse, whenTrue.type(), whenTrue.size().max(whenFalse.size()),
            condition.position());
    }

    private Node logical(GrammarParser.OrContext tree, int depth) throws ExpressionException {
        List<Node> disjuncts = new ArrayList<>();
        for (GrammarParser.AndContext conjunction : tree.and()) {
            List<Node> conjuncts = new ArrayList<>();
            for (GrammarParser.RelationContext relation : conjunction.relation()) {
                conjuncts.add(relation(relation, depth));
            }
            disjuncts.add(logical(true, conjuncts));
        }
        return logical(false, disjuncts);
    }

    /** Combines operands. A constant operand either decides the result or is dropped. */
    private Node logical(boolean isConjunction, List<Node> operands) throws ExpressionException {
        if (operands.size() == 1) {
            return operands.get(0);
        }
        List<Node> remaining = new ArrayList<>();
        Node decisive = null;
        for (Node operand : operands) {
            if (operand.type() != Type.BOOL) {
                throw error(operand.position(), (isConjunction ? "&&" : "||") + " takes bools, but this is " + operand.type());
            }
            if (!(operand instanceof Node.Constant constant)) {
                remaining.add(operand);
            } else if ((Boolean) constant.value() != isConjunction) {
                decisive = operand;
            }
        }
        return decisive != null ? decisive : remaining.isEmpty() ? operands.get(0)
            : remaining.size() == 1 ? remaining.get(0)
            : new Node.Logical(isConjunction, List.copyOf(remaining), operands.get(0).position());
    }

    private Node relation(GrammarParser.RelationContext tree, int depth) throws ExpressionException {
        Node left = sum(tree.sum(0), depth);
        return tree.op == null ? left : operator(tree.op.getText(), positionOf(tree.op), left, sum(tree.sum(1), depth));
    }

    private Node sum(GrammarParser.SumContext tree, int depth) throws ExpressionException {
        Node left = product(tree.product(0), depth);
        for (int i = 1; i < tree.product().size(); i++) {
            left = chainedOperator(tree.getChild(2 * i - 1), left, product(tree.product(i), depth), depth + i, tree);
        }
        return left;
    }

    private Node product(GrammarParser.ProductContext tree, int depth) throws ExpressionException {
        Node left = unary(tree.unary(0), depth);
        for (int i = 1; i < tree.unary().size(); i++) {
            left = chainedOperator(tree.getChild(2 * i - 1), left, unary(tree.unary(i), depth), depth + i, tree);
        }
        return left;
    }

    private Node chainedOperator(ParseTree operator, Node left, Node right, int depth, ParserRuleContext tree)
            throws ExpressionException {
        checkDepth(tree, depth);
        return operator(operator.getText(), positionOf(((TerminalNode) operator).getSymbol()), left, right);
    }

    private Node unary(GrammarParser.UnaryContext tree, int depth) throws ExpressionException {
        int signs = tree.getChildCount() - 1;
        boolean hasMinusBefore = signs > 0 && tree.getChild(signs - 1).getText().equals("-");
        TerminalNode negatedInteger = hasMinusBefore ? standaloneInteger(tree.postfix()) : null;
        Node value;
        if (negatedInteger != null) {
            value = integer("-" + negatedInteger.getText(), positionOf(negatedInteger.getSymbol()));
            signs--;
        } else {
            value = postfix(tree.postfix(), depth);
        }
        for (int i = signs - 1; i >= 0; i--) {
            value = operator(tree.getChild(i).getText(), positionOf(((TerminalNode) tree.getChild(i)).getSymbol()), value);
        }
        return value;
    }

    /**
     * Returns the integer literal if the operand consists of nothing else, else null. A minus before it is parsed as its sign,
     * because the smallest integer has no positive counterpart.
     */
    private static TerminalNode standaloneInteger(PostfixContext tree) {
        return tree.getChildCount() == 1 && tree.primary() instanceof GrammarParser.ConstantContext constant
            ? constant.literal().INTEGER() : null;
    }

    private Node operator(String name, Position position, Node... operands) throws ExpressionException {
        return call(name, Form.OPERATOR, position, List.of(operands));
    }

    // ---- Names, members and indexes

    private Node postfix(PostfixContext tree, int depth) throws ExpressionException {
        List<ParseTree> suffixes = new ArrayList<>(tree.children.subList(1, tree.children.size()));
        checkDepth(tree, depth + suffixes.size());
        Node value = tree.primary() instanceof GrammarParser.NameOrCallContext name && name.LPAREN() == null
            ? name(name.NAME().getSymbol(), suffixes) : primary(tree.primary(), depth);
        for (ParseTree suffix : suffixes) {
            if (suffix instanceof GrammarParser.IndexContext index) {
                Node key = expression(index.expression(), depth + 1);
                value = call(index.QUESTION() == null ? "[]" : "[?]", Form.OPERATOR, positionOf(index), List.of(value, key));
            } else {
                value = member(value, (MemberContext) suffix, depth);
            }
        }
        return value;
    }

    /**
     * Resolves the longest prefix of a dotted name that is known, and removes the suffixes that belong to it. A comprehension
     * variable has precedence.
     */
    private Node name(Token first, List<ParseTree> suffixes) throws ExpressionException {
        Node.Variable variable = loopVariables.get(first.getText());
        if (variable != null) {
            return new Node.Variable(variable.slot(), variable.name(), variable.type(), variable.size(), positionOf(first));
        }
        List<String> candidates = new ArrayList<>(List.of(first.getText()));
        for (ParseTree suffix : suffixes) {
            if (!(suffix instanceof MemberContext member) || member.LPAREN() != null) {
                break;
            }
            candidates.add(candidates.get(candidates.size() - 1) + "." + member.NAME().getText());
        }
        for (int length = candidates.size(); length > 0; length--) {
            String name = candidates.get(length - 1);
            Schema.Attribute attribute = schema.attribute(name);
            Node.SharedExpression shared = namedExpressions.get(name);
            if (attribute != null || shared != null) {
                suffixes.subList(0, length - 1).clear();
                return attribute != null
                    ? new Node.Attribute(attribute.index(), name, attribute.type(), attribute.size(), positionOf(first))
                    : new Node.SharedExpression(shared.slot(), name, shared.body(), positionOf(first));
            }
        }
        Set<String> knownNames = new HashSet<>(schema.attributeNames());
        knownNames.addAll(namedExpressions.keySet());
        knownNames.addAll(loopVariables.keySet());
        throw error(positionOf(first), "unknown name '" + candidates.get(candidates.size() - 1) + "'"
            + suggestion(candidates, knownNames));
    }

    /** Returns the known name that is closest to one of the written names as a suggestion, or an empty string. */
    private static String suggestion(Collection<String> writtenNames, Collection<String> knownNames) {
        LevenshteinDistance distance = new LevenshteinDistance(MAX_TYPO_DISTANCE);
        return writtenNames.stream().flatMap(writtenName -> knownNames.stream()
                .filter(knownName -> distance.apply(writtenName, knownName) >= 0)
                .map(knownName -> Map.entry(distance.apply(writtenName, knownName), knownName)))
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
            return call(function.NAME().getText(), Form.FUNCTION, positionOf(function), arguments(function.arguments(), depth));
        }
        return tree instanceof GrammarParser.ListContext list ? list(list, depth) : map((GrammarParser.MapContext) tree, depth);
    }

    private List<Node> arguments(ArgumentsContext tree, int depth) throws ExpressionException {
        List<Node> arguments = new ArrayList<>();
        if (tree != null) {
            for (ExpressionContext argument : tree.expression()) {
                arguments.add(expression(argument, depth + 1));
            }
        }
        return arguments;
    }

    private Node member(Node value, MemberContext tree, int depth) throws ExpressionException {
        String name = tree.NAME().getText();
        Position position = positionOf(tree.NAME().getSymbol());
        if (tree.LPAREN() == null) {
            if (value.type().kind() != Kind.MAP) {
                throw error(position, value.type() + " has no field '" + name + "'");
            }
            return call("[]", Form.OPERATOR, position, List.of(value, constant(name, Type.STRING, position)));
        }
        Node.Macro macro = MACROS.get(name);
        if (macro != null) {
            return comprehension(macro, value, tree, depth);
        }
        List<Node> receiverAndArguments = new ArrayList<>(List.of(value));
        receiverAndArguments.addAll(arguments(tree.arguments(), depth));
        return call(name, Form.METHOD, position, receiverAndArguments);
    }

    private Node comprehension(Node.Macro macro, Node list, MemberContext tree, int depth) throws ExpressionException {
        String macroName = tree.NAME().getText();
        Position position = positionOf(tree.NAME().getSymbol());
        if (list.type().kind() != Kind.LIST) {
            throw error(position, "'" + macroName + "' iterates over a list, but this is " + list.type());
        }
        List<ExpressionContext> arguments = tree.arguments() == null ? List.of() : tree.arguments().expression();
        String variableName = arguments.size() == 2 ? arguments.get(0).getText() : "";
        if (!variableName.matches("[A-Za-z_][A-Za-z0-9_]*") || variableName.equals("true") || variableName.equals("false")) {
            throw error(position, "'" + macroName + "' takes a variable name and an expression for each element, as in "
                + "tables." + macroName + "(t, t == 'facts')");
        }
        if (loopVariables.containsKey(variableName)) {
            throw error(positionOf(arguments.get(0)), "'" + variableName
                + "' is already the variable of an enclosing comprehension");
        }
        int slot = nextSlot++;
        loopVariables.put(variableName,
            new Node.Variable(slot, variableName, list.type().element(), list.size().element(), position));
        Node body = expression(arguments.get(1), depth + 1);
        loopVariables.remove(variableName);
        if (macro != Node.Macro.MAP && body.type() != Type.BOOL) {
            throw error(body.position(), "the body of '" + macroName + "' must be a bool, but this is " + body.type());
        }
        Type type = macro == Node.Macro.MAP ? Type.listOf(body.type()) : macro == Node.Macro.FILTER ? list.type() : Type.BOOL;
        Size size = macro == Node.Macro.MAP ? Size.list(list.size().count(), body.size())
            : macro == Node.Macro.FILTER ? list.size() : Size.ONE;
        return new Node.Comprehension(macro, list, slot, body, type, size, position);
    }

    // ---- Calls

    private Node call(String name, Form form, Position position, List<Node> arguments) throws ExpressionException {
        List<Function> candidates = Functions.named(name, form);
        if (candidates.isEmpty()) {
            Set<String> knownNames = new TreeSet<>();
            Functions.all().stream().filter(f -> f.form() == form).forEach(f -> knownNames.add(f.name()));
            knownNames.addAll(form == Form.METHOD ? MACROS.keySet() : Set.of());
            throw error(position, "unknown " + (form == Form.METHOD ? "method" : "function") + " '" + name + "'"
                + suggestion(List.of(name), knownNames));
        }
        List<Type> types = arguments.stream().map(Node::type).toList();
        for (Function function : candidates) {
            Type type = function.arity() == types.size() ? function.typeRule().of(types) : null;
            if (type != null) {
                return call(function, type, position, arguments);
            }
        }
        String signatures = candidates.stream().map(Function::signature).distinct().reduce((a, b) -> a + "; " + b).orElse("");
        throw error(position, "no '" + name + "' for "
            + types.stream().map(Type::toString).reduce((a, b) -> a + " and " + b).orElse("no arguments")
            + "; available: " + signatures);
    }

    private Node call(Function function, Type type, Position position, List<Node> arguments) throws ExpressionException {
        Object[] constants = arguments.stream()
            .map(node -> node instanceof Node.Constant constant ? constant.value() : null).toArray();
        String problem = function.constantCheck().problem(constants);
        if (problem != null) {
            throw error(arguments.get(Math.min(1, arguments.size() - 1)).position(), problem);
        }
        List<Node> preparedArguments = new ArrayList<>(arguments);
        if (Functions.takesPattern(function)) {
            Pattern pattern = Pattern.compile((String) constants[1]);
            preparedArguments.set(1, new Node.Constant(pattern, Type.STRING, Size.chars(pattern.programSize()),
                arguments.get(1).position()));
        } else if (function.name().equals("inCidr")) {
            preparedArguments.set(1, new Node.Constant(Texts.range((String) constants[1]), Type.STRING, Size.ONE,
                arguments.get(1).position()));
        }
        Size size = function.sizeRule().of(preparedArguments.stream().map(Node::size).toList());
        Node.Call call = new Node.Call(function, List.copyOf(preparedArguments), type, size, position);
        return preparedArguments.stream().allMatch(Node.Constant.class::isInstance) ? foldConstant(call) : call;
    }

    private Node foldConstant(Node node) throws ExpressionException {
        Cost cost = Cost.of(node);
        if (cost.steps() > limits.maxSteps() || cost.bytes() > limits.maxBytes()) {
            throw error(node.position(), "computing this constant takes " + cost + ", which is more than the limit");
        }
        Object value = new Interpreter(null, new Object[0]).evaluate(node);
        if (value instanceof ErrorKind error) {
            throw error(node.position(), "this constant evaluates to an error: " + error.name().toLowerCase(java.util.Locale.ROOT)
                .replace('_', ' '));
        }
        return constant(value, node.type(), node.position());
    }

    private static Node constant(Object value, Type type, Position position) {
        return new Node.Constant(value, type, Values.measure(value), position);
    }

    // ---- Constants, lists and maps

    private Node literal(LiteralContext tree) throws ExpressionException {
        Token token = tree.getStart();
        Position position = positionOf(token);
        String text = token.getText();
        return switch (token.getType()) {
            case GrammarParser.TRUE, GrammarParser.FALSE -> constant(token.getType() == GrammarParser.TRUE, Type.BOOL, position);
            case GrammarParser.INTEGER -> integer(text, position);
            case GrammarParser.FLOAT -> {
                double value = Double.parseDouble(text);
                if (Double.isInfinite(value)) {
                    throw error(position, "the double is out of range");
                }
                yield constant(value, Type.DOUBLE, position);
            }
            case GrammarParser.STRING -> constant(Literals.string(text, position), Type.STRING, position);
            default -> constant(Literals.bytes(text, position), Type.BYTES, position);
        };
    }

    private static Node integer(String text, Position position) throws ExpressionException {
        try {
            return constant(text.contains("0x") ? Long.parseLong(text.replace("0x", ""), 16) : Long.parseLong(text), Type.INT,
                position);
        } catch (NumberFormatException e) {
            throw error(position, "the integer does not fit in 64 bits");
        }
    }

    private Node list(GrammarParser.ListContext tree, int depth) throws ExpressionException {
        List<Node> elements = arguments(tree.arguments(), depth);
        if (elements.isEmpty()) {
            throw error(positionOf(tree), "an empty list has no element type");
        }
        requireSameType("list", elements);
        Size elementSize = elements.stream().map(Node::size).reduce(Size::max).orElseThrow();
        Node.ListLiteral list = new Node.ListLiteral(List.copyOf(elements), Type.listOf(elements.get(0).type()),
            Size.list(elements.size(), elementSize), positionOf(tree));
        return elements.stream().allMatch(Node.Constant.class::isInstance) ? foldConstant(list) : list;
    }

    private Node map(GrammarParser.MapContext tree, int depth) throws ExpressionException {
        if (tree.entry().isEmpty()) {
            throw error(positionOf(tree), "an empty map has no value type");
        }
        List<String> keys = new ArrayList<>();
        List<Node> values = new ArrayList<>();
        for (GrammarParser.EntryContext entry : tree.entry()) {
            Node key = expression(entry.expression(0), depth + 1);
            if (!(key instanceof Node.Constant constant) || key.type() != Type.STRING) {
                throw error(key.position(), "map keys must be constant strings");
            }
            if (keys.contains(constant.value())) {
                throw error(key.position(), "duplicate map key");
            }
            keys.add((String) constant.value());
            values.add(expression(entry.expression(1), depth + 1));
        }
        requireSameType("map", values);
        Size valueSize = values.stream().map(Node::size).reduce(Size::max).orElseThrow();
        long maxKeyChars = keys.stream().map(String::length).max(Comparator.naturalOrder()).orElse(0);
        Node.MapLiteral map = new Node.MapLiteral(List.copyOf(keys), List.copyOf(values), Type.mapOf(values.get(0).type()),
            Size.map(keys.size(), maxKeyChars, valueSize), positionOf(tree));
        return values.stream().allMatch(Node.Constant.class::isInstance) ? foldConstant(map) : map;
    }

    private static void requireSameType(String containerName, List<Node> nodes) throws ExpressionException {
        for (Node node : nodes) {
            if (!node.type().equals(nodes.get(0).type())) {
                throw error(node.position(), "all values in a " + containerName + " must have the same type, but this is "
                    + node.type() + " and the first is " + nodes.get(0).type());
            }
        }
    }
}
