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

/** How the list of members is followed, whatever discovery does. */
@Timeout(60)
class FollowTest {
    private static final String ADDRESS = "127.0.0.1:9";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final RouterHarness rig = new RouterHarness();
    private final ScriptedPolicy policy = ScriptedPolicy.idle();
    /** The targets that the router asked for. */
    private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws IOException {
        rig.close();
    }

    /** What discovery says to its first request, its second and so on; the last stands for all others. */
    private void start(StubServer.Script... scripts) throws IOException, InterruptedException {
        rig.member("m", ADDRESS).discovery(connection -> {
            asked.add(request(connection));
            scripts[Math.min(connection.number(), scripts.length) - 1].play(connection);
        });
        rig.start(policy);
        assertEquals(ListKind.CACHED, policy.next(MemberList.class).kind());
    }

    /** Reads a request's head; its target. */
    private static String request(StubServer.Connection connection) throws IOException {
        return connection.readRequestHead().split(" ")[1];
    }

    private static void say(StubServer.Connection connection, String text) throws IOException {
        connection.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String list(long revision, boolean complete, String... entries) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
            + String.join(",", entries) + "]}\n";
    }

    private static String ready(String id) {
        return RouterHarness.entry(id, ADDRESS, "Ready", 0);
    }

    private static void watch(StubServer.Connection connection, String... lines) throws IOException {
        say(connection, CHUNKED);
        for (String line : lines) {
            say(connection, chunk(line));
        }
        connection.awaitClose();
    }

