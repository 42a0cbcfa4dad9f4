package ledgewall.expression;

/** An expression that is not accepted: what is wrong, where, and what would be right where that can be told. */
public final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int EXCERPT_CHARS = 120;

    private final transient Position position;
    private final String reason;

    ExpressionException(Position position, String reason) {
        super(position + ": " + reason);
        this.position = position;
        this.reason = reason;
    }

    public Position position() {
        return position;
    }

    /** What is wrong, without the place. */
    public String reason() {
        return reason;
    }

    /** The message with the line of source that it speaks of, and a caret under the place. */
    public String formatWithSource(String name, String source) {
        String[] lines = source.split("\n", -1);
        String line = position.line() <= lines.length ? lines[position.line() - 1] : "";
        int start = Math.max(0, position.column() - 1 - EXCERPT_CHARS / 2);
        int end = Math.min(line.length(), start + EXCERPT_CHARS);
        String excerpt = start >= end ? "" : line.substring(start, end).replaceAll("\\p{Cntrl}", " ");
        return name + ":" + position + ": " + reason + "\n  " + excerpt + "\n  "
            + " ".repeat(Math.max(0, position.column() - 1 - start)) + "^";
    }
}
