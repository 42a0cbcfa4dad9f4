package ledgewall.discovery;

import java.util.List;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;

/** Parses a complete JSON document from discovery, or the list that a configuration holds, into a {@link ListUpdate}. */
public final class ListParser {
    /** Fed after the document, because the JSON parser reports a trailing number only once another byte follows it. */
    private static final byte[] TERMINATOR = {'\n'};

    private ListParser() {
    }

    /**
     * Parses exactly one JSON object.
     *
     * @throws FormatException if the input is anything else
     */
    public static ListUpdate parse(byte[] json) {
        ListStreamParser parser = new ListStreamParser();
        parser.body(json, 0, json.length);
        parser.body(TERMINATOR, 0, TERMINATOR.length);
        List<ListUpdate> updates = parser.takeUpdates();
        if (updates.size() != 1 || parser.isPartial()) {
            throw new FormatException("discovery: not a single JSON object");
        }
        return updates.get(0);
    }

    /** Converts a list whose JSON object has been parsed already. */
    public static ListUpdate fromFields(Fields fields) {
        if (!fields.has("members")) {
            throw new FormatException(fields.location() + ": lacks 'members'");
        }
        List<Member> members = fields.objects("members").stream().map(ListParser::member).toList();
        return new ListUpdate(fields.integer("revision"), fields.flag("complete", false), members);
    }

    static Member member(Fields entry) {
        String phase = entry.text("phase", "Ready");
        return new Member(entry.text("id"), entry.text("host_port", ""), entry.text("locality", ""),
            entry.text("flavor", ""), entry.integer("cell", 0), phase(entry, phase), entry.decimal("size", 1.0),
            "read-write".equals(entry.text("mode", "")), entry.integer("up_since_ms", 0));
    }

    private static Member.Phase phase(Fields entry, String name) {
        return switch (name) {
            case "Ready" -> Member.Phase.READY;
            case "Terminating" -> Member.Phase.TERMINATING;
            case "Gone" -> Member.Phase.GONE;
            default -> throw new FormatException(entry.location() + ": unknown phase '" + name + "'");
        };
    }
}
