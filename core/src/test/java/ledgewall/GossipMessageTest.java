package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import ledgewall.GossipMessage.Observation;
import ledgewall.RoutingPolicy.Role;
import org.junit.jupiter.api.Test;

class GossipMessageTest {
    private static final long AT = 1_000 * PolicyHarness.SECOND;

    private static Observation encodeAndDecode(long position) {
        Observation observation = new Observation("a", Role.REPLICA, AT, position, 2_000_000);
        return GossipMessage.decode(GossipMessage.encode(1, List.of(observation)).get(0))
            .observations().get(0);
    }

    @Test
    void manyObservationsFillSeveralDatagramsAndNoDecodedPositionIsLaterThanTheEncodedOne() {
        List<Observation> sent = IntStream.range(0, 60).mapToObj(i -> new Observation("s-" + i, Role.REPLICA, AT, AT - i, 0))
            .toList();
        List<byte[]> datagrams = GossipMessage.encode(1, sent);
        assertTrue(datagrams.size() > 1 && datagrams.stream().allMatch(d -> d.length <= GossipMessage.MAX_BYTES));
        List<Observation> decoded = datagrams.stream().flatMap(d -> GossipMessage.decode(d).observations().stream()).toList();
        assertEquals(sent.stream().map(Observation::member).toList(), decoded.stream().map(Observation::member).toList());
        assertTrue(IntStream.range(0, 60).allMatch(i -> decoded.get(i).position() <= sent.get(i).position()));
    }

    @Test
    void unknownPositionAndPositionTooOldForItsFieldDecodeAsNone() {
        assertEquals(RoutingPolicy.NONE, encodeAndDecode(RoutingPolicy.NONE).position());
        assertEquals(RoutingPolicy.NONE, encodeAndDecode(AT - 30L * 86_400 * PolicyHarness.SECOND).position());
    }

    @Test
    void truncatedDatagramAndUnknownVersionDecodeToNoObservations() {
        byte[] whole = GossipMessage.encode(1, List.of(new Observation("a", Role.PRIMARY, AT, AT, 0))).get(0);
        for (int length = 0; length < whole.length; length++) {
            assertEquals(List.of(), GossipMessage.decode(Arrays.copyOf(whole, length)).observations(),
                "datagram cut to " + length + " bytes");
        }
        whole[0]++;
        assertEquals(List.of(), GossipMessage.decode(whole).observations());
    }
}
