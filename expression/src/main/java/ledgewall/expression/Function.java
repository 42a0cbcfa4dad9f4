package ledgewall.expression;

import java.util.List;

/**
 * A function, a method or an operator: for which types it is, what it costs and what it gives. Costs grow with each size.
 *
 * @param name as it is written
 * @param form how it is written
 * @param signature for the reference
 * @param meaning for the reference
 * @param cost for the reference
 */
record Function(String name, Form form, String signature, String description, String costText, TypeRule typeRule, SizeRule sizeRule,
                CostFormula stepCost, CostFormula byteCost, Implementation implementation, ConstantCheck constantCheck) {
    enum Form { FUNCTION, METHOD, OPERATOR }

    /** How many arguments it takes, as its signature says; a method's receiver is one. */
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

    /** The result's type for these arguments, or null where they do not fit. */
    interface TypeRule {
        Type of(List<Type> arguments);
    }

    /** How large the result can be, from how large the arguments can be. */
    interface SizeRule {
        Size of(List<Size> arguments);
    }

    /** Steps or bytes of one call, from the sizes of the arguments and of the result. */
    interface CostFormula {
        long of(List<Size> arguments, Size result);
    }

    /** The value, or an {@link ErrorKind}; no argument is one. */
    interface Implementation {
        Object of(Object[] arguments);
    }

    /** What is wrong with arguments that are constants, or null; others are null here. */
    interface ConstantCheck {
        String problem(Object[] constants);
    }
}
