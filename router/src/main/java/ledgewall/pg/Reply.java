package ledgewall.pg;

import java.util.HashMap;
import java.util.Map;

/** A host's reply to one simple query, taken in message by message up to ReadyForQuery. */
public final class Reply {
    /** The largest value that may be passed on. */
    public static final int LONGEST_VALUE = 64 * 1024;
    private static final int FIXED_FIELDS_OF_A_COLUMN = 18;
    private static final int NULL = -1;

    private final Map<String, String> parameters = new HashMap<>();
    private Frame description;
    private Frame row;
    private Frame completion;
    private String sqlState;
    private boolean ready;

    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'T' -> description(frame);
            case 'D' -> row(frame);
            case 'C' -> completion(frame);
            case 'E' -> error(frame);
            case 'S' -> parameter(frame);
            case 'N' -> { }
            case 'I' -> throw new ProtocolException("an empty answer to a query");
            case 'Z' -> end();
            default -> throw new ProtocolException("unexpected message type " + (int) frame.type());
        }
    }

    private void description(Frame frame) throws ProtocolException {
        Frame.Body body = frame.body();
        expect(description == null && sqlState == null && body.int16() == 1, "no single column");
        body.string();
        body.skip(FIXED_FIELDS_OF_A_COLUMN);
        expect(body.left() == 0, "a description longer than its column");
        description = frame;
    }

    private void row(Frame frame) throws ProtocolException {
        Frame.Body body = frame.body();
        expect(description != null && row == null && sqlState == null && body.int16() == 1,
            "no single row of one column");
        int length = body.int32();
        expect(length == (body.left() == 0 && length == NULL ? NULL : body.left()) && length <= LONGEST_VALUE,
            "a value of " + length + " bytes");
        row = frame;
    }

    private void completion(Frame frame) throws ProtocolException {
        expect(row != null && completion == null && sqlState == null, "completed without a row");
        frame.body().string();
        completion = frame;
    }

    private void error(Frame frame) throws ProtocolException {
        expect(completion == null && sqlState == null, "an error after the end");
        sqlState = Fault.sqlState(frame);
    }

    private void parameter(Frame frame) throws ProtocolException {
        Frame.Body body = frame.body();
        String name = body.string();
        parameters.put(name, body.string());
    }

    private void end() throws ProtocolException {
        expect(completion != null || sqlState != null, "ready without an answer");
        ready = true;
    }

    private static void expect(boolean holds, String otherwise) throws ProtocolException {
        if (!holds) {
            throw new ProtocolException(otherwise);
        }
    }

    /** Whether the row has come whole. */
    public boolean served() {
        return completion != null;
    }

    /** The code of the error that was the answer, or null. */
    public String sqlState() {
        return sqlState;
    }

    /** Whether the host takes the next query. */
    public boolean ready() {
        return ready;
    }

    /** Whether any of the answer has come. */
    public boolean begun() {
        return description != null || sqlState != null;
    }

    /** The answer's messages as they came. */
    public byte[] answer() {
        return MessageWriter.join(description.bytes(), row.bytes(), completion.bytes());
    }

    /** The row's value as text, null where it is none. */
    public String text() throws ProtocolException {
        Frame.Body body = row.body();
        body.int16();
        int length = body.int32();
        return length == NULL ? null : body.text(length);
    }

    /** A parameter that the host told with this reply, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
