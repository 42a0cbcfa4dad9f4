package ledgewall.expression;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Texts that describe the language and compiled expressions. A test compares the published reference page with the table rows.
 */
public final class Reference {
    private Reference() {
    }

    /** Returns one Markdown table row for each function, method and operator. */
    public static List<String> functionRows() {
        return Functions.all().stream().sorted(Comparator.comparing(Function::form).thenComparing(Function::name))
            .map(f -> "| " + escapeCell(f.form().name().toLowerCase(Locale.ROOT)) + " | `" + f.name() + "` | "
                + escapeCell(f.signature()) + " | " + escapeCell(f.description()) + " | "
                + escapeCell(f.costText()) + " |").toList();
    }

    /** Returns one Markdown table row for each attribute. */
    public static List<String> attributeRows(Schema schema) {
        return schema.attributes().stream().map(a -> "| `" + a.name() + "` | " + a.type() + " | " + sizeText(a) + " | "
            + a.description() + " |").toList();
    }

    private static String escapeCell(String text) {
        return text.replace("|", "\\|");
    }

    private static String sizeText(Schema.Attribute attribute) {
        Size size = attribute.size();
        return switch (attribute.type().kind()) {
            case STRING -> size.count() + " characters";
            case BYTES -> size.count() + " bytes";
            case LIST -> size.count() + " of " + size.element().count();
            case MAP -> size.count() + " entries, keys of " + size.keyChars() + ", values of " + size.element().count();
            case OPTIONAL -> size.element().count() + " characters";
            default -> "";
        };
    }

    /** Returns an expression as an indented tree: one line for each node with its type and the cost bound of its subtree. */
    public static List<String> plan(Program program) {
        List<String> lines = new ArrayList<>();
        plan(program.node(), "", lines);
        return lines;
    }

    private static void plan(Node node, String indent, List<String> lines) {
        lines.add(indent + label(node) + ": " + node.type() + ", " + Cost.of(node));
        List<Node> children = node instanceof Node.SharedExpression shared ? List.of(shared.body()) : Cost.children(node);
        children.forEach(child -> plan(child, indent + "  ", lines));
    }

    private static String label(Node node) {
        if (node instanceof Node.Constant constant) {
            String text = String.valueOf(constant.value());
            return "constant " + (text.length() > 40 ? text.substring(0, 40) + "..." : text);
        } else if (node instanceof Node.Attribute attribute) {
            return "attribute " + attribute.name();
        } else if (node instanceof Node.Variable variable) {
            return "element " + variable.name();
        } else if (node instanceof Node.Logical logical) {
            return logical.isConjunction() ? "all of" : "any of";
        } else if (node instanceof Node.Call call) {
            return "call " + call.function().name();
        } else if (node instanceof Node.Comprehension comprehension) {
            return "each, " + comprehension.macro().name().toLowerCase(Locale.ROOT);
        } else if (node instanceof Node.SharedExpression shared) {
            return "shared " + shared.name();
        }
        return node instanceof Node.Conditional ? "choice" : node instanceof Node.ListLiteral ? "list" : "map";
    }

    /** Describes the requirements by which an index can look up a condition. */
    public static List<String> requirements(Program program, Schema schema) {
        return program.requirements().stream().map(requirement -> {
            String subject = schema.attributes().get(requirement.subject().attribute()).name()
                + (requirement.subject().key() == null ? "" : "['" + requirement.subject().key() + "']");
            return subject + (requirement.values() != null
                ? " in " + requirement.values().stream().map(Object::toString).sorted().toList()
                : requirement.prefix() != null ? " begins with '" + requirement.prefix() + "'"
                : " from " + requirement.min() + " to " + requirement.max());
        }).toList();
    }
}
