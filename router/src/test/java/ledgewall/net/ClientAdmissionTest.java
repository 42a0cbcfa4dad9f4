package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.RoutingPolicy.Refuse;
import ledgewall.standin.Client;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients beyond the number that the router serves: what they had written when it got to them is answered. */
@Timeout(60)
class ClientAdmissionTest {
    /** Files of the process, the reserve, the watch of the member list, and few connections for traffic. */
    private static final int DESCRIPTORS = 32 + 16 + 1 + 5;
    private static final int CLIENTS = 10;

    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** Guards against connections that are closed over a request which the I/O thread had read before they were admitted. */
    @Test
    void requestsReadBeforeTheirConnectionIsAdmittedAreAnswered() throws IOException, InterruptedException {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        harness.descriptorLimit(DESCRIPTORS);
        harness.start(new ScriptedPolicy(event -> {
            if (!(event instanceof Arrival arrival)) {
                return List.of();
            }
            loopBlocked.countDown();
            AttemptOutcomeTest.await(release);
            return List.of(new Refuse(arrival.request(), 0));
        }));
        harness.client().send(RouterHarness.lookQuery("first"));
        assertTrue(loopBlocked.await(20, TimeUnit.SECONDS));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = harness.rawClient();
            client.send(Wire.startup("user", "u"), RouterHarness.lookQuery("" + i));
            clients.add(client);
        }
        TimeUnit.MILLISECONDS.sleep(200); // so that they are old enough to be evicted, too
        release.countDown();
        for (Client client : clients) {
            assertEquals("EZ", client.readReplyTypes());
        }
    }
}
