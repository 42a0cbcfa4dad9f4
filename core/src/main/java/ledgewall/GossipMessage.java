package ledgewall;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.Role;

/**
 * What routers hand on to one another of their probes: the form of one datagram, and nothing decided. A datagram holds
 * a version, the sender's zone and as many findings as fit; findings that do not fit go into the next.
 *
 * @param zone     the zone of the router that probed, from which {@code ping} was measured
 * @param findings in the order in which they were found
 */
record GossipMessage(int zone, List<Finding> findings) {
    /** The longest datagram between routers, in bytes. */
    static final int LONGEST = 256;
    private static final byte VERSION = 1;
    private static final int HEADER = 2;
    /** Of a finding, beside the member's id: its length, role, time, lag and ping. */
    private static final int FIXED = 1 + 1 + Long.BYTES + 2 * Integer.BYTES;
    private static final int LONGEST_ID = LONGEST - HEADER - FIXED;
    private static final long MILLI = 1_000_000L;
    private static final long MICRO = 1_000L;
    private static final Role[] ROLES = Role.values();

    /**
     * One member as a probe found it: at {@code at} it had the role, and had applied all up to {@code position}, which is
     * {@link RoutingPolicy#NONE} where unknown; {@code ping} is the prober's average, all in nanoseconds. On the way a
     * position is rounded down to a millisecond before {@code at}, so it never tells of more than was applied; over
     * 24 days behind, it tells of none.
     */
    record Finding(String member, Role role, long at, long position, long ping) { }

    /** The datagrams that hand on these findings; what an id makes too long for any is left out. */
    static List<byte[]> encode(int zone, List<Finding> findings) {
        List<byte[]> datagrams = new ArrayList<>();
        ByteBuffer buffer = begin(zone);
        for (Finding finding : findings) {
            byte[] id = finding.member().getBytes(StandardCharsets.UTF_8);
            if (id.length > LONGEST_ID) {
                continue;
            }
            if (buffer.remaining() < FIXED + id.length) {
                datagrams.add(written(buffer));
                buffer = begin(zone);
            }
            long millis = Math.max(0, (finding.at() - finding.position() + MILLI - 1) / MILLI);
            long lag = finding.position() == RoutingPolicy.NONE || millis > Integer.MAX_VALUE ? -1 : millis;
            buffer.put((byte) id.length).put(id).put((byte) finding.role().ordinal()).putLong(finding.at())
                .putInt((int) lag).putInt((int) Math.min(Integer.MAX_VALUE, finding.ping() / MICRO));
        }
        if (buffer.position() > HEADER) {
            datagrams.add(written(buffer));
        }
        return datagrams;
    }

    private static ByteBuffer begin(int zone) {
        return ByteBuffer.allocate(LONGEST).put(VERSION).put((byte) zone);
    }

    private static byte[] written(ByteBuffer buffer) {
        byte[] datagram = new byte[buffer.position()];
        buffer.flip().get(datagram);
        return datagram;
    }

    /** What a datagram tells; nothing at all where any of it cannot be read. */
    static GossipMessage decode(byte[] datagram) {
        List<Finding> findings = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(datagram);
        if (datagram.length < HEADER || datagram.length > LONGEST || buffer.get() != VERSION) {
            return new GossipMessage(0, List.of());
        }
        int zone = buffer.get();
        while (buffer.hasRemaining()) {
            byte[] id = new byte[Byte.toUnsignedInt(buffer.get())];
            if (buffer.remaining() < id.length + FIXED - 1) {
                return new GossipMessage(zone, List.of());
            }
            buffer.get(id);
            int role = buffer.get();
            long at = buffer.getLong();
            int lag = buffer.getInt();
            int ping = buffer.getInt();
            if (role < 0 || role >= ROLES.length || lag < -1 || ping < 0) {
                return new GossipMessage(zone, List.of());
            }
            findings.add(new Finding(new String(id, StandardCharsets.UTF_8), ROLES[role], at,
                lag < 0 ? RoutingPolicy.NONE : at - lag * MILLI, ping * MICRO));
        }
        return new GossipMessage(zone, findings);
    }
}
