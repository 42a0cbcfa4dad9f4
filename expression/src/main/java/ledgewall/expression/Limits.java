package ledgewall.expression;

/**
 * Limits on the size and the cost of an expression. An expression that exceeds one is rejected at load.
 *
 * @param maxSourceChars characters of source
 * @param maxTokens tokens of source
 * @param maxNesting nested brackets, consecutive unary operators, and conditional operators or optional indexes in the source
 * @param maxDepth levels of the syntax tree; each operator in a chain counts as a level
 * @param maxSteps upper bound on the steps of one evaluation
 * @param maxBytes upper bound on the bytes that one evaluation allocates
 */
public record Limits(int maxSourceChars, int maxTokens, int maxNesting, int maxDepth, long maxSteps, long maxBytes) {
    public static final Limits DEFAULT = new Limits(16 * 1024, 2_048, 32, 128, 100_000, 1024 * 1024);
}
