package ledgewall.net;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor, but one that passes on what a connection said before it was reset. MINA reads on until
 * nothing is left, and a reset met there throws away what the same turn has read: an answer that came whole
 * would pass for a broken one. Public because MINA makes it by reflection.
 */
public final class LastWordsProcessor extends NioProcessor {
    public LastWordsProcessor(Executor executor) {
        super(executor);
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        try {
            return super.read(session, buffer);
        } catch (IOException e) {
            if (buffer.position() == 0) {
                throw e;
            }
            return 0; // the next turn meets the reset again, with nothing before it
        }
    }
}
