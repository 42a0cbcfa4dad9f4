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

/** The other routers of a tier: they tell once which member of each group is its primary, and count what they are told. */
final class FellowRouters implements AutoCloseable {
    private static final int LONGEST_DATAGRAM = 256;
    private static final byte VERSION = 1;
    private static final byte PRIMARY = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    private final int routers;
    private final int rank;
    private final int port;

    /** All of so many routers but the one of this rank, whose datagrams arrive at a port that is free now. */
    FellowRouters(int routers, int rank) throws IOException {
        this.routers = routers;
        this.rank = rank;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            this.port = free.getLocalPort();
        }
    }

    /** The part of a router's configuration that names its fellows; all share one address here. */
    String config() {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            peers.add("\"127.0.0.1:" + (i == rank ? port : socket.getLocalPort()) + "\"");
        }
        return "\"peer_listen\":\"127.0.0.1:" + port + "\",\"peers\":[" + String.join(",", peers) + "],\"peers_all\":\"127.0.0.1:"
            + socket.getLocalPort() + "\",";
    }

    /** Tells of each of these members that it is a primary, and up to date. */
    void tellPrimaries(List<String> members) throws IOException, InterruptedException {
        for (String member : members) {
            byte[] id = member.getBytes(StandardCharsets.UTF_8);
            ByteBuffer datagram = ByteBuffer.allocate(LONGEST_DATAGRAM).put(VERSION).put((byte) 0);
            datagram.put((byte) id.length).put(id).put(PRIMARY).putLong(System.currentTimeMillis() * NANOS_PER_MILLI)
                .putInt(0).putInt(1);
            socket.send(new DatagramPacket(datagram.array(), datagram.position(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
