package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ProbeResult;
import ledgewall.RoutingPolicy.Result;
import ledgewall.RoutingPolicy.Role;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class ProbesTest {
    private final RouterHarness rig = new RouterHarness();
    private final ScriptedPolicy policy = ScriptedPolicy.idle();

    @AfterEach
    void close() throws IOException {
        rig.close();
    }

    private ProbeResult probe(StubServer host) throws IOException, InterruptedException {
        rig.host("m", host).start(policy);
        policy.submit(new RoutingPolicy.Probe("m"));
        return policy.next(ProbeResult.class);
    }

    private static byte[] report(String text) {
        return Wire.row(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void aReportIsAskedForOverOneKeptConnection() throws IOException, InterruptedException {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        StubServer host = StubServer.host((connection, sql) -> {
            queries.add(sql);
            connection.write(report("x0=1767225600.123,x1=1"), Wire.ready());
        });
        ProbeResult result = probe(host);
        assertEquals(Result.OK, result.result());
        assertEquals(1_767_225_600_123_000_000L, result.report().position());
        assertEquals(Role.PRIMARY, result.report().role());
        assertTrue(result.elapsed() > 0);
        policy.submit(new RoutingPolicy.Probe("m"));
        policy.next(ProbeResult.class);
        assertEquals(1, host.acceptedCount());
        assertEquals("SHOW stats", queries.take());
    }

    @ParameterizedTest
    @CsvSource({"57P03,REJECTED", "53300,REJECTED", "42501,ERROR"})
    void anErrorSaysHowTheMemberIs(String code, Result result) throws IOException, InterruptedException {
        ProbeResult probe = probe(StubServer.host((connection, sql) -> connection.write(Wire.error(code), Wire.ready())));
        assertEquals(result, probe.result());
        assertNull(probe.report());
    }

    @Test
    void silenceTimesOutAndTheConnectionIsNotUsedAgain() throws IOException, InterruptedException {
        rig.connectTimeout(40);
        StubServer host = StubServer.host((connection, sql) -> {
            if (connection.number() == 1) {
                connection.awaitClose();
            }
            connection.write(report("x1=0"), Wire.ready());
        });
        assertEquals(Result.TIMED_OUT, probe(host).result());
        policy.submit(new RoutingPolicy.Probe("m"));
        policy.next(ProbeResult.class);
        assertEquals(2, host.acceptedCount());
    }

    @Test
    void aMemberThatIsNotThereIsNotConnected() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) -> { });
        host.close();
        assertEquals(Result.NOT_CONNECTED, probe(host).result());
    }

    @Test
    void disconnectClosesIdleConnectionsOfRequests() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) -> connection.write(report("x1=0"), Wire.ready()));
        ScriptedPolicy sends = ScriptedPolicy.sendTo("m", 0);
        rig.host("m", host).start(sends);
        rig.client().send(RouterHarness.look("1"));
        sends.next(RoutingPolicy.Outcome.class);
        sends.submit(new RoutingPolicy.Disconnect("m"), new RoutingPolicy.Disconnect("unknown"),
            new RoutingPolicy.Probe("unknown"), new RoutingPolicy.LogMessage("noted"), new RoutingPolicy.Probe("m"));
        sends.next(ProbeResult.class);
        rig.client().send(RouterHarness.look("2"));
        sends.next(RoutingPolicy.Outcome.class);
        assertEquals(2, host.acceptedCount()); // one closed, one for the probe and the read behind it
    }

    /** A read follows a probe on its connection at once, and may meet a second copy of the probe's answer there. */
    @Test
    void aProbesAnswerNeverPassesForARequests() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) ->
            connection.write(report("x0=1767225600.123,x1=1"), Wire.ready()));
        ScriptedPolicy sends = ScriptedPolicy.sendTo("m", 0);
        rig.host("m", host).start(sends);
        sends.submit(new RoutingPolicy.Probe("m"));
        sends.next(ProbeResult.class);
        rig.client().send(RouterHarness.look("1"));
        assertEquals(Result.RESET, sends.next(RoutingPolicy.Outcome.class).result());
        assertEquals(1, host.acceptedCount());
    }
}
