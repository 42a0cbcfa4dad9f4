package ledgewall.net;

import java.util.HashMap;
import java.util.Map;

/**
 * The bytes that clients make the router hold: messages in part, statements in hand, answers not yet taken. Where
 * they come to too many together, the client that holds the most is cut off, so that slow readers never cost the
 * router its life.
 */
final class BufferedBytes {
    /** Well within the heap that `run` gives, beside what hosts' answers and the rest need. */
    private static final long MOST = 16L * 1024 * 1024;

    private final Map<ClientConnection, Integer> bytes = new HashMap<>();
    private long sum;

    void hold(ClientConnection client, int count) {
        Integer before = count == 0 ? bytes.remove(client) : bytes.put(client, count);
        sum += count - (before == null ? 0 : before);
        if (sum > MOST) {
            bytes.entrySet().stream().max(Map.Entry.comparingByValue()).ifPresent(most -> most.getKey().cutOff());
        }
    }

    void release(ClientConnection client) {
        Integer before = bytes.remove(client);
        sum -= before == null ? 0 : before;
    }

    long sum() {
        return sum;
    }
}
