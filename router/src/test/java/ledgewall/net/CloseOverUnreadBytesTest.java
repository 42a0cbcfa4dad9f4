package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ledgewall.standin.Client;
import ledgewall.standin.Wire;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Closing a client's connection while its request lies in the kernel, since the I/O thread has not come to it. */
@Timeout(60)
class CloseOverUnreadBytesTest {
    private static final int DESCRIPTORS = 100;
    /** Longer than a client may take to send a whole command. */
    private static final long STALL_NANOS = 3_000 * RouterHarness.MS;

    private final Clock clock = Clock.ofSystem();
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport = new Transport(clock, loop, counters, DESCRIPTORS);
    private final RouterContext context = new RouterContext(clock, loop, transport, new DescriptorBudget(DESCRIPTORS), counters,
        new BufferedBytes(), new IdleConnections(counters, DESCRIPTORS, 0), 0);
    private final RecordingRequestHandler handler = new RecordingRequestHandler();
    private final ClientConnection connection = new ClientConnection(context, handler);
    private final CountDownLatch ioThreadBlocked = new CountDownLatch(1);
    private final CountDownLatch releaseIoThread = new CountDownLatch(1);
    private Client blocker;
    private Client client;

    /** An endpoint whose first read occupies the I/O thread until the test releases it. */
    private final class BlockingEndpoint implements Endpoint {
        @Override
        public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
            ioThreadBlocked.countDown();
            AttemptOutcomeTest.await(releaseIoThread);
            return () -> { };
        }

        @Override
        public void opened(IoSession session) {
            // only its reads matter
        }

        @Override
        public void written(int bytes) {
            // only its reads matter
        }

        @Override
        public void inputEnded(long at) {
            // only its reads matter
        }

        @Override
        public void disconnected(long at) {
            // only its reads matter
        }
    }

    @BeforeEach
    void connect() throws IOException, InterruptedException {
        loop.setPolicy((now, events) -> List.of(), action -> { });
        Thread thread = new Thread(loop, "loop");
        thread.setDaemon(true);
        thread.start();
        Queue<Endpoint> endpoints = new ArrayDeque<>(List.of(connection, new BlockingEndpoint()));
        transport.listen(new InetSocketAddress("127.0.0.1", 0), endpoints::poll);
        client = Client.connect(transport.boundAddress());
        blocker = new Client(transport.boundAddress());
        blocker.send(new byte[1]);
        assertTrue(ioThreadBlocked.await(20, TimeUnit.SECONDS));
    }

    @AfterEach
    void close() throws IOException {
        releaseIoThread.countDown();
        client.close();
        blocker.close();
        loop.stop();
        loop.post(() -> { });
        transport.close();
    }

    private <T> T inTurn(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.post(() -> result.complete(task.get()));
        return result.orTimeout(20, TimeUnit.SECONDS).join();
    }

    private void sendUnread(byte[] bytes) throws IOException {
        client.send(bytes);
        while (!inTurn(() -> connection.hasUnreadBytes())) {
            Thread.onSpinWait(); // the test's timeout ends the loop
        }
    }

    @Test
    void connectionWithAnUnreadRequestIsNotEvicted() throws IOException {
        sendUnread(RouterHarness.lookQuery("1"));
        assertFalse(inTurn(connection::closeIfQuiescent));
        releaseIoThread.countDown();
        awaitSubmitted(1);
    }

    @Test
    void plannedStopAnswersAnUnreadRequestBeforeItClosesTheConnection() throws IOException {
        sendUnread(RouterHarness.lookQuery("1"));
        inTurn(() -> {
            connection.closeWhenAnswered();
            return null;
        });
        assertFalse(handler.isClosed());
        releaseIoThread.countDown();
        awaitSubmitted(1);
        inTurn(() -> {
            handler.slots().get(0).complete(Wire.join(Wire.row(new byte[] {1}), Wire.ready()));
            return null;
        });
        assertEquals("TDCZ", client.readReplyTypes());
        assertTrue(client.endOfStream());
    }

    /** Guards against a client that is told that it has sent nothing, after a time in which the whole process stood still. */
    @Test
    void clientWhoseFirstRequestIsUnreadIsNotFailedAsSilent() throws IOException {
        sendUnread(RouterHarness.lookQuery("1"));
        inTurn(() -> {
            connection.failIfStalled(clock.now() + STALL_NANOS);
            return null;
        });
        assertEquals(0, counters.of(Counters.Count.SILENT_CLIENTS));
        releaseIoThread.countDown();
        awaitSubmitted(1);
    }

    /** Guards against a request that is read, and gets no answer, between the decision to close and the close itself. */
    @Test
    void nothingIsReadOnceTheConnectionIsToBeClosed() throws IOException {
        assertTrue(inTurn(connection::closeIfQuiescent));
        client.send(RouterHarness.lookQuery("1"));
        releaseIoThread.countDown();
        assertTrue(client.endOfStream());
        assertEquals(0, inTurn(() -> handler.slots().size()));
    }

    private void awaitSubmitted(int requests) {
        while (inTurn(() -> handler.slots().size()) < requests) {
            Thread.onSpinWait(); // the test's timeout ends the loop
        }
    }
}
