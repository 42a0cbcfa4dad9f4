package ledgewall;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy.Role;

/**
 * The encoding of the datagrams by which routers share the results of their probes. A datagram holds a version, the sender's
 * zone and as many observations as fit; those that do not fit go into the next datagram.
 *
 * @param zone         the zone of the router that probed, from which {@code roundTrip} was measured
 * @param observations in the order in which they were made
 */
record GossipMessage(int zone, List<Observation> observations) {
    /** The longest datagram between routers, in bytes. */
    static final int MAX_BYTES = 256;
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 2;
    /** The length of an observation without the member's id: the id's length, role, time, lag and round trip. */
    private static final int FIXED_BYTES = 1 + 1 + Long.BYTES + 2 * Integer.BYTES;
    private static final int MAX_ID_BYTES = MAX_BYTES - HEADER_BYTES - FIXED_BYTES;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final Role[] ROLES = Role.values();

    /**
     * The state of one member as a probe found it at {@code at}: its role, the position up to which it had applied all
     * commits, {@link RoutingPolicy#NONE} where unknown, and the prober's average round trip, all in nanoseconds. A datagram
     * holds the position as a lag behind {@code at}, rounded up to a millisecond so that it never claims more than was
     * applied; a lag over 24 days, the range of the field, is sent as an unknown position.
     */
    record Observation(String member, Role role, long at, long position, long roundTrip) { }

    /** Encodes observations into datagrams, leaving out those whose id is too long for a datagram. */
    static List<byte[]> encode(int zone, List<Observation> observations) {
        List<byte[]> datagrams = new ArrayList<>();
        ByteBuffer buffer = newDatagram(zone);
        for (Observation observation : observations) {
            byte[] id = observation.member().getBytes(StandardCharsets.UTF_8);
            if (id.length > MAX_ID_BYTES) {
                continue;
            }
            if (buffer.remaining() < FIXED_BYTES + id.length) {
                datagrams.add(toBytes(buffer));
                buffer = newDatagram(zone);
            }
            long millis = Math.max(0, (observation.at() - observation.position() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
            long lag = observation.position() == RoutingPolicy.NONE || millis > Integer.MAX_VALUE ? -1 : millis;
            buffer.put((byte) id.length).put(id).put((byte) observation.role().ordinal()).putLong(observation.at())
                .putInt((int) lag).putInt((int) Math.min(Integer.MAX_VALUE, observation.roundTrip() / NANOS_PER_MICRO));
        }
        if (buffer.position() > HEADER_BYTES) {
            datagrams.add(toBytes(buffer));
        }
        return datagrams;
    }

    private static ByteBuffer newDatagram(int zone) {
        return ByteBuffer.allocate(MAX_BYTES).put(VERSION).put((byte) zone);
    }

    private static byte[] toBytes(ByteBuffer buffer) {
        byte[] datagram = new byte[buffer.position()];
        buffer.flip().get(datagram);
        return datagram;
    }

    /** Decodes a datagram; the result has no observations if any part of it is invalid or its version is unknown. */
    static GossipMessage decode(byte[] datagram) {
        List<Observation> observations = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(datagram);
        if (datagram.length < HEADER_BYTES || datagram.length > MAX_BYTES || buffer.get() != VERSION) {
            return new GossipMessage(0, List.of());
        }
        int zone = buffer.get();
        while (buffer.hasRemaining()) {
            byte[] id = new byte[Byte.toUnsignedInt(buffer.get())];
            if (buffer.remaining() < id.length + FIXED_BYTES - 1) {
                return new GossipMessage(zone, List.of());
            }
            buffer.get(id);
            int role = buffer.get();
            long at = buffer.getLong();
            int lag = buffer.getInt();
            int roundTrip = buffer.getInt();
            if (role < 0 || role >= ROLES.length || lag < -1 || roundTrip < 0) {
                return new GossipMessage(zone, List.of());
            }
            observations.add(new Observation(new String(id, StandardCharsets.UTF_8), ROLES[role], at,
                lag < 0 ? RoutingPolicy.NONE : at - lag * NANOS_PER_MILLI, roundTrip * NANOS_PER_MICRO));
        }
        return new GossipMessage(zone, observations);
    }
}
