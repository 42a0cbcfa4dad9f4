package ledgewall.expression;

import java.util.List;

/**
 * An overload of a function, a method or an operator: its types, cost and implementation. Both cost formulas must not decrease
 * when an argument or the result grows, so that maximum sizes give an upper bound.
 *
 * @param name the name in the source
 * @param form the syntax of a call
 * @param signature text for the language reference; {@link #arity} is derived from it
 * @param description text for the language reference
 * @param costText text for the language reference
 * @param typeRule the result type
 * @param sizeRule the maximum size of the result
 * @param stepCost steps of one call
 * @param byteCost bytes that one call allocates
 * @param implementation the evaluation
 * @param constantCheck the check at load of arguments that are constants
 */
record Function(String name, Form form, String signature, String description, String costText, TypeRule typeRule,
                SizeRule sizeRule, CostFormula stepCost, CostFormula byteCost, Implementation implementation,
                ConstantCheck constantCheck) {
    /** The syntax of a call: {@code f(x)}, {@code x.f()} or an operator. */
    enum Form { FUNCTION, METHOD, OPERATOR }

    /** The number of arguments, derived from the signature; the receiver of a method counts as one. */
    int arity() {
        int receiverEnd = form == Form.METHOD ? signature.indexOf(".(") : -1;
        int commas = 0;
        int depth = 0;
        boolean empty = true;
        for (int i = receiverEnd < 0 ? 0 : receiverEnd + 2; i < signature.length(); i++) {
            char c = signature.charAt(i);
            depth += c == '(' ? 1 : c == ')' ? -1 : 0;
            if (depth < 0 || depth == 0 && c == ':') {
                break;
            }
            empty = false;
            commas += depth == 0 && c == ',' ? 1 : 0;
        }
        return (receiverEnd < 0 ? 0 : 1) + (empty ? 0 : commas + 1);
    }

    /** Gives the result type for argument types, or null if the overload does not take them. */
    interface TypeRule {
        Type of(List<Type> arguments);
    }

    /** Gives the maximum size of the result from the maximum sizes of the arguments. */
    interface SizeRule {
        Size of(List<Size> arguments);
    }

    /** Gives the steps or the bytes of one call from the sizes of the arguments and of the result. */
    interface CostFormula {
        long of(List<Size> arguments, Size result);
    }

    /** Evaluates a call: returns the value or an {@link ErrorKind}. Arguments are never errors. */
    interface Implementation {
        Object of(Object[] arguments);
    }

    /** Validates constant arguments at load: returns a message or null. Arguments that are not constant are passed as null. */
    interface ConstantCheck {
        String problem(Object[] constants);
    }
}
