package ledgewall.expression;

/** A place in a source; lines count from 1, columns too, in characters. */
public record Position(int line, int column) {
    @Override
    public String toString() {
        return line + ":" + column;
    }
}
