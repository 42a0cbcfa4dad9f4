package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.standin.Client;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StandInServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned stop loses nothing that was taken. */
@Timeout(60)
class StopTest {
    private final RouterHarness rig = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        rig.close();
    }

    @Test
    void idleClientsAreClosedInTheEndAndTheRouterEnds() throws IOException, InterruptedException {
        Router router = rig.start(ScriptedPolicy.idle());
        Client idle = rig.client();
        InetSocketAddress address = router.listenAddress();
        router.drain();
        router.drain();
        assertTrue(idle.atEnd());
        router.awaitClosed();
        assertThrows(ConnectException.class, () -> new Client(address));
        assertTrue(router.counters().contains("clients=1"));
    }

    @Test
    void whatIsInFlightIsAnsweredAndThenItsConnectionCloses() throws IOException, InterruptedException {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        rig.host("m", StandInServer.host((connection, sql) -> {
            asked.countDown();
            try {
                assertTrue(release.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            connection.write(Wire.row(new byte[] {5}), Wire.ready());
        }));
        Router router = rig.start(ScriptedPolicy.sendTo("m", 0));
        Client client = rig.client();
        client.send(RouterHarness.look("1"));
        assertTrue(asked.await(20, TimeUnit.SECONDS));
        router.drain();
        release.countDown();
        assertEquals("TDC", client.types());
        assertTrue(client.atEnd());
        router.awaitClosed();
        assertEquals(1, router.counts().of(Counters.Count.SERVED));
        assertEquals(0, router.counts().of(Counters.Count.LAPSED));
    }

    @Test
    void clientsAreServedOnForAWhileOnOldConnectionsAndOnNewOnes() throws IOException, InterruptedException {
        rig.host("m", StandInServer.host((connection, sql) -> connection.write(Wire.row(new byte[] {5}), Wire.ready())));
        Router router = rig.start(ScriptedPolicy.sendTo("m", 0));
        Client old = rig.client();
        router.drain();
        Client late = rig.client();
        for (int i = 0; i < 3; i++) { // other routers may be restarting too
            old.send(RouterHarness.look("old" + i));
            assertEquals("TDC", old.types());
            late.send(RouterHarness.look("late" + i));
            assertEquals("TDC", late.types());
        }
        assertTrue(old.atEnd());
        assertTrue(late.atEnd());
        router.awaitClosed();
        assertEquals(6, router.counts().of(Counters.Count.SERVED));
    }

    @Test
    void whatIsStillHeldBeforeTheProcessIsKilledFailsAndIsNotLost() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        Router router = rig.start(policy);
        Client client = rig.client();
        client.send(RouterHarness.look("1"));
        policy.next(Arrival.class);
        router.drain();
        assertEquals("08006", client.untilReady().get(0).field('C'));
        router.awaitClosed();
        assertTrue(client.atEnd());
    }
}
