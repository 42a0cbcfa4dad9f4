package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.standin.Client;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Routers run for weeks, with ever new members, clients, ids and keys: the state of none of them may be kept. */
@Timeout(60)
class StateReleaseTest {
    private static final int MEMBERS = 2_000;
    private static final int CLIENTS = 1_000;

    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    private static void writeChunk(StubServer.Connection connection, String text) throws IOException {
        connection.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void stateOfRemovedMembersAndClosedClientsIsReleased() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) -> connection.write(
            Wire.row((sql.startsWith("SHOW") ? "x0=" + System.currentTimeMillis() / 1e3 + ",x1=0" : "v")
                .getBytes(StandardCharsets.UTF_8)), Wire.ready()));
        CountDownLatch allListsSent = new CountDownLatch(1);
        harness.host("stays", host).discovery(connection -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < MEMBERS; i++) {
                writeChunk(connection, "{\"revision\":" + (42 + i) + ",\"complete\":false,\"members\":[{\"id\":\"m" + (i - 1)
                    + "\",\"phase\":\"Gone\"}," + RouterHarness.memberJson("m" + i, host.address(), "Ready", 0) + "]}\n");
            }
            allListsSent.countDown();
            connection.awaitClose();
        });
        Router router = harness.start(new ReplicaRoutingPolicy(RouterConfig.parse(
            harness.config().getBytes(StandardCharsets.UTF_8), "config").settings(), 7));
        assertTrue(allListsSent.await(20, TimeUnit.SECONDS));
        for (int i = 0; i < CLIENTS; i++) {
            try (Client client = Client.connect(router.listenAddress())) {
                client.send(Wire.query("/* id=new" + i + ",c=look,d=50,cluster=2 */ SELECT data FROM facts WHERE code = 'k"
                    + i + "'"));
                client.readUntilReady();
            }
        }
        while (!router.sizes().equals("members 2, requests 0, clients 0, ids 0")) {
            Thread.onSpinWait(); // the sweep runs every 0.25 s; the test's timeout ends the loop
        }
        assertEquals(MEMBERS, router.counts().of(Counters.Count.LISTS));
    }
}
