package ledgewall.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.List;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;

/** Reads lists and changes from JSON. */
public final class ListParser {
    /** A list nests three levels; what nests deeper than this is none, and would cost stack to read. */
    private static final int DEEPEST = 16;
    private static final JsonFactory JSON = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build()).build();

    private ListParser() {
    }

    /** Reads one object of discovery's; anything else is a {@link FormatException}. */
    public static ListUpdate parse(byte[] bytes) {
        try (JsonParser parser = JSON.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new FormatException("discovery: no JSON object");
            }
            ListUpdate update = read(Fields.read(parser, "discovery"));
            if (parser.nextToken() != null) {
                throw new FormatException("discovery: more than one value");
            }
            return update;
        } catch (IOException e) {
            throw new FormatException("discovery: no JSON");
        }
    }

    /** Reads a list that has been read as an object already. */
    public static ListUpdate read(Fields fields) {
        if (!fields.has("members")) {
            throw new FormatException(fields.where() + ": lacks 'members'");
        }
        List<Member> members = fields.objects("members").stream().map(ListParser::member).toList();
        return new ListUpdate(fields.integer("revision"), fields.flag("complete", false), members);
    }

    private static Member member(Fields entry) {
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
            default -> throw new FormatException(entry.where() + ": unknown phase '" + word + "'");
        };
    }
}
