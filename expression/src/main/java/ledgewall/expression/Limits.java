package ledgewall.expression;

/**
 * What an expression may be and cost; beyond it is refused at load.
 *
 * @param source characters of source
 * @param tokens words and signs of it
 * @param nesting brackets within brackets, signs before signs
 * @param depth levels of the tree, chains of operators included
 * @param steps the bound on an evaluation's steps
 * @param bytes the bound on what one evaluation allocates
 */
public record Limits(int maxSourceChars, int maxTokens, int maxNesting, int maxDepth, long maxSteps, long maxBytes) {
    public static final Limits DEFAULT = new Limits(16 * 1024, 2_048, 32, 128, 100_000, 1024 * 1024);
}
