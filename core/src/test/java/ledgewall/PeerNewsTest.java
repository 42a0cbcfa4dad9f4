package ledgewall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import ledgewall.PeerNews.Finding;
import ledgewall.RoutingPolicy.Role;
import org.junit.jupiter.api.Test;

class PeerNewsTest {
    private static final long AT = 1_000 * Bench.SECOND;

    private static Finding read(long position) {
        return PeerNews.decode(PeerNews.encode(1, List.of(new Finding("a", Role.REPLICA, AT, position, 2_000_000))).get(0))
            .findings().get(0);
    }

    @Test
    void manyFindingsFillSeveralDatagramsAndNoneTellsOfMoreThanWasApplied() {
        List<Finding> sent = IntStream.range(0, 60).mapToObj(i -> new Finding("s-" + i, Role.REPLICA, AT, AT - i, 0)).toList();
        List<byte[]> datagrams = PeerNews.encode(1, sent);
        assertTrue(datagrams.size() > 1 && datagrams.stream().allMatch(d -> d.length <= PeerNews.LONGEST));
        List<Finding> read = datagrams.stream().flatMap(d -> PeerNews.decode(d).findings().stream()).toList();
        assertEquals(sent.stream().map(Finding::member).toList(), read.stream().map(Finding::member).toList());
        assertTrue(IntStream.range(0, 60).allMatch(i -> read.get(i).position() <= sent.get(i).position()));
    }

    @Test
    void aPositionThatIsUnknownOrTooOldToBeWrittenIsNone() {
        assertEquals(RoutingPolicy.NONE, read(RoutingPolicy.NONE).position());
        assertEquals(RoutingPolicy.NONE, read(AT - 30L * 86_400 * Bench.SECOND).position());
    }

    @Test
    void whatIsCutShortOrOfAnotherVersionTellsNothing() {
        byte[] whole = PeerNews.encode(1, List.of(new Finding("a", Role.PRIMARY, AT, AT, 0))).get(0);
        for (int length = 0; length < whole.length; length++) {
            assertEquals(List.of(), PeerNews.decode(Arrays.copyOf(whole, length)).findings(), "of " + length + " bytes");
        }
        whole[0]++;
        assertEquals(List.of(), PeerNews.decode(whole).findings());
    }
}
