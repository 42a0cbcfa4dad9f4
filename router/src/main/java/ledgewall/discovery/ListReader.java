package ledgewall.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;

/**
 * Reads lists and changes from JSON as its bytes come, in pieces of any size: each piece costs what it holds, and nothing of
 * it is kept but the entries. Objects may follow one another and may stand on one line or on many.
 */
public final class ListReader implements HttpReader.Sink {
    /** A list nests three levels; what nests deeper than this is none, and would cost stack to read. */
    private static final int DEEPEST = 16;
    /** Names and values of entries are some tens of characters. */
    private static final int LONGEST_TEXT = 8 * 1024;
    /** The bytes of one object: some ten thousand members. */
    private static final int LONGEST_OBJECT = 4 * 1024 * 1024;
    private static final JsonFactory JSON = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).maxStringLength(LONGEST_TEXT)
            .maxNameLength(LONGEST_TEXT).build())
        .build();
    private static final String MEMBERS = "members";

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final List<ListUpdate> complete = new ArrayList<>();
    private final Map<String, Object> header = new TreeMap<>();
    private final Map<String, Object> entry = new TreeMap<>();
    private List<Member> members;
    /** Objects and arrays that have begun and not ended. */
    private int depth;
    /** Of those the ones in values that are passed over. */
    private int skipped;
    private boolean inMembers;
    private boolean inEntry;
    private long bytes;
    private long begunAt;

    /** A reader of the objects of one answer. */
    public ListReader() {
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("no parser", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Takes more of the answer in; what is no list is a {@link FormatException}, after which the reader is of no more use. */
    @Override
    public void body(byte[] piece, int start, int length) {
        try {
            feeder.feedInput(piece, start, start + length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE && token != null;
                    token = parser.nextToken()) {
                take(token);
            }
        } catch (IOException e) {
            throw new FormatException("discovery: no JSON");
        }
        bytes += length;
        if (isPartial() && bytes - begunAt > LONGEST_OBJECT) {
            throw new FormatException("discovery: the list is too long");
        }
    }

    /** The objects that have become whole since the last call, in order. */
    public List<ListUpdate> take() {
        List<ListUpdate> taken = List.copyOf(complete);
        complete.clear();
        return taken;
    }

    /** Whether an object has begun that is not whole yet. */
    public boolean isPartial() {
        return depth > 0;
    }

    private void take(JsonToken token) throws IOException {
        if (token.isStructStart()) {
            begin(token);
        } else if (token.isStructEnd()) {
            end();
        } else if (token.isScalarValue()) {
            value(token);
        }
    }

    private void begin(JsonToken token) throws IOException {
        if (depth == 0 && token == JsonToken.START_OBJECT) {
            header.clear();
            members = null;
            begunAt = bytes;
        } else if (depth == 0) {
            throw new FormatException("discovery: no JSON object");
        } else if (skipped > 0) {
            skipped++;
        } else if (depth == 1 && MEMBERS.equals(parser.currentName()) && token == JsonToken.START_ARRAY) {
            inMembers = true;
            members = new ArrayList<>();
        } else if (depth == 2 && inMembers && token == JsonToken.START_OBJECT) {
            inEntry = true;
            entry.clear();
        } else if (depth == 2 && inMembers) {
            throw new FormatException("discovery: 'members' holds what is no object");
        } else {
            skipped = 1;
        }
        depth++;
    }

    private void end() {
        depth--;
        if (skipped > 0) {
            skipped--;
        } else if (inEntry) {
            inEntry = false;
            members.add(member());
        } else if (inMembers) {
            inMembers = false;
        } else {
            complete.add(update());
        }
    }

    private void value(JsonToken token) throws IOException {
        if (depth == 0) {
            throw new FormatException("discovery: no JSON object");
        }
        if (depth == 2 && inMembers) {
            throw new FormatException("discovery: 'members' holds what is no object");
        }
        if (skipped == 0) {
            (inEntry ? entry : header).put(parser.currentName(), switch (token) {
                case VALUE_STRING -> parser.getText();
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
                case VALUE_TRUE -> Boolean.TRUE;
                case VALUE_FALSE -> Boolean.FALSE;
                default -> null;
            });
        }
    }

    private ListUpdate update() {
        if (members == null) {
            throw new FormatException("discovery: lacks 'members'");
        }
        Fields fields = new Fields("discovery", header);
        return new ListUpdate(fields.integer("revision"), fields.flag("complete", false), members);
    }

    private Member member() {
        return ListParser.member(new Fields("discovery, members[" + members.size() + "]", entry));
    }
}
