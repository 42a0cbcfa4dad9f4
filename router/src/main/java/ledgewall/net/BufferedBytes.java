package ledgewall.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * The memory that is taken for clients: buffers of partial messages, queued commands, unanswered requests, unsent answers, each
 * as much as it takes of the heap, which for short messages is many times their bytes. If their total exceeds a maximum, the
 * connection with the most that can free any has to do so, so that neither slow clients nor requests that wait can exhaust the
 * heap. Answers on their way to a client that takes them are never freed; large answers of members that find no room are
 * replaced by an error, which bounds the total where nothing can be freed.
 */
final class BufferedBytes {
    /** Maximum total on a large heap. */
    private static final long MAX_TOTAL_BYTES = 16L * 1024 * 1024;
    /** The part of the heap that clients may take: the garbage collector needs as much again, hosts' answers a part too. */
    private static final int HEAP_DIVISOR = 4;
    /** Bytes that wait for the event loop, which has not counted them, beyond which each client may have one read there. */
    private static final long MAX_UNPROCESSED_BYTES = 1024 * 1024;
    /** Answers up to this size always find room, as the error in their place would take nearly as much. */
    private static final int SMALL_ANSWER_BYTES = 512;

    private final long maxTotalBytes = Math.min(MAX_TOTAL_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private final Map<ClientConnection, Integer> bytesByClient = new HashMap<>();
    private final AtomicLong unprocessedBytes = new AtomicLong();
    private long totalBytes;
    private boolean freeing;

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
        freeDownTo(maxTotalBytes, ClientConnection::canFreeMemory);
    }

    /**
     * Whether an answer of this size may be kept for its client. To make room for it, clients that take nothing are closed, and
     * those whose commands take as much memory have to free that. Other answers are not given up for it.
     */
    boolean hasRoomForAnswer(int bytes) {
        if (bytes > SMALL_ANSWER_BYTES) {
            freeDownTo(maxTotalBytes - bytes, client -> client.isStalled() || client.freeableInputBytes() >= bytes);
        }
        return bytes <= SMALL_ANSWER_BYTES || totalBytes + bytes <= maxTotalBytes;
    }

    /** Has clients that pass the test free their memory, those with the most first, until the total is within the limit. */
    private void freeDownTo(long limit, Predicate<ClientConnection> canFree) {
        if (freeing) {
            return; // called again by a client that frees its memory
        }
        freeing = true;
        try {
            Optional<ClientConnection> largest = largestOver(limit, canFree);
            while (largest.isPresent()) {
                long before = totalBytes;
                largest.get().shedBufferedBytes();
                largest = totalBytes < before ? largestOver(limit, canFree) : Optional.empty();
            }
        } finally {
            freeing = false;
        }
    }

    private Optional<ClientConnection> largestOver(long limit, Predicate<ClientConnection> canFree) {
        if (totalBytes <= limit) {
            return Optional.empty();
        }
        return bytesByClient.entrySet().stream().filter(entry -> canFree.test(entry.getKey()))
            .max(Comparator.comparing(Map.Entry::getValue)).map(Map.Entry::getKey);
    }

    void remove(ClientConnection client) {
        Integer previous = bytesByClient.remove(client);
        totalBytes -= previous == null ? 0 : previous;
    }

    long totalBytes() {
        return totalBytes;
    }

    /** Whether anything is buffered: for connections that are closing, answers that are not written yet. */
    boolean holdsAny() {
        return !bytesByClient.isEmpty();
    }
}
