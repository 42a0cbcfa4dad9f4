package ledgewall.expression;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** What the language has, and what an expression has become, in words; the reference page is checked against this. */
public final class Reference {
    private Reference() {
    }

    /** A line of a Markdown table for each function, method and operator. */
    public static List<String> functionRows() {
        return Functions.all().stream().sorted(Comparator.comparing(Function::form).thenComparing(Function::name))
            .map(f -> "| " + escapeCell(f.form().name().toLowerCase(Locale.ROOT)) + " | `" + f.name() + "` | " + escapeCell(f.signature())
                + " | " + escapeCell(f.description()) + " | " + escapeCell(f.costText()) + " |").toList();
    }

    /** A line for each attribute. */
    public static List<String> attributeRows(Schema schema) {
        return schema.attributes().stream().map(a -> "| `" + a.name() + "` | " + a.type() + " | " + sizeText(a) + " | " + a.description()
            + " |").toList();
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

    /** A compiled expression as a tree, each part with its type, its largest size and the bound up to it. */
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
        } else if (node instanceof Node.Logical logic) {
            return logic.isConjunction() ? "all of" : "any of";
        } else if (node instanceof Node.Call call) {
            return "call " + call.function().name();
        } else if (node instanceof Node.Comprehension loop) {
            return "each, " + loop.macro().name().toLowerCase(Locale.ROOT);
        } else if (node instanceof Node.SharedExpression shared) {
            return "shared " + shared.name();
        }
        return node instanceof Node.Conditional ? "choice" : node instanceof Node.ListLiteral ? "list" : "map";
    }

    /** What an index can find a condition by. */
    public static List<String> requirements(Program program, Schema schema) {
        return program.requirements().stream().map(r -> {
            String subject = schema.attributes().get(r.subject().attribute()).name()
                + (r.subject().key() == null ? "" : "['" + r.subject().key() + "']");
            return subject + (r.values() != null ? " in " + r.values().stream().map(Object::toString).sorted().toList()
                : r.prefix() != null ? " begins with '" + r.prefix() + "'" : " from " + r.min() + " to " + r.max());
        }).toList();
    }
}
