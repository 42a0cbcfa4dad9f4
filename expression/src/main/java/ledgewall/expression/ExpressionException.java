package ledgewall.expression;

/** Thrown for an expression that does not compile: gives the position and the reason, with a suggestion where there is one. */
public final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1L;
    /** Maximum characters of the source line shown in a formatted message. */
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

    /** The message without the position. */
    public String reason() {
        return reason;
    }

    /** Formats the message with the source line that it refers to, and a caret under the column. */
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
