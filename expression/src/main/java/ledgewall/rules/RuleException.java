package ledgewall.rules;

import ledgewall.expression.ExpressionException;
import ledgewall.expression.Position;

/** Reports an invalid rule table. The message names the rule, the setting and the error. */
public final class RuleException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String location;
    private final String source;

    RuleException(String location, String reason) {
        super(location + ": " + reason);
        this.location = location;
        this.source = null;
    }

    RuleException(String location, String source, ExpressionException cause) {
        super(location + ": " + cause.getMessage(), cause);
        this.location = location;
        this.source = source;
    }

    /** The message; for an error in an expression, also the expression's line with a caret under the error. */
    public String detailedMessage() {
        return getCause() instanceof ExpressionException e ? e.formatWithSource(location, source) : getMessage();
    }

    /** The position in the expression, or null if the error isn't in an expression. */
    public Position position() {
        return getCause() instanceof ExpressionException e ? e.position() : null;
    }
}
