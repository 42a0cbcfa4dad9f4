package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ListKind;
import ledgewall.RoutingPolicy.Listing;
import ledgewall.RoutingPolicy.MemberList;
import ledgewall.RoutingPolicy.Phase;
import ledgewall.standin.ScriptedPolicy;
import ledgewall.standin.StubServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Follows the list of members from a scripted discovery service, including faulty and silent ones. */
@Timeout(60)
class DiscoveryTest {
    private static final String ADDRESS = "127.0.0.1:9";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final long SLOW_ANSWER_NANOS = 1_500 * RouterHarness.MS;

    private final RouterHarness harness = new RouterHarness();
    private final ScriptedPolicy policy = ScriptedPolicy.idle();
    /** The request targets that discovery received from the router. */
    private final BlockingQueue<String> requestedTargets = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    /** Starts a router whose requests to discovery are answered by the scripts in order; the last one answers all others. */
    private void start(StubServer.Script... scripts) throws IOException, InterruptedException {
        harness.member("m", ADDRESS).discovery(connection -> {
            requestedTargets.add(readTarget(connection));
            scripts[Math.min(connection.number(), scripts.length) - 1].play(connection);
        });
        harness.start(policy);
        assertEquals(ListKind.CACHED, policy.next(MemberList.class).kind());
    }

    /** Reads the head of an HTTP request and returns its target. */
    private static String readTarget(StubServer.Connection connection) throws IOException {
        return connection.readRequestHead().split(" ")[1];
    }

    private static void write(StubServer.Connection connection, String text) throws IOException {
        connection.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String listLine(long revision, boolean complete, String... entries) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
            + String.join(",", entries) + "]}\n";
    }

    private static String readyMember(String id) {
        return RouterHarness.memberJson(id, ADDRESS, "Ready", 0);
    }

    private static void streamLines(StubServer.Connection connection, String... lines) throws IOException {
        write(connection, CHUNKED);
        for (String line : lines) {
            write(connection, chunk(line));
        }
        connection.awaitClose();
    }

