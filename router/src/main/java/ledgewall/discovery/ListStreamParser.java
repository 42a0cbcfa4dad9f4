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
 * Incremental parser for the JSON objects of one response from discovery, each a full list or a set of changes. Input may
 * arrive in pieces of any size: a piece costs time in proportion to its length, and only parsed entries are kept. Objects
 * may follow one another and may span any number of lines.
 */
public final class ListStreamParser implements HttpResponseParser.BodySink {
    /** A list nests three levels deep. Much deeper input is not a list, and parsing it would use up stack. */
    private static final int MAX_NESTING_DEPTH = 16;
    /** Limit in characters for names and values; those of real entries have some tens. */
    private static final int MAX_TEXT_LENGTH = 8 * 1024;
    /** Limit for one object: about ten thousand members. */
    private static final int MAX_OBJECT_BYTES = 4 * 1024 * 1024;
    private static final JsonFactory JSON = JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).maxStringLength(MAX_TEXT_LENGTH)
            .maxNameLength(MAX_TEXT_LENGTH).build())
        .build();
    private static final String MEMBERS = "members";

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** Updates that have been parsed and not yet been taken. */
    private final List<ListUpdate> completed = new ArrayList<>();
    /** Fields of the current object other than its members. */
    private final Map<String, Object> header = new TreeMap<>();
    /** Fields of the current entry of {@code members}. */
    private final Map<String, Object> entry = new TreeMap<>();
    /** Entries of the current object; null until its {@code members} array has begun. */
    private List<Member> members;
    /** Number of open JSON objects and arrays. */
    private int depth;
    /** Number of open objects and arrays inside an unknown field, whose value is ignored. */
    private int skippedDepth;
    private boolean inMembers;
    private boolean inEntry;
    /** Input bytes before the piece that is being parsed. */
    private long byteOffset;
    /** The offset of the piece in which the current object began. */
    private long objectOffset;

    /** Creates a parser for the body of one response. */
    public ListStreamParser() {
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a non-blocking JSON parser", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Parses more of the response body.
     *
     * @throws FormatException if the input is not a list; the parser must not be used after that
     */
    @Override
    public void body(byte[] piece, int offset, int length) {
        try {
            feeder.feedInput(piece, offset, offset + length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE && token != null;
                    token = parser.nextToken()) {
                handleToken(token);
            }
        } catch (IOException e) {
            throw new FormatException("discovery: malformed JSON");
        }
        byteOffset += length;
        if (isPartial() && byteOffset - objectOffset > MAX_OBJECT_BYTES) {
            throw new FormatException("discovery: the list exceeds the size limit");
        }
    }

    /** Returns and removes the updates that have been completed since the last call, in order. */
    public List<ListUpdate> takeUpdates() {
        List<ListUpdate> taken = List.copyOf(completed);
        completed.clear();
        return taken;
    }

    /** Whether an object has begun and its end has not been read yet. */
    public boolean isPartial() {
        return depth > 0;
    }

    private void handleToken(JsonToken token) throws IOException {
        if (token.isStructStart()) {
            handleStructStart(token);
        } else if (token.isStructEnd()) {
            handleStructEnd();
        } else if (token.isScalarValue()) {
            handleScalar(token);
        }
    }

    private void handleStructStart(JsonToken token) throws IOException {
        if (depth == 0 && token == JsonToken.START_OBJECT) {
            header.clear();
            members = null;
            objectOffset = byteOffset;
        } else if (depth == 0) {
            throw new FormatException("discovery: not a JSON object");
        } else if (skippedDepth > 0) {
            skippedDepth++;
        } else if (depth == 1 && MEMBERS.equals(parser.currentName()) && token == JsonToken.START_ARRAY) {
            inMembers = true;
            members = new ArrayList<>();
        } else if (depth == 2 && inMembers && token == JsonToken.START_OBJECT) {
            inEntry = true;
            entry.clear();
        } else if (depth == 2 && inMembers) {
            throw new FormatException("discovery: 'members' has an element that is not an object");
        } else {
            skippedDepth = 1;
        }
        depth++;
    }

    private void handleStructEnd() {
        depth--;
        if (skippedDepth > 0) {
            skippedDepth--;
        } else if (inEntry) {
            inEntry = false;
            members.add(buildMember());
        } else if (inMembers) {
            inMembers = false;
        } else {
            completed.add(buildUpdate());
        }
    }

    private void handleScalar(JsonToken token) throws IOException {
        if (depth == 0) {
            throw new FormatException("discovery: not a JSON object");
        }
        if (depth == 2 && inMembers) {
            throw new FormatException("discovery: 'members' has an element that is not an object");
        }
        if (skippedDepth == 0) {
            (inEntry ? entry : header).put(parser.currentName(), switch (token) {
                case VALUE_STRING -> parser.getText();
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
                case VALUE_TRUE -> Boolean.TRUE;
                case VALUE_FALSE -> Boolean.FALSE;
                default -> null;
            });
        }
    }

    private ListUpdate buildUpdate() {
        if (members == null) {
            throw new FormatException("discovery: lacks 'members'");
        }
        Fields fields = new Fields("discovery", header);
        return new ListUpdate(fields.integer("revision"), fields.flag("complete", false), members);
    }

    private Member buildMember() {
        return ListParser.member(new Fields("discovery, members[" + members.size() + "]", entry));
    }
}
