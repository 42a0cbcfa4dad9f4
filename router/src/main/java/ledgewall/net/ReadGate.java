package ledgewall.net;

import java.util.function.BooleanSupplier;

/**
 * Keeps the I/O thread from reading a connection that the event loop has decided to close: what it read after that would get no
 * answer, while a client sends again what nobody has read. Reading and closing exclude one another.
 */
final class ReadGate {
    private boolean closed;
    private boolean delivering;

    /** One read from a socket. */
    interface SocketRead {
        /** Returns the number of bytes read, or a negative number at the end of the stream. */
        int read() throws Exception;
    }

    /** Called on the I/O thread: reads unless the gate is closed, and returns the number of bytes read. */
    synchronized int read(SocketRead socketRead) throws Exception {
        if (closed) {
            return 0;
        }
        int bytes = socketRead.read();
        delivering |= bytes > 0;
        return bytes;
    }

    /** Called on the I/O thread: the connection has counted what was read. */
    synchronized void delivered() {
        delivering = false;
    }

    /**
     * Called on the event loop: closes the gate if nothing has been read that the loop has not processed.
     *
     * @param allProcessed whether the loop has processed all reads that the connection has counted
     */
    synchronized boolean closeIf(BooleanSupplier allProcessed) {
        closed |= !delivering && allProcessed.getAsBoolean();
        return closed;
    }

    /** Called on the event loop: nothing is read from now on. What has been read is still delivered. */
    synchronized void close() {
        closed = true;
    }

    /** Whether something has been read that the connection has not counted yet. */
    synchronized boolean isDelivering() {
        return delivering;
    }
}
