package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.RoutingPolicy.Arrival;
import ledgewall.pg.Classification;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Statements that bring no comment, and a classifier that says what they are. */
@Timeout(60)
class PlainTest {
    private final RouterHarness rig = new RouterHarness();
    private final BlockingQueue<String> arrived = new LinkedBlockingQueue<>();
    private final List<Classifier.Request> asked = new ArrayList<>();
    private final AtomicInteger over = new AtomicInteger();
    private volatile boolean overrides;

    private Classifier classifier(String className) {
        return new Classifier() {
            @Override
            public Answer classify(Request request) {
                asked.add(request);
                return request.sql().contains("unknown") ? new Unknown("nobody knows")
                    : request.sql().contains("too much") ? new Limited(1_500_000)
                    : new Known(new Classification(className, "acme", 2, request.user(), 60_000, false), over::incrementAndGet);
            }

            @Override
            public boolean overridesComments() {
                return overrides;
            }
        };
    }

    @AfterEach
    void close() throws IOException {
        rig.close();
    }

    private ScriptedPolicy start() throws IOException {
        ScriptedPolicy policy = ScriptedPolicy.sendTo("m", 0);
        rig.host("m", StubServer.host((connection, sql) -> {
            arrived.add(sql);
            connection.write(Wire.row(new byte[] {'v'}), Wire.ready());
        })).classifier(classifier("look")).start(policy);
        return policy;
    }

    @Test
    void aPlainStatementIsServedAsWhatTheClassifierSays() throws IOException, InterruptedException {
        ScriptedPolicy policy = start();
        Client client = rig.client();
        String sql = "SELECT data FROM bays WHERE id = 'k1'";
        client.send(Wire.query(sql));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(sql, arrived.take());
        Arrival arrival = policy.next(Arrival.class);
        assertEquals(0, arrival.requestClass());
        assertEquals(2, arrival.group());
        assertTrue(arrival.timeLeft() > 50_000 * RouterHarness.MS);
        assertEquals("u", asked.get(0).user());
        assertEquals("d", asked.get(0).database());
        assertEquals("127.0.0.1", asked.get(0).address());
        assertEquals(List.of("bays"), asked.get(0).summary().tables());
        client.send(Wire.query(sql));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(2, over.get());
    }

    @Test
    void theCommentWinsUnlessTheClassifierOverridesIt() throws IOException, InterruptedException {
        ScriptedPolicy policy = start();
        Client client = rig.client();
        String fields = "id=1,c=own,t=zeta,d=60000,cluster=2";
        client.send(Wire.query(RouterHarness.sql(fields)));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(2, policy.next(Arrival.class).requestClass());
        assertEquals(0, asked.size());
        overrides = true;
        client.send(Wire.query(RouterHarness.sql(fields.replace("id=1", "id=2"))));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(0, policy.next(Arrival.class).requestClass());
        assertEquals("own", asked.get(0).comment().get("c"));
        arrived.take();
        assertTrue(arrived.take().startsWith("/* id=2,c=own,t=zeta,d="));
    }

    /** A comment that is not whole says what it says; none of its bytes are the router's to change. */
    @Test
    void aCommentThatIsNotWholeIsToldAndGoesOnAsItCame() throws IOException, InterruptedException {
        start();
        Client client = rig.client();
        String sql = "/* lot=songshan, d=soon */ SELECT data FROM bays";
        client.send(Wire.query(sql));
        assertEquals("TDC", client.readTypesUntilReady());
        assertEquals(sql, arrived.take());
        assertEquals("songshan", asked.get(0).comment().get("lot"));
        client.send(Wire.query("/* a=1,a=2 */ SELECT data FROM bays"));
        assertEquals("TDC", client.readTypesUntilReady());
        assertTrue(asked.get(1).comment().isEmpty());
    }

    @Test
    void whatNobodyKnowsAndWhatIsTooMuchReachesNoMember() throws IOException {
        start();
        Client client = rig.client();
        client.send(Wire.query("SELECT 'unknown'"));
        Message unknown = client.readUntilReady().get(0);
        assertTrue(unknown.text().contains("42601") && unknown.text().contains("nobody knows"), unknown.text());
        client.send(Wire.query("SELECT 'too much'"));
        Message limited = client.readUntilReady().get(0);
        assertTrue(limited.text().contains("53300") && limited.text().contains("D2\0"), limited.text());
        client.send(Wire.query("BEGIN"));
        assertTrue(client.readUntilReady().get(0).text().contains("0A000"));
        client.send(Wire.query("SELECT 1; DELETE FROM bays"));
        assertTrue(client.readUntilReady().get(0).text().contains("42601"));
        assertTrue(arrived.isEmpty());
        assertEquals(1, rig.router().counts().of(Counters.Count.LIMITED));
        assertEquals(0, over.get());
    }

    @Test
    void withoutAClassifierThePlainStatementIsStillAnError() throws IOException {
        rig.member("m", "127.0.0.1:9").start(ScriptedPolicy.idle());
        Client client = rig.client();
        client.send(Wire.query("SELECT 1"));
        assertTrue(client.readUntilReady().get(0).text().contains("42601"));
    }

    @Test
    void anotherClassifierIsAskedFromThenOnAndTheRequestInHandStaysWhatItWas() throws IOException, InterruptedException {
        ScriptedPolicy policy = ScriptedPolicy.idle();
        rig.member("m", "127.0.0.1:9").classifier(classifier("look")).start(policy);
        Client client = rig.client();
        client.send(Wire.query("SELECT 1"));
        Arrival first = policy.next(Arrival.class);
        assertEquals(0, first.requestClass());
        rig.router().classifyBy(classifier("put"));
        Client second = rig.client();
        second.send(Wire.query("SELECT 1"));
        assertEquals(1, policy.next(Arrival.class).requestClass());
        assertEquals(0, over.get());
        policy.submit(new ledgewall.RoutingPolicy.Refuse(first.request(), 0));
        assertEquals("E", client.readTypesUntilReady());
        assertEquals(1, over.get());
        assertFalse(policy.hasReceived(Arrival.class));
    }
}
