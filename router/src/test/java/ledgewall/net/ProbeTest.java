package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
class ProbeTest {
    private final RouterHarness harness = new RouterHarness();
    private final ScriptedPolicy policy = ScriptedPolicy.idle();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    private ProbeResult probe(StubServer host) throws IOException, InterruptedException {
        harness.host("m", host).start(policy);
        policy.submit(new RoutingPolicy.Probe("m"));
        return policy.next(ProbeResult.class);
    }

    private static byte[] reportRow(String text) {
        return Wire.row(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void probesRequestReportsOverOneConnection() throws IOException, InterruptedException {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        StubServer host = StubServer.host((connection, sql) -> {
            queries.add(sql);
            connection.write(reportRow("x0=1767225600.123,x1=1"), Wire.ready());
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
    void errorCodeDeterminesProbeResult(String code, Result result) throws IOException, InterruptedException {
        ProbeResult probeResult = probe(StubServer.host(
            (connection, sql) -> connection.write(Wire.error(code), Wire.ready())));
        assertEquals(result, probeResult.result());
        assertNull(probeResult.report());
    }

    @Test
    void unansweredProbeTimesOutAndItsConnectionIsNotReused() throws IOException, InterruptedException {
        harness.connectTimeoutMs(40);
        StubServer host = StubServer.host((connection, sql) -> {
            if (connection.number() == 1) {
                connection.awaitClose();
            }
            connection.write(reportRow("x1=0"), Wire.ready());
        });
        assertEquals(Result.TIMED_OUT, probe(host).result());
        policy.submit(new RoutingPolicy.Probe("m"));
        policy.next(ProbeResult.class);
        assertEquals(2, host.acceptedCount());
    }

    @Test
    void refusedConnectionIsReportedAsNotConnected() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) -> { });
        host.close();
        assertEquals(Result.NOT_CONNECTED, probe(host).result());
    }

    @Test
    void disconnectClosesIdleConnections() throws IOException, InterruptedException {
        StubServer host = StubServer.host((connection, sql) -> connection.write(reportRow("x1=0"), Wire.ready()));
        ScriptedPolicy sendingPolicy = ScriptedPolicy.sendTo("m", 0);
        harness.host("m", host).start(sendingPolicy);
        harness.client().send(RouterHarness.lookQuery("1"));
        sendingPolicy.next(RoutingPolicy.Outcome.class);
        sendingPolicy.submit(new RoutingPolicy.Disconnect("m"), new RoutingPolicy.Disconnect("unknown"),
            new RoutingPolicy.Probe("unknown"), new RoutingPolicy.LogMessage("noted"), new RoutingPolicy.Probe("m"));
        sendingPolicy.next(ProbeResult.class);
        harness.client().send(RouterHarness.lookQuery("2"));
        sendingPolicy.next(RoutingPolicy.Outcome.class);
        assertEquals(2, host.acceptedCount()); // one closed by Disconnect, one shared by the probe and the read after it
    }

    /** A read may reuse a probe's connection at once, and there may receive a duplicate of the probe's answer. */
    @Test
    void duplicateProbeAnswerIsNotTakenForRequestAnswer() throws IOException, InterruptedException {
        StubServer host = new StubServer(connection -> {
            connection.acceptStartup();
            connection.readQuery();
            connection.write(reportRow("x0=1767225600.123,x1=1"), Wire.ready());
            connection.readAnyQuery(); // the empty query behind the probe
            connection.write(reportRow("x0=1767225600.123,x1=1"), Wire.ready());
            connection.awaitClose();
        });
        ScriptedPolicy sendingPolicy = new ScriptedPolicy(event -> event instanceof ProbeResult
            ? List.of(new RoutingPolicy.Send(1, "m", 0)) : List.of());
        harness.host("m", host).start(sendingPolicy);
        harness.client().send(RouterHarness.lookQuery("1"));
        sendingPolicy.next(RoutingPolicy.Arrival.class);
        sendingPolicy.submit(new RoutingPolicy.Probe("m"));
        assertEquals(Result.RESET, sendingPolicy.next(RoutingPolicy.Outcome.class).result());
        assertEquals(1, harness.router().counts().of(AttemptOutcome.STRAY_ANSWER));
        assertEquals(1, host.acceptedCount());
    }
}
