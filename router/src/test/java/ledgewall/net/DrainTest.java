package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.standin.Client;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned stop (drain) answers every request that was accepted. */
@Timeout(60)
class DrainTest {
    private static final long LONGER_THAN_A_FLUSH_MS = 300;

    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    @Test
    void drainClosesIdleClientsAndThenTheRouter() throws IOException, InterruptedException {
        Router router = harness.start(ScriptedPolicy.idle());
        Client idle = harness.client();
        InetSocketAddress address = router.listenAddress();
        router.drain();
        router.drain();
        assertTrue(idle.endOfStream());
        router.awaitClosed();
        assertThrows(ConnectException.class, () -> new Client(address));
        assertTrue(router.counters().contains("clients=1"));
    }

    @Test
    void drainAnswersRequestInFlightAndThenClosesItsConnection() throws IOException, InterruptedException {
        CountDownLatch queryReceived = new CountDownLatch(1);
        CountDownLatch answerAllowed = new CountDownLatch(1);
        harness.host("m", StubServer.host((connection, sql) -> {
            queryReceived.countDown();
            try {
                assertTrue(answerAllowed.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            connection.write(Wire.row(new byte[] {5}), Wire.ready());
        }));
        Router router = harness.start(ScriptedPolicy.sendTo("m", 0));
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        assertTrue(queryReceived.await(20, TimeUnit.SECONDS));
        router.drain();
        answerAllowed.countDown();
        assertEquals("TDC", client.readTypesUntilReady());
        assertTrue(client.endOfStream());
        router.awaitClosed();
        assertEquals(1, router.counts().of(Counters.Count.SERVED));
        assertEquals(0, router.counts().of(Counters.Count.LAPSED));
    }

    @Test
    void drainingRouterStillServesExistingAndNewConnectionsForAWhile() throws IOException, InterruptedException {
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.row(new byte[] {5}), Wire.ready())));
        Router router = harness.start(ScriptedPolicy.sendTo("m", 0));
        Client existing = harness.client();
        router.drain();
        Client connectedWhileDraining = harness.client();
        for (int i = 0; i < 3; i++) { // clients may have no other router to use, since those may be restarting too
            existing.send(RouterHarness.lookQuery("old" + i));
            assertEquals("TDC", existing.readTypesUntilReady());
            connectedWhileDraining.send(RouterHarness.lookQuery("late" + i));
            assertEquals("TDC", connectedWhileDraining.readTypesUntilReady());
        }
        assertTrue(existing.endOfStream());
        assertTrue(connectedWhileDraining.endOfStream());
        router.awaitClosed();
        assertEquals(6, router.counts().of(Counters.Count.SERVED));
    }

    @Test
    void requestUnansweredAtEndOfDrainFailsInsteadOfBeingLost() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        Router router = harness.start(policy);
        Client client = harness.client();
        client.send(RouterHarness.lookQuery("1"));
        policy.next(Arrival.class);
        router.drain();
        assertEquals("08006", client.readUntilReady().get(0).field('C'));
        router.awaitClosed();
        assertTrue(client.endOfStream());
    }

    /** Guards against requests that are lost because the router had put off taking them up when it was told to stop. */
    @Test
    void requestsPutOffByTheRouterAreAnsweredAtEndOfDrain() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        Router router = harness.start(policy);
        Client client = harness.client();
        byte[][] queries = new byte[400][];
        Arrays.setAll(queries, i -> RouterHarness.lookQuery("" + i));
        client.send(queries);
        policy.next(Arrival.class);
        router.drain();
        for (int i = 0; i < queries.length; i++) {
            assertEquals("E", client.readTypesUntilReady(), "query " + i);
        }
        assertTrue(client.endOfStream());
        router.awaitClosed();
        assertEquals(queries.length, router.counts().of(Counters.Count.REQUESTS));
        assertEquals(0, router.counts().of(Counters.Count.LAPSED));
    }

    /** Guards against a planned stop that ends the process over answers which a client has begun to take. */
    @Test
    void routerEndsOnlyOnceTheLastAnswersAreTaken() throws IOException, InterruptedException {
        byte[] value = new byte[60 * 1024];
        harness.host("m", StubServer.host((connection, sql) -> connection.write(Wire.row(value), Wire.ready())));
        harness.deduplicationWindowMs(1_000); // adds the class with the longest deadline
        Router router = harness.start(ScriptedPolicy.sendTo("m", 0));
        Client client = harness.client();
        byte[][] queries = new byte[60][];
        Arrays.setAll(queries, i -> RouterHarness.lookQuery("" + i));
        client.send(queries);
        router.drain();
        while (!router.sizes().contains("clients 0")) {
            Thread.sleep(1); // until the router has closed the connection behind its answers
        }
        Thread.sleep(LONGER_THAN_A_FLUSH_MS);
        for (int i = 0; i < queries.length; i++) {
            assertEquals("TDC", client.readTypesUntilReady(), "query " + i);
        }
        assertTrue(client.endOfStream());
        router.awaitClosed();
    }
}
