package ledgewall.net;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that is taken for clients: buffers of partial messages, queued commands, unanswered requests, unsent answers, each
 * as much as it takes of the heap, which for short messages is many times their bytes. If their total exceeds a maximum, the
 * connection with the most has to free its part, so that neither slow clients nor requests that wait can exhaust the heap.
 */
final class BufferedBytes {
    /** Maximum total on a large heap. */
    private static final long MAX_TOTAL_BYTES = 16L * 1024 * 1024;
    /** The part of the heap that clients may take: the garbage collector needs as much again, hosts' answers a part too. */
    private static final int HEAP_DIVISOR = 4;
    /** Bytes that wait for the event loop, which has not counted them, beyond which each client may have one read there. */
    private static final long MAX_UNPROCESSED_BYTES = 1024 * 1024;

    private final long maxTotalBytes = Math.min(MAX_TOTAL_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private final Map<ClientConnection, Integer> bytesByClient = new HashMap<>();
    private final AtomicLong unprocessedBytes = new AtomicLong();
    private long totalBytes;

    /** Counts bytes that have been read and wait for the event loop; a negative number when it has processed them. */
    void addUnprocessed(int bytes) {
        unprocessedBytes.addAndGet(bytes);
    }

    /** Whether so much waits for the event loop, of all clients, that none of them may have further reads there. */
    boolean isMuchUnprocessed() {
        return unprocessedBytes.get() > MAX_UNPROCESSED_BYTES;
    }

    /** Sets the number of bytes buffered for a client. */
    void set(ClientConnection client, int bytes) {
        Integer previous = bytes == 0 ? bytesByClient.remove(client) : bytesByClient.put(client, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        if (totalBytes > maxTotalBytes) {
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
