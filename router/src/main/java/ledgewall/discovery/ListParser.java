package ledgewall.discovery;

import java.util.List;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;

/** Reads lists and changes from JSON. */
public final class ListParser {
    /** A number that ends the text is whole only once something follows it. */
    private static final byte[] END = {'\n'};

    private ListParser() {
    }

    /** Reads one object of discovery's; anything else is a {@link FormatException}. */
    public static ListUpdate parse(byte[] bytes) {
        ListReader reader = new ListReader();
        reader.body(bytes, 0, bytes.length);
        reader.body(END, 0, END.length);
        List<ListUpdate> updates = reader.take();
        if (updates.size() != 1 || reader.isPartial()) {
            throw new FormatException("discovery: not one JSON object");
        }
        return updates.get(0);
    }

    /** Reads a list that has been read as an object already. */
    public static ListUpdate read(Fields fields) {
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

    private static Member.Phase phase(Fields entry, String word) {
        return switch (word) {
            case "Ready" -> Member.Phase.READY;
            case "Terminating" -> Member.Phase.TERMINATING;
            case "Gone" -> Member.Phase.GONE;
            default -> throw new FormatException(entry.location() + ": unknown phase '" + word + "'");
        };
    }
}