    private String nextTarget() throws InterruptedException {
        return requestedTargets.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void watchStartsAtKnownRevisionAndReportsChangesInOrder() throws IOException, InterruptedException {
        start(connection -> streamLines(connection,
            listLine(42, false, RouterHarness.memberJson("m", ADDRESS, "Terminating", 0)), "\n",
            listLine(43, false, "{\"id\":\"m\",\"phase\":\"Gone\"}",
                RouterHarness.memberJson("n", ADDRESS, "Ready", 1_767_225_600_123L))));
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        MemberList first = policy.next(MemberList.class);
        assertEquals(ListKind.DELTA, first.kind());
        assertEquals(new Listing("m", 2, 1, 0, Phase.DRAINING, 1, false, 0), first.listings().get(0));
        MemberList second = policy.next(MemberList.class);
        assertEquals(Phase.GONE, second.listings().get(0).phase());
        assertEquals(1_767_225_600_123_000_000L, second.listings().get(1).startedAt());
    }

    @Test
    void linesMaySpanChunksAndChunksMayHoldSeveralLines() throws IOException, InterruptedException {
        String line = listLine(42, false, readyMember("n"));
        start(connection -> {
            write(connection, CHUNKED + chunk(line.substring(0, 9)));
            write(connection, chunk(line.substring(9) + listLine(43, false, readyMember("o"))
                + listLine(44, true, readyMember("p"))));
            connection.awaitClose();
        });
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
        MemberList completeList = policy.next(MemberList.class);
        assertEquals(ListKind.FULL, completeList.kind());
        assertEquals(List.of("p"), completeList.listings().stream().map(Listing::member).toList());
    }

    @Test
    void endedWatchRestartsFromLastRevision() throws IOException, InterruptedException {
        start(connection -> write(connection, CHUNKED + chunk(listLine(45, false, readyMember("n")))),
            connection -> streamLines(connection, listLine(46, false, readyMember("o"))));
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals("/catalog/members?follow=1&since=45", nextTarget());
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 503 Busy\r\n\r\n", "nonsense\r\n", CHUNKED + "zz\r\n", CHUNKED + "3\r\n{]\n\r\n",
        CHUNKED + "f\r\n{\"revision\":1}\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
    void malformedResponseIsDroppedAndWatchIsRetried(String reply) throws IOException, InterruptedException {
        start(connection -> {
            write(connection, reply);
            connection.awaitClose();
        }, connection -> streamLines(connection, listLine(42, false, readyMember("n"))));
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
    }

    @Test
    void listWithInvalidMemberAddressIsDroppedEntirely() throws IOException, InterruptedException {
        start(connection -> streamLines(connection,
            listLine(42, true, readyMember("n"), RouterHarness.memberJson("o", "nowhere", "Ready", 0))),
            connection -> streamLines(connection, listLine(43, true, readyMember("p"))));
        assertEquals("p", policy.next(MemberList.class).listings().get(0).member());
        assertEquals(1, harness.router().counts().of(Counters.Count.BAD_LISTS));
    }

    @Test
    void knownChangesAreNotReportedAgain() throws IOException, InterruptedException {
        start(connection -> streamLines(connection,
            listLine(41, false, readyMember("m")), listLine(42, false, readyMember("n"))));
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
    }

    @Test
    void decreasingRevisionTriggersRequestForCompleteList() throws IOException, InterruptedException {
        start(connection -> streamLines(connection, listLine(7, false, readyMember("n"))),
            connection -> write(connection, "HTTP/1.1 200 OK\r\n\r\n" + listLine(8, true, readyMember("o"))));
        nextTarget();
        assertEquals("/catalog/members", nextTarget());
        MemberList completeList = policy.next(MemberList.class);
        assertEquals(ListKind.FULL, completeList.kind());
        assertEquals("o", completeList.listings().get(0).member());
    }

    @Test
    void completeListMayDecreaseTheRevision() throws IOException, InterruptedException {
        start(connection -> streamLines(connection, listLine(3, true, readyMember("n")), listLine(4, false, readyMember("o"))));
        assertEquals(ListKind.FULL, policy.next(MemberList.class).kind());
        assertEquals(ListKind.DELTA, policy.next(MemberList.class).kind());
    }

    @Test
    void reloadContinuesAtNewDiscoveryAddressFromKnownRevision() throws IOException, InterruptedException {
        BlockingQueue<String> newAddressTargets = new LinkedBlockingQueue<>();
        CountDownLatch oldWatchClosed = new CountDownLatch(1);
        start(connection -> {
            streamLines(connection, listLine(42, false, readyMember("n")));
            oldWatchClosed.countDown();
        });
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        try (StubServer newDiscovery = new StubServer(connection -> {
            newAddressTargets.add(readTarget(connection));
            streamLines(connection, listLine(43, false, readyMember("o")));
        })) {
            String configJson = harness.config();
            RouterConfig changed = RouterConfig.parse(configJson.replace(harness.discoveryAddress(), newDiscovery.address())
                .replace("\"revision\":41", "\"revision\":7").getBytes(StandardCharsets.UTF_8), "config");
            harness.router().reload(changed);
            harness.router().reload(changed);
            assertEquals("/catalog/members?follow=1&since=42", newAddressTargets.poll(20, TimeUnit.SECONDS));
            assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
            assertTrue(oldWatchClosed.await(20, TimeUnit.SECONDS));
            assertEquals(1, newDiscovery.acceptedCount());
            assertFalse(policy.hasReceived(MemberList.class));
        }
    }

    @Test
    void silentDiscoveryKeepsMembersAndWatchIsRestarted() throws IOException, InterruptedException {
        start(StubServer.Connection::awaitClose, connection -> streamLines(connection, listLine(42, false, readyMember("n"))));
        nextTarget();
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals(ListKind.DELTA, policy.next(MemberList.class).kind());
    }

    /** The watch stays open but reports nothing; the next check from the known revision finds the missed change. */
    @Test
    void checkFindsChangeThatWatchDidNotReport() throws IOException, InterruptedException {
        harness.withListChecks();
        start(connection -> streamLines(connection, listLine(41, false)),
            connection -> streamLines(connection, listLine(42, false, RouterHarness.memberJson("m", ADDRESS, "Terminating", 0))),
            connection -> streamLines(connection, listLine(42, false)));
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals("/catalog/members?follow=1&since=41", nextTarget());
        assertEquals(Phase.DRAINING, policy.next(MemberList.class).listings().get(0).phase());
        assertEquals("/catalog/members?follow=1&since=42", nextTarget());
        assertEquals(1, harness.router().counts().of(Counters.Count.LISTS_BY_CHECK));
    }

    @Test
    void unansweredWatchTimesOutOnEachAttempt() throws IOException, InterruptedException {
        start(StubServer.Connection::awaitClose, StubServer.Connection::awaitClose, StubServer.Connection::awaitClose,
            connection -> streamLines(connection, listLine(42, false, readyMember("n"))));
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals(4, harness.router().counts().of(Counters.Count.WATCHES));
        assertEquals(0, harness.router().counts().of(Counters.Count.BAD_LISTS));
    }

    /** Guards against a router that never learns of a change, since it gives up each call before discovery answers it. */
    @Test
    void answerThatTakesLongerThanAnotherCallIsAwaited() throws IOException, InterruptedException {
        start(connection -> {
            LockSupport.parkNanos(SLOW_ANSWER_NANOS);
            streamLines(connection, listLine(42, false, readyMember("n")));
        });
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
    }

    @Test
    void withListsOnRequestThePolicyRequestsThemAndIsToldOfFailures() throws IOException, InterruptedException {
        harness.withListsOnRequest();
        start(connection -> write(connection, "HTTP/1.1 503 Busy\r\n\r\n"),
            connection -> streamLines(connection, listLine(42, false, readyMember("n"))),
            connection -> write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnolist\r\n"));
        assertTrue(requestedTargets.isEmpty());
        policy.submit(new RoutingPolicy.Subscribe());
        assertEquals(ListKind.FAILED, policy.next(MemberList.class).kind());
        policy.submit(new RoutingPolicy.Subscribe());
        assertEquals(ListKind.DELTA, policy.next(MemberList.class).kind());
        policy.submit(new RoutingPolicy.FetchList());
        MemberList failed = policy.next(MemberList.class);
        assertEquals(ListKind.FAILED, failed.kind());
        assertTrue(failed.listings().isEmpty());
        assertFalse(policy.hasReceived(MemberList.class));
    }
}
