package ledgewall.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * MINA's acceptor, which leaves connections in the kernel's queue while the process has no descriptor to spare. MINA
 * accepts until that fails and then sleeps for a second, so that hundreds of connects at once would cost the router
 * its probes and the others their place.
 */
final class PatientAcceptor extends NioSocketAcceptor {
    private static final long PAUSE = TimeUnit.MILLISECONDS.toNanos(1);

    private final BooleanSupplier mayAccept;

    PatientAcceptor(IoProcessor<NioSession> processor, BooleanSupplier mayAccept) {
        super(processor);
        this.mayAccept = mayAccept;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (mayAccept.getAsBoolean()) {
            try {
                return super.accept(processor, handle);
            } catch (IOException e) {
                // out of descriptors all the same: as below
            }
        }
        LockSupport.parkNanos(PAUSE);
        return null;
    }
}
