package ledgewall.expression;

import java.util.List;

/** A node of a type-checked expression tree, with its type, the maximum size of its value and its position in the source. */
sealed interface Node {
    Type type();

    Size size();

    Position position();

    record Constant(Object value, Type type, Size size, Position position) implements Node { }

    record Attribute(int index, String name, Type type, Size size, Position position) implements Node { }

    /** The element variable of an enclosing comprehension. */
    record Variable(int slot, String name, Type type, Size size, Position position) implements Node { }

    /** A conjunction or disjunction. An operand that is an error decides the result only if no other operand does. */
    record Logical(boolean isConjunction, List<Node> operands, Position position) implements Node {
        @Override
        public Type type() {
            return Type.BOOL;
        }

        @Override
        public Size size() {
            return Size.ONE;
        }
    }

    /** The conditional operator {@code condition ? whenTrue : whenFalse}. */
    record Conditional(Node condition, Node whenTrue, Node whenFalse, Type type, Size size, Position position) implements Node { }

    record Call(Function function, List<Node> arguments, Type type, Size size, Position position) implements Node { }

    record ListLiteral(List<Node> elements, Type type, Size size, Position position) implements Node { }

    record MapLiteral(List<String> keys, List<Node> values, Type type, Size size, Position position) implements Node { }

    /** A named expression or a common subexpression: evaluated at most once for a request, however many nodes refer to it. */
    record SharedExpression(int slot, String name, Node body, Position position) implements Node {
        @Override
        public Type type() {
            return body.type();
        }

        @Override
        public Size size() {
            return body.size();
        }
    }

    /** The operation that a comprehension applies to the elements of a list. */
    enum Macro { ALL, EXISTS, EXISTS_ONE, FILTER, MAP }

    /** Evaluates the body once for each element of the list, with the element in the variable's slot. */
    record Comprehension(Macro macro, Node list, int slot, Node body, Type type, Size size, Position position) implements Node { }
}
