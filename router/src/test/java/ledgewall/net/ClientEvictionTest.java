package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import ledgewall.pg.MessageWriter;
import ledgewall.standin.Wire;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The sweep that closes idle and silent clients where they hold too many descriptors, on an event loop of its own. */
@Timeout(60)
class ClientEvictionTest {
    /** Clients may hold a third of the descriptors. */
    private static final int DESCRIPTORS = 120;
    private static final int CLIENTS = DESCRIPTORS / 3 + 5;
    /** Long enough that clients without a command, and idle ones, may be evicted. */
    private static final long EVICTABLE_AGE_NANOS = 300 * RouterHarness.MS;
    private static final long STALL_NANOS = 5_000 * RouterHarness.MS;

    private final AtomicLong time = new AtomicLong();
    private final Clock clock = Clock.of(time::get, 0);
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport = new Transport(clock, loop, counters, DESCRIPTORS);
    private final DescriptorBudget descriptors = new DescriptorBudget(DESCRIPTORS);
    private final RouterContext context = new RouterContext(clock, loop, transport, descriptors, counters,
        new BufferedBytes(), new IdleConnections(counters, DESCRIPTORS, 0), 0);
    private final RouterHarness harness = new RouterHarness();
    private final List<ClientConnection> clients = new ArrayList<>();
    private final List<IoSession> sessions = new ArrayList<>();
    private final List<Runnable> queuedReads = new ArrayList<>();
    private RequestDispatcher dispatcher;

    @BeforeEach
    void startUp() throws IOException {
        RouterConfig config = RouterConfig.parse(harness.config().getBytes(StandardCharsets.UTF_8), "config");
        dispatcher = new RequestDispatcher(context, config, new Members(context, config.vocabulary()), null);
        loop.setPolicy((now, events) -> List.of(), action -> { });
        Thread thread = new Thread(loop, "loop");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        loop.post(() -> { });
        transport.close();
        harness.close();
    }

    /** Runs a task in a turn of the loop; fails if the turn does not end. */
    private void inTurn(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.post(() -> {
            task.run();
            done.complete(null);
        });
        done.orTimeout(10, TimeUnit.SECONDS).join();
    }

    private void connectClients(boolean idle) {
        for (int i = 0; i < CLIENTS; i++) {
            ClientConnection client = new ClientConnection(context, dispatcher);
            IoSession session = new DummySession();
            clients.add(client);
            sessions.add(session);
            inTurn(() -> client.opened(session));
            byte[] startup = Wire.startup("user", "u");
            inTurn(read(i, idle ? Wire.join(startup, Wire.query("")) : startup));
            int answerBytes = idle ? Wire.join(Wire.emptyQueryResponse(), Wire.ready()).length : 0;
            inTurn(() -> client.written(MessageWriter.startupReply().length + answerBytes));
        }
    }

    private Runnable read(int client, byte[] bytes) {
        return clients.get(client).receive(ByteBuffer.wrap(bytes), clock.now(), sessions.get(client));
    }

    /** Guards against a router that hangs: the oldest clients are to be evicted, but their bytes wait for a later turn. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sweepEndsWhileTheOldestClientsHaveQueuedReads(boolean idle) {
        connectClients(idle);
        time.addAndGet(EVICTABLE_AGE_NANOS);
        for (int i = 0; i < 3; i++) {
            queuedReads.add(read(i, RouterHarness.lookQuery("q" + i)));
        }
        inTurn(dispatcher::sweep);
        assertTrue(dispatcher.sizes().contains("clients " + DESCRIPTORS / 3 + ","), dispatcher.sizes());
        assertTrue(counters.of(Counters.Count.EVICTIONS_PUT_OFF) >= 3);
        queuedReads.forEach(this::inTurn);
        assertEquals(3, counters.of(Counters.Count.REQUESTS));
    }

    /** Guards against the same hang where every client's bytes wait for a later turn, so that no descriptor can be freed. */
    @Test
    void sweepEndsWhereNoClientMayBeEvicted() {
        connectClients(true);
        while (descriptors.hasRoomForTraffic()) {
            descriptors.acquire();
        }
        time.addAndGet(EVICTABLE_AGE_NANOS);
        for (int i = 0; i < CLIENTS; i++) {
            queuedReads.add(read(i, RouterHarness.lookQuery("q" + i)));
        }
        inTurn(dispatcher::sweep);
        inTurn(dispatcher::freeDescriptorForPendingClient);
        assertTrue(dispatcher.sizes().contains("clients " + CLIENTS + ","), dispatcher.sizes());
        queuedReads.forEach(this::inTurn);
        assertEquals(CLIENTS, counters.of(Counters.Count.REQUESTS));
    }

    /** Guards against a hung loop that leaves no trace in log and counters. */
    @Test
    void turnThatDoesNotEndIsCountedOnce() throws InterruptedException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.post(() -> {
            entered.countDown();
            AttemptOutcomeTest.await(release);
        });
        assertTrue(entered.await(20, TimeUnit.SECONDS));
        loop.checkForStall();
        assertEquals(0, counters.of(Counters.Count.LOOP_STALLS));
        time.addAndGet(STALL_NANOS);
        loop.checkForStall();
        loop.checkForStall();
        assertEquals(1, counters.of(Counters.Count.LOOP_STALLS));
        release.countDown();
    }
}
