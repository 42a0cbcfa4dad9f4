package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import ledgewall.GossipMessage.Finding;
import ledgewall.RoutingPolicy.Role;
import org.junit.jupiter.api.Test;

class GossipMessageTest {
    private static final long AT = 1_000 * PolicyHarness.SECOND;

    private static Finding read(long position) {
        Finding finding = new Finding("a", Role.REPLICA, AT, position, 2_000_000);
        return GossipMessage.decode(GossipMessage.encode(1, List.of(finding)).get(0))
            .findings().get(0);
    }

    @Test
    void manyFindingsFillSeveralDatagramsAndNoneTellsOfMoreThanWasApplied() {
        List<Finding> sent = IntStream.range(0, 60).mapToObj(i -> new Finding("s-" + i, Role.REPLICA, AT, AT - i, 0)).toList();
        List<byte[]> datagrams = GossipMessage.encode(1, sent);
        assertTrue(datagrams.size() > 1 && datagrams.stream().allMatch(d -> d.length <= GossipMessage.LONGEST));
        List<Finding> read = datagrams.stream().flatMap(d -> GossipMessage.decode(d).findings().stream()).toList();
        assertEquals(sent.stream().map(Finding::member).toList(), read.stream().map(Finding::member).toList());
        assertTrue(IntStream.range(0, 60).allMatch(i -> read.get(i).position() <= sent.get(i).position()));
    }

    @Test
    void aPositionThatIsUnknownOrTooOldToBeWrittenIsNone() {
        assertEquals(RoutingPolicy.NONE, read(RoutingPolicy.NONE).position());
        assertEquals(RoutingPolicy.NONE, read(AT - 30L * 86_400 * PolicyHarness.SECOND).position());
    }

    @Test
    void whatIsCutShortOrOfAnotherVersionTellsNothing() {
        byte[] whole = GossipMessage.encode(1, List.of(new Finding("a", Role.PRIMARY, AT, AT, 0))).get(0);
        for (int length = 0; length < whole.length; length++) {
            assertEquals(List.of(), GossipMessage.decode(Arrays.copyOf(whole, length)).findings(), "of " + length + " bytes");
        }
        whole[0]++;
        assertEquals(List.of(), GossipMessage.decode(whole).findings());
    }
}
