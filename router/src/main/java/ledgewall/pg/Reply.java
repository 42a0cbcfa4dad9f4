package ledgewall.pg;

import java.util.HashMap;
import java.util.Map;

/** A host's reply to one simple query, taken in message by message up to ReadyForQuery: one row of one column, or an error. */
public final class Reply {
    /** The largest value that is forwarded. */
    public static final int MAX_VALUE_BYTES = 64 * 1024;
    /** Size of what follows a column's name in a RowDescription. */
    private static final int COLUMN_FIXED_FIELD_BYTES = 18;
    /** Stands for the length of a value that is NULL. */
    private static final int NULL_LENGTH = -1;

    private final Map<String, String> parameters = new HashMap<>();
    private Frame rowDescription;
    private Frame dataRow;
    private Frame commandComplete;
    private String sqlState;
    private boolean ready;

    public void accept(Frame frame) throws ProtocolException {
        switch (frame.type()) {
            case 'T' -> acceptRowDescription(frame);
            case 'D' -> acceptDataRow(frame);
            case 'C' -> acceptCommandComplete(frame);
            case 'E' -> acceptError(frame);
            case 'S' -> acceptParameterStatus(frame);
            case 'N' -> { }
            case 'I' -> throw new ProtocolException("EmptyQueryResponse to a query that isn't empty");
            case 'Z' -> acceptReadyForQuery();
            default -> throw new ProtocolException("unexpected message type " + (int) frame.type());
        }
    }

    private void acceptRowDescription(Frame frame) throws ProtocolException {
        Frame.BodyReader body = frame.body();
        require(rowDescription == null && sqlState == null && body.int16() == 1, "a result that doesn't have exactly one column");
        body.cString();
        body.skip(COLUMN_FIXED_FIELD_BYTES);
        require(body.remaining() == 0, "a RowDescription longer than its column");
        rowDescription = frame;
    }

    private void acceptDataRow(Frame frame) throws ProtocolException {
        Frame.BodyReader body = frame.body();
        require(rowDescription != null && dataRow == null && sqlState == null && body.int16() == 1,
            "a result that doesn't have exactly one row of one column");
        int length = body.int32();
        require(length == (body.remaining() == 0 && length == NULL_LENGTH ? NULL_LENGTH : body.remaining())
            && length <= MAX_VALUE_BYTES, "a value with a length of " + length + " bytes");
        dataRow = frame;
    }

    private void acceptCommandComplete(Frame frame) throws ProtocolException {
        require(dataRow != null && commandComplete == null && sqlState == null, "CommandComplete without a row");
        frame.body().cString();
        commandComplete = frame;
    }

    private void acceptError(Frame frame) throws ProtocolException {
        require(commandComplete == null && sqlState == null, "an error after the end of the result");
        sqlState = ErrorResponse.sqlState(frame);
    }

    private void acceptParameterStatus(Frame frame) throws ProtocolException {
        Frame.BodyReader body = frame.body();
        String name = body.cString();
        parameters.put(name, body.cString());
    }

    private void acceptReadyForQuery() throws ProtocolException {
        require(commandComplete != null || sqlState != null, "ReadyForQuery without a result or an error");
        ready = true;
    }

    private static void require(boolean condition, String message) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException(message);
        }
    }

    /** Whether the whole result has arrived. */
    public boolean succeeded() {
        return commandComplete != null;
    }

    /** The SQLSTATE of the error that the host replied with, or null. */
    public String sqlState() {
        return sqlState;
    }

    /** Whether the host accepts the next query. */
    public boolean ready() {
        return ready;
    }

    /** Whether any part of a result or an error has arrived. */
    public boolean isStarted() {
        return rowDescription != null || sqlState != null;
    }

    /** The result's messages as received, without notices and parameters. */
    public byte[] resultMessages() {
        return MessageWriter.join(rowDescription.bytes(), dataRow.bytes(), commandComplete.bytes());
    }

    /** The row's value as text, or null for SQL's NULL. */
    public String value() throws ProtocolException {
        Frame.BodyReader body = dataRow.body();
        body.int16();
        int length = body.int32();
        return length == NULL_LENGTH ? null : body.fixedLengthString(length);
    }

    /** The value of a parameter that the host reported with this reply, or null. */
    public String parameter(String name) {
        return parameters.get(name);
    }
}
