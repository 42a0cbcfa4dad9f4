package ledgewall.rules;

import ledgewall.expression.ExpressionException;
import ledgewall.expression.Position;

/** A table that is not accepted: which rule, which of its settings, and what is wrong there. */
public final class RuleException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String where;
    private final String source;

    RuleException(String where, String reason) {
        super(where + ": " + reason);
        this.where = where;
        this.source = null;
    }

    RuleException(String where, String source, ExpressionException cause) {
        super(where + ": " + cause.getMessage(), cause);
        this.where = where;
        this.source = source;
    }

    /** The message, with the line of the expression and a caret where it is about one. */
    public String show() {
        return getCause() instanceof ExpressionException e ? e.formatWithSource(where, source) : getMessage();
    }

    /** The place in the expression, or null where it is about something else. */
    public Position position() {
        return getCause() instanceof ExpressionException e ? e.position() : null;
    }
}
