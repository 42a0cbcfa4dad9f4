package ledgewall.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** The router's end of one connection. */
interface Endpoint {
    /** On the I/O thread: takes in all the bytes and says what the loop is to do with what they hold. */
    Runnable receive(ByteBuffer bytes, long at);

    /** On the loop: the connection is up. */
    void opened(IoSession session);

    /** On the loop: all that was written so far has gone out. */
    void written();

    /** On the loop: the other side has ended its sending, or the connection is no more; may come twice. */
    void ended(long at);
}
