package ledgewall.pg;

/**
 * Checks the order and size of a host's messages. Each message is judged by its type and announced length as soon as its
 * header is read, so that random bytes, a value announced with gigabytes or a reply that never ends are rejected at once
 * instead of at the request's timeout.
 */
public final class HostHeaderValidator implements FrameReader.HeaderValidator {
    /** Allows for notices and parameters beside a result; servers send about a dozen of them in their startup reply. */
    private static final int MAX_MESSAGES_PER_REPLY = 64;
    /** Column count and value length of a DataRow with one column. */
    private static final int VALUE_HEADER_BYTES = Short.BYTES + Integer.BYTES;
    private static final int MAX_NOTICE_BYTES = 8 * 1024;
    private static final int MAX_PARAMETER_BYTES = 2 * 1024;
    private static final int MAX_COMMAND_TAG_BYTES = 256;

    /** What comes next: the startup reply, or the message of a query's reply that the constant names. */
    private enum State { STARTUP, ROW_DESCRIPTION, DATA_ROW, COMMAND_COMPLETE, READY_FOR_QUERY }

    private State state = State.STARTUP;
    private int messagesInReply;

    @Override
    public void validate(char type, int bodyLength) throws ProtocolException {
        if (++messagesInReply > MAX_MESSAGES_PER_REPLY) {
            throw new ProtocolException("a reply of more than " + MAX_MESSAGES_PER_REPLY + " messages");
        }
        switch (type) {
            case 'N' -> requireAtMost(bodyLength, MAX_NOTICE_BYTES);
            case 'S' -> requireAtMost(bodyLength, MAX_PARAMETER_BYTES);
            case 'E' -> {
                requireAtMost(bodyLength, MAX_NOTICE_BYTES);
                state = state == State.STARTUP ? state : State.READY_FOR_QUERY;
            }
            case 'Z' -> {
                requireInOrder(bodyLength == 1 && (state == State.STARTUP || state == State.READY_FOR_QUERY));
                state = State.ROW_DESCRIPTION;
                messagesInReply = 0;
            }
            case 'R', 'K', 'v' -> {
                requireInOrder(state == State.STARTUP);
                requireAtMost(bodyLength, MAX_PARAMETER_BYTES);
            }
            case 'I' -> advance(State.ROW_DESCRIPTION, State.READY_FOR_QUERY, bodyLength, 0);
            case 'T' -> advance(State.ROW_DESCRIPTION, State.DATA_ROW, bodyLength, MAX_PARAMETER_BYTES);
            case 'D' -> advance(State.DATA_ROW, State.COMMAND_COMPLETE, bodyLength,
                VALUE_HEADER_BYTES + Reply.MAX_VALUE_BYTES);
            case 'C' -> advance(State.COMMAND_COMPLETE, State.READY_FOR_QUERY, bodyLength, MAX_COMMAND_TAG_BYTES);
            default -> throw new ProtocolException("unexpected message type " + (int) type);
        }
    }

    private void advance(State expected, State next, int length, int maxLength) throws ProtocolException {
        requireInOrder(state == expected);
        requireAtMost(length, maxLength);
        state = next;
    }

    private static void requireAtMost(int length, int maxLength) throws ProtocolException {
        if (length > maxLength) {
            throw new ProtocolException("a message announces too many body bytes: " + length);
        }
    }

    private static void requireInOrder(boolean inOrder) throws ProtocolException {
        if (!inOrder) {
            throw new ProtocolException("a message out of order");
        }
    }
}
