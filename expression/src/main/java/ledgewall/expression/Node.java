package ledgewall.expression;

import java.util.List;

/** A checked expression: each part knows its type, how large its value can be, and where it stands in the source. */
sealed interface Node {
    Type type();

    Size size();

    Position position();

    record Constant(Object value, Type type, Size size, Position position) implements Node { }

    record Attribute(int index, String name, Type type, Size size, Position position) implements Node { }

    /** What a comprehension names, by its slot. */
    record Variable(int slot, String name, Type type, Size size, Position position) implements Node { }

    /** All of its parts, or any: an error counts only where no other part decides. */
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

    record Conditional(Node condition, Node whenTrue, Node whenFalse, Type type, Size size, Position position) implements Node { }

    record Call(Function function, List<Node> arguments, Type type, Size size, Position position) implements Node { }

    record ListLiteral(List<Node> elements, Type type, Size size, Position position) implements Node { }

    record MapLiteral(List<String> keys, List<Node> values, Type type, Size size, Position position) implements Node { }

    /** Another expression by its name: computed at most once in an evaluation, whoever asks. */
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

    /** What is asked of a list's elements. */
    enum Macro { ALL, EXISTS, EXISTS_ONE, FILTER, MAP }

    /** The body is evaluated once for each element, which stands in the slot meanwhile. */
    record Comprehension(Macro macro, Node list, int slot, Node body, Type type, Size size, Position position) implements Node { }
}
