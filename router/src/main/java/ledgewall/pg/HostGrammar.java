package ledgewall.pg;

/**
 * What a host may say next. Each message is judged by its type and announced length as soon as these have come, so that
 * noise, a value said to have gigabytes or a reply that never ends is met when it is seen, not when time is up.
 */
public final class HostGrammar implements FrameReader.HeaderCheck {
    /** Notices and parameters beside one answer; servers send a dozen when they welcome. */
    private static final int MOST_MESSAGES = 64;
    private static final int LONGEST_VALUE_HEADER = Short.BYTES + Integer.BYTES;
    private static final int LONGEST_TEXT = 8 * 1024;
    private static final int LONGEST_PARAMETER = 2 * 1024;
    private static final int LONGEST_TAG = 256;

    private enum Expects { GREETING, ANSWER, ROW, TAG, END }

    private Expects expects = Expects.GREETING;
    private int messages;

    @Override
    public void check(char type, int bodyLength) throws ProtocolException {
        if (++messages > MOST_MESSAGES) {
            throw new ProtocolException("a reply that does not end");
        }
        switch (type) {
            case 'N' -> atMost(bodyLength, LONGEST_TEXT);
            case 'S' -> atMost(bodyLength, LONGEST_PARAMETER);
            case 'E' -> {
                atMost(bodyLength, LONGEST_TEXT);
                expects = expects == Expects.GREETING ? expects : Expects.END;
            }
            case 'Z' -> {
                require(bodyLength == 1 && (expects == Expects.GREETING || expects == Expects.END));
                expects = Expects.ANSWER;
                messages = 0;
            }
            case 'R', 'K', 'v' -> {
                require(expects == Expects.GREETING);
                atMost(bodyLength, LONGEST_PARAMETER);
            }
            case 'T' -> follow(Expects.ANSWER, Expects.ROW, bodyLength, LONGEST_PARAMETER);
            case 'D' -> follow(Expects.ROW, Expects.TAG, bodyLength, LONGEST_VALUE_HEADER + Reply.LONGEST_VALUE);
            case 'C' -> follow(Expects.TAG, Expects.END, bodyLength, LONGEST_TAG);
            default -> throw new ProtocolException("unexpected message type " + (int) type);
        }
    }

    private void follow(Expects now, Expects then, int length, int longest) throws ProtocolException {
        require(expects == now);
        atMost(length, longest);
        expects = then;
    }

    private static void atMost(int length, int longest) throws ProtocolException {
        if (length > longest) {
            throw new ProtocolException("a message announces a body of " + length);
        }
    }

    private static void require(boolean holds) throws ProtocolException {
        if (!holds) {
            throw new ProtocolException("a message that belongs elsewhere");
        }
    }
}
