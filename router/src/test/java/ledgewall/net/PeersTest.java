package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.PeerMessage;
import ledgewall.standin.ScriptedPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class PeersTest {
    private static final int RECEIVE_TIMEOUT_MS = 20_000;
    private final RouterHarness harness = new RouterHarness();
    private final ScriptedPolicy policy = ScriptedPolicy.idle();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    private static DatagramSocket openSocket() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(RECEIVE_TIMEOUT_MS);
        return socket;
    }

    private static String address(DatagramSocket socket) {
        return socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private static byte[] receive(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[600], 600);
        socket.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    @Test
    void datagramsReachOneOrAllPeersAndAreAcceptedFromPeersOnly() throws IOException, InterruptedException {
        try (DatagramSocket peer = openSocket(); DatagramSocket allPeers = openSocket();
                DatagramSocket unknownSender = openSocket()) {
            harness.peers("\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:1\",\"" + address(peer)
                + "\"],\"peers_all\":\"" + address(allPeers) + "\",").start(policy);
            policy.submit(new RoutingPolicy.SendToPeer(1, new byte[] {1, 2}), new RoutingPolicy.SendToPeer(7, new byte[1]),
                new RoutingPolicy.SendToPeer(1, new byte[257]), new RoutingPolicy.SendToPeer(RoutingPolicy.NONE, new byte[] {3}));
            assertArrayEquals(new byte[] {1, 2}, receive(peer));
            assertArrayEquals(new byte[] {3}, receive(allPeers));
            var routerAddress = harness.router().peerAddress();
            unknownSender.send(new DatagramPacket(new byte[] {9}, 1, routerAddress));
            peer.send(new DatagramPacket(new byte[257], 257, routerAddress));
            peer.send(new DatagramPacket(new byte[256], 256, routerAddress));
            PeerMessage message = policy.next(PeerMessage.class);
            assertEquals(1, message.from());
            assertEquals(256, message.content().length);
            assertEquals(4, harness.router().counts().of(Counters.Count.BAD_PEER_MESSAGES));
            assertEquals(2, harness.router().counts().of(Counters.Count.PEER_MESSAGES_OUT));
        }
    }

    /** Guards against memory in proportion to the addresses from which strangers send. */
    @ParameterizedTest
    @ValueSource(ints = {20, 500})
    void datagramsOfStrangersLeaveNoState(int strangers) throws IOException {
        harness.peers("\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:1\"],\"peers_all\":\"127.0.0.1:2\",").start(policy);
        for (int i = 0; i < strangers; i++) {
            try (DatagramSocket stranger = openSocket()) {
                stranger.send(new DatagramPacket(new byte[] {9}, 1, harness.router().peerAddress()));
            }
        }
        while (harness.router().counts().of(Counters.Count.BAD_PEER_MESSAGES) < strangers / 2) {
            Thread.onSpinWait(); // the kernel may drop datagrams; the test's timeout ends the loop
        }
        while (harness.router().peerSessionCount() > 1) {
            Thread.onSpinWait(); // the last one's session is closed while this test looks
        }
    }

    /** Guards against a queue in proportion to what a peer sends while the event loop is busy. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 4_000})
    void datagramsBeyondWhatMayWaitForTheEventLoopAreDropped(int datagrams) throws IOException, InterruptedException {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger received = new AtomicInteger();
        ScriptedPolicy blocking = new ScriptedPolicy(event -> {
            if (event instanceof PeerMessage && received.incrementAndGet() == 1) {
                loopBlocked.countDown();
                AttemptOutcomeTest.await(release);
            }
            return List.of();
        });
        try (DatagramSocket peer = openSocket()) {
            harness.peers("\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:1\",\"" + address(peer)
                + "\"],\"peers_all\":\"127.0.0.1:2\",").start(blocking);
            DatagramPacket packet = new DatagramPacket(new byte[] {7}, 1, harness.router().peerAddress());
            sendAndAwait(peer, packet, 1);
            assertTrue(loopBlocked.await(20, TimeUnit.SECONDS));
            for (int sent = 2; sent <= datagrams; sent++) {
                sendAndAwait(peer, packet, sent);
            }
            release.countDown();
            harness.router().sizes(); // in the turn whose end passes the queued messages to the policy
            harness.router().sizes();
            assertEquals(1 + 256, received.get());
        }
    }

    /** Sends a datagram and waits until the router has taken or dropped it, so that none is left in the kernel. */
    private void sendAndAwait(DatagramSocket peer, DatagramPacket packet, int sent) throws IOException {
        peer.send(packet);
        Counters counts = harness.router().counts();
        while (counts.of(Counters.Count.PEER_MESSAGES_IN) + counts.of(Counters.Count.PEER_MESSAGES_DROPPED) < sent) {
            Thread.onSpinWait(); // the test's timeout ends the loop
        }
    }
}
