package ledgewall.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** The router's end of one connection. */
interface Endpoint {
    /** On the I/O thread: takes in all the bytes and says what the loop is to do with what they hold. */
    Runnable receive(ByteBuffer bytes, long at, IoSession from);

    /** On the loop: the connection is up. */
    void opened(IoSession session);

    /** On the loop: so many bytes, one write's, have gone out to their last. */
    void written(int bytes);

    /** On the loop: the other side has ended its sending, or the connection is no more; may come twice. */
    void ended(long at);
}
