package ledgewall.net;

import java.util.HashMap;
import java.util.Map;

/**
 * The memory that is taken for clients: buffers of partial messages, queued commands, unanswered requests, unsent answers, each
 * as much as it takes of the heap, which for short messages is many times their bytes. If their total exceeds a maximum, the
 * connection with the most has to free its part, so that neither slow clients nor requests that wait can exhaust the heap.
 */
final class BufferedBytes {
    /** Maximum total; leaves enough of the heap that the `run` script sets for hosts' answers and everything else. */
    private static final long MAX_TOTAL_BYTES = 16L * 1024 * 1024;

    private final Map<ClientConnection, Integer> bytesByClient = new HashMap<>();
    private long totalBytes;

    /** Sets the number of bytes buffered for a client. */
    void set(ClientConnection client, int bytes) {
        Integer previous = bytes == 0 ? bytesByClient.remove(client) : bytesByClient.put(client, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        if (totalBytes > MAX_TOTAL_BYTES) {
            bytesByClient.entrySet().stream().max(Map.Entry.comparingByValue())
                .ifPresent(largest -> largest.getKey().shedBufferedBytes());
        }
    }

    void remove(ClientConnection client) {
        Integer previous = bytesByClient.remove(client);
        totalBytes -= previous == null ? 0 : previous;
    }

    long totalBytes() {
        return totalBytes;
    }
}
