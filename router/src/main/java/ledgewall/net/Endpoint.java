package ledgewall.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** The router's end of one connection. Times are nanoseconds on the router's clock. */
interface Endpoint {
    /** Called on the I/O thread: parses the received bytes and returns the task that handles them on the event loop. */
    Runnable receive(ByteBuffer bytes, long at, IoSession from);

    /** Called on the event loop: the connection is established. */
    void opened(IoSession session);

    /** Called on the event loop: one write, of this many bytes, has been written completely. */
    void written(int bytes);

    /**
     * Called on the event loop: the remote side has ended its sending. Reading has been suspended; unless the endpoint closes the
     * connection, it must not resume it.
     */
    void inputEnded(long at);

    /** Called on the event loop: the connection is closed. */
    void disconnected(long at);

    /** What keeps the I/O thread from reading once the connection is to be closed, or null. */
    default ReadGate readGate() {
        return null;
    }

    /** Until when the I/O thread may write what it has been handed, or null for any time. */
    default WriteDeadline writeDeadline() {
        return null;
    }
}
