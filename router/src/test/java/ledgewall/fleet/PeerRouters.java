package ledgewall.fleet;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The other routers of a fleet, on one socket: they announce the primaries by gossip and read nothing that is sent to them. */
final class PeerRouters implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final byte VERSION = 1;
    private static final byte ROLE_PRIMARY = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    private final int routers;
    private final int rank;
    private final int routerPort;

    /**
     * Creates the peers of one router.
     *
     * @param routers the number of routers, including the one under test
     * @param rank the rank of the router under test, for which a free gossip port is chosen
     */
    PeerRouters(int routers, int rank) throws IOException {
        this.routers = routers;
        this.rank = rank;
        try (DatagramSocket unused = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            this.routerPort = unused.getLocalPort();
        }
    }

    /** The settings of the router under test that name its peers, which all share one address. */
    String configFragment() {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            peers.add("\"127.0.0.1:" + (i == rank ? routerPort : socket.getLocalPort()) + "\"");
        }
        return "\"peer_listen\":\"127.0.0.1:" + routerPort + "\",\"peers\":[" + String.join(",", peers)
            + "],\"peers_all\":\"127.0.0.1:" + socket.getLocalPort() + "\",";
    }

    /** Sends one datagram per member, which states that the member is a primary with the present time as its position. */
    void announcePrimaries(List<String> members) throws IOException, InterruptedException {
        for (String member : members) {
            byte[] id = member.getBytes(StandardCharsets.UTF_8);
            ByteBuffer datagram = ByteBuffer.allocate(MAX_DATAGRAM_BYTES).put(VERSION).put((byte) 0);
            datagram.put((byte) id.length).put(id).put(ROLE_PRIMARY).putLong(System.currentTimeMillis() * NANOS_PER_MILLI)
                .putInt(0).putInt(1);
            socket.send(new DatagramPacket(datagram.array(), datagram.position(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), routerPort)));
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
