package ledgewall.expression;

/** A line and a column in the source of an expression. Both count from 1; columns count characters. */
public record Position(int line, int column) {
    @Override
    public String toString() {
        return line + ":" + column;
    }
}