    private String askedNext() throws InterruptedException {
        return asked.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void theWatchBeginsAtTheKnownRevisionAndChangesAreToldInOrder() throws IOException, InterruptedException {
        start(connection -> watch(connection, list(42, false, RouterHarness.entry("m", ADDRESS, "Terminating", 0)), "\n",
            list(43, false, "{\"id\":\"m\",\"phase\":\"Gone\"}",
                RouterHarness.entry("n", ADDRESS, "Ready", 1_767_225_600_123L))));
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        MemberList first = policy.next(MemberList.class);
        assertEquals(ListKind.DELTA, first.kind());
        assertEquals(new Listing("m", 2, 1, 0, Phase.DRAINING, 1, false, 0), first.listings().get(0));
        MemberList second = policy.next(MemberList.class);
        assertEquals(Phase.GONE, second.listings().get(0).phase());
        assertEquals(1_767_225_600_123_000_000L, second.listings().get(1).startedAt());
    }

    @Test
    void aLineMayComeInManyChunksAndManyLinesInOne() throws IOException, InterruptedException {
        String line = list(42, false, ready("n"));
        start(connection -> {
            say(connection, CHUNKED + chunk(line.substring(0, 9)));
            say(connection, chunk(line.substring(9) + list(43, false, ready("o")) + list(44, true, ready("p"))));
            connection.awaitClose();
        });
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
        MemberList whole = policy.next(MemberList.class);
        assertEquals(ListKind.FULL, whole.kind());
        assertEquals(List.of("p"), whole.listings().stream().map(Listing::member).toList());
    }

    @Test
    void aWatchThatEndsIsBegunAgainFromTheLastRevision() throws IOException, InterruptedException {
        start(connection -> say(connection, CHUNKED + chunk(list(45, false, ready("n")))),
            connection -> watch(connection, list(46, false, ready("o"))));
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals("/catalog/members?follow=1&since=45", askedNext());
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 503 Busy\r\n\r\n", "nonsense\r\n", CHUNKED + "zz\r\n", CHUNKED + "3\r\n{]\n\r\n",
        CHUNKED + "f\r\n{\"revision\":1}\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
    void aBadReplyIsDroppedAndTheWatchAskedForAgain(String reply) throws IOException, InterruptedException {
        start(connection -> {
            say(connection, reply);
            connection.awaitClose();
        }, connection -> watch(connection, list(42, false, ready("n"))));
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
    }

    @Test
    void anEntryWithABadAddressDropsItsReplyWhole() throws IOException, InterruptedException {
        start(connection -> watch(connection, list(42, true, ready("n"), RouterHarness.entry("o", "nowhere", "Ready", 0))),
            connection -> watch(connection, list(43, true, ready("p"))));
        assertEquals("p", policy.next(MemberList.class).listings().get(0).member());
        assertEquals(1, rig.router().counts().of(Counters.Count.BAD_LISTS));
    }

    @Test
    void changesThatAreKnownAlreadyAreNotToldAgain() throws IOException, InterruptedException {
        start(connection -> watch(connection, list(41, false, ready("m")), list(42, false, ready("n"))));
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
    }

    @Test
    void aRevisionThatGoesBackIsAskedForWhole() throws IOException, InterruptedException {
        start(connection -> watch(connection, list(7, false, ready("n"))),
            connection -> say(connection, "HTTP/1.1 200 OK\r\n\r\n" + list(8, true, ready("o"))));
        askedNext();
        assertEquals("/catalog/members", askedNext());
        MemberList whole = policy.next(MemberList.class);
        assertEquals(ListKind.FULL, whole.kind());
        assertEquals("o", whole.listings().get(0).member());
    }

    @Test
    void aWholeListMayTakeTheRevisionBack() throws IOException, InterruptedException {
        start(connection -> watch(connection, list(3, true, ready("n")), list(4, false, ready("o"))));
        assertEquals(ListKind.FULL, policy.next(MemberList.class).kind());
        assertEquals(ListKind.DELTA, policy.next(MemberList.class).kind());
    }

    @Test
    void aReloadFollowsDiscoveryAtItsNewAddressFromTheRevisionKnown() throws IOException, InterruptedException {
        BlockingQueue<String> askedThere = new LinkedBlockingQueue<>();
        CountDownLatch oldEnded = new CountDownLatch(1);
        start(connection -> {
            watch(connection, list(42, false, ready("n")));
            oldEnded.countDown();
        });
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        try (StubServer there = new StubServer(connection -> {
            askedThere.add(request(connection));
            watch(connection, list(43, false, ready("o")));
        })) {
            String file = rig.config();
            RouterConfig changed = RouterConfig.parse(file.replace(rig.discoveryAddress(), there.address())
                .replace("\"revision\":41", "\"revision\":7").getBytes(StandardCharsets.UTF_8), "config");
            rig.router().reload(changed);
            rig.router().reload(changed);
            assertEquals("/catalog/members?follow=1&since=42", askedThere.poll(20, TimeUnit.SECONDS));
            assertEquals("o", policy.next(MemberList.class).listings().get(0).member());
            assertTrue(oldEnded.await(20, TimeUnit.SECONDS));
            assertEquals(1, there.acceptedCount());
            assertFalse(policy.hasReceived(MemberList.class));
        }
    }

    @Test
    void silenceIsNoEmptyListAndTheWatchIsBegunAgain() throws IOException, InterruptedException {
        start(StubServer.Connection::awaitClose, connection -> watch(connection, list(42, false, ready("n"))));
        askedNext();
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals(ListKind.DELTA, policy.next(MemberList.class).kind());
    }

    /** The watch lives and tells nothing; a change that it hides comes with the next check, from the revision known. */
    @Test
    void aChangeThatTheWatchHidesComesWithACheck() throws IOException, InterruptedException {
        rig.checked();
        start(connection -> watch(connection, list(41, false)),
            connection -> watch(connection, list(42, false, RouterHarness.entry("m", ADDRESS, "Terminating", 0))),
            connection -> watch(connection, list(42, false)));
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals("/catalog/members?follow=1&since=41", askedNext());
        assertEquals(Phase.DRAINING, policy.next(MemberList.class).listings().get(0).phase());
        assertEquals("/catalog/members?follow=1&since=42", askedNext());
        assertEquals(1, rig.router().counts().of(Counters.Count.LISTS_BY_CHECK));
    }

    @Test
    void aReplyThatNeverComesIsGivenUpEachTime() throws IOException, InterruptedException {
        start(StubServer.Connection::awaitClose, StubServer.Connection::awaitClose, StubServer.Connection::awaitClose,
            connection -> watch(connection, list(42, false, ready("n"))));
        assertEquals("n", policy.next(MemberList.class).listings().get(0).member());
        assertEquals(4, rig.router().counts().of(Counters.Count.WATCHES));
        assertEquals(0, rig.router().counts().of(Counters.Count.BAD_LISTS));
    }

    @Test
    void whereListsComeOnlyWhenAskedThePolicyAsksAndHearsOfFailures() throws IOException, InterruptedException {
        rig.listsOnlyWhenAsked();
        start(connection -> say(connection, "HTTP/1.1 503 Busy\r\n\r\n"),
            connection -> watch(connection, list(42, false, ready("n"))),
            connection -> say(connection, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnolist\r\n"));
        assertTrue(asked.isEmpty());
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
