package ledgewall.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.*;
import ledgewall.settings.FormatException;
import org.junit.jupiter.api.Test;

class SimHostTest {
    private static final String INFO = "{\"peersTotal\":2,\"tickNs\":5000000,\"discovery\":\"push\","
        + "\"classes\":[{\"aimNs\":500000000,\"deadlineNs\":1500000000,\"effect\":\"idempotent\"}],"
        + "\"domain\":{\"needsByClass\":[\"any\"],\"originTimeNs\":1000000000,\"behind\":\"refuse\"},"
        + "\"ceilings\":{\"probing\":true,\"maxAttempts\":3},"
        + "\"rules\":{\"warmAfterNs\":1000000000},\"report\":{\"how\":\"none\"},\"surprise\":[1,{}]}";

    /** Records what it is told and answers with what it was given. */
    private static final class Recorder implements RoutingPolicy {
        final List<Event> seen = new ArrayList<>();
        List<Action> answer = List.of();

        @Override
        public List<Action> decide(long now, List<Event> events) {
            seen.addAll(events);
            return answer;
        }
    }

    private final List<Recorder> recorders = new ArrayList<>();
    private final SimHost host = new SimHost((settings, seed) -> {
        recorders.add(new Recorder());
        return recorders.get(recorders.size() - 1);
    });

    private static String batch(String... messages) {
        return "{\"atTimeNs\":9000000000,\"msgs\":[" + String.join(",", messages) + "]}";
    }

    private static String begin(int who) {
        return "{\"what\":\"begin\",\"who\":" + who + ",\"salt\":" + (11 + who) + ",\"info\":" + INFO + "}";
    }

    private static String list(int number, String host) {
        return "{\"what\":\"defineList\",\"rosterId\":" + number + ",\"elements\":[{\"host\":\"" + host
            + "\",\"zone\":1,\"shard\":4,\"phase\":\"IN\",\"bornNs\":null}]}";
    }

    private static String update(int who, int number) {
        return "{\"what\":\"directoryUpdate\",\"who\":" + who + ",\"kind\":\"cached\",\"version\":1,\"rosterId\":"
            + number + "}";
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("{\"do\":[]}\n", host.reply(batch(), "line 1"));
    }

    @Test
    void aReusedListNumberIsResolvedInTheOrderOfEvents() throws IOException {
        host.reply(batch(begin(0), begin(1), list(3, "x:1"), update(0, 3), list(3, "y:1"), update(1, 3)), "line 1");
        assertEquals("x:1", ((MemberList) recorders.get(0).seen.get(0)).listings().get(0).member());
        assertEquals("y:1", ((MemberList) recorders.get(1).seen.get(0)).listings().get(0).member());
    }

    @Test
    void aRestartInOneBatchLeavesTheOldLifeBehind() throws IOException {
        host.reply(batch(begin(0), list(0, "x:1"), update(0, 0)), "line 1");
        String tick = "{\"what\":\"tickDue\",\"who\":0,\"handle\":7}";
        host.reply(batch(tick, "{\"what\":\"teardown\",\"who\":0}", begin(0), update(0, 0)), "line 2");
        assertEquals(2, recorders.size());
        assertEquals(1, recorders.get(0).seen.size());
        assertEquals(1, recorders.get(1).seen.size());
    }

    @Test
    void outcomesCarryRoleAndPosition() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        host.reply(batch("{\"what\":\"verdict\",\"who\":0,\"ticket\":9,\"leg\":1,\"host\":\"x:1\",\"elapsedNs\":5,"
            + "\"complete\":false,\"mark\":10001,\"result\":\"MISS\",\"report\":{\"x0\":1.5,\"x1\":0}}"), "line 2");
        Outcome outcome = (Outcome) recorders.get(0).seen.get(0);
        assertEquals(Result.MISDIRECTED, outcome.result());
        assertEquals(Role.PRIMARY, outcome.role());
        assertEquals(1_000_000_000L + 2_500L * 1_000_000L, outcome.position());
        assertEquals(2_500_000_000L, outcome.report().position());
        assertEquals(Role.REPLICA, outcome.report().role());
    }

    @Test
    void everyResultWordIsKnown() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        List<String> words = List.of("GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS");
        for (String word : words) {
            host.reply(batch("{\"what\":\"echo\",\"who\":0,\"host\":\"x:1\",\"elapsedNs\":5,\"result\":\"" + word
                + "\",\"report\":null}"), "line 2");
        }
        List<Result> results = recorders.get(0).seen.stream().map(e -> ((ProbeResult) e).result()).toList();
        assertEquals(List.of(Result.values()), results);
    }

    @Test
    void everyActionHasItsWords() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        recorders.get(0).answer = List.of(new Send(1, "x:1", 5), new Refuse(2, 6), new Fail(3), new Cancel(4, 1),
            new Probe("x:1"), new SetTimer(9, 8), new Subscribe(), new FetchList(),
            new Disconnect("x:1"), new SendToPeer(2, new byte[] {104, 105}), new SendToPeer(RoutingPolicy.NONE, new byte[0]),
            new LogMessage("a \"note\""));
        assertEquals("{\"do\":["
            + "{\"what\":\"place\",\"who\":0,\"ticket\":1,\"giveUpAfterNs\":5,\"host\":\"x:1\"},"
            + "{\"what\":\"overloadReply\",\"who\":0,\"ticket\":2,\"pauseNs\":6},"
            + "{\"what\":\"reportFailure\",\"who\":0,\"ticket\":3},"
            + "{\"what\":\"dropAttempt\",\"who\":0,\"ticket\":4,\"leg\":1},"
            + "{\"what\":\"poll\",\"who\":0,\"host\":\"x:1\"},"
            + "{\"what\":\"after\",\"who\":0,\"whenNs\":9,\"handle\":8},"
            + "{\"what\":\"keepInformed\",\"who\":0,\"active\":true},"
            + "{\"what\":\"getList\",\"who\":0},"
            + "{\"what\":\"dropConns\",\"who\":0,\"host\":\"x:1\"},"
            + "{\"what\":\"notify\",\"who\":0,\"whom\":2,\"octets\":\"aGk=\"},"
            + "{\"what\":\"notify\",\"who\":0,\"whom\":\"*\",\"octets\":\"\"},"
            + "{\"what\":\"trace\",\"who\":0,\"line\":\"a \\\"note\\\"\"}]}\n",
            host.reply(batch("{\"what\":\"tickDue\",\"who\":0,\"handle\":1}"), "line 2"));
    }

    @Test
    void unknownKindsAndFieldsAreSkippedAndStrangersIgnored() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        assertEquals("{\"do\":[]}\n", host.reply(batch("{\"what\":\"festival\"}", "{\"what\":\"fair\",\"who\":0}",
            "{\"what\":\"tickDue\",\"who\":8,\"handle\":1,\"colour\":\"red\"}"), "line 2"));
        assertTrue(recorders.get(0).seen.isEmpty());
    }

    @Test
    void malformedInputIsNamedWithItsPlace() {
        assertMessage("line 4: no JSON", "{\"atTimeNs\":");
        assertMessage("line 4: lacks 'atTimeNs'", "{\"msgs\":[]}");
        assertMessage("line 4, msgs[1]: lacks 'salt'", batch(list(0, "x:1"), "{\"what\":\"begin\",\"who\":0,\"info\":{}}"));
        assertMessage("line 4, msgs[0]: lacks 'what'", batch("{}"));
        assertMessage("line 4, msgs[0]: lacks 'ticket'", batch("{\"what\":\"verdict\",\"who\":0}"));
        assertMessage("line 4, msgs[0]: lacks 'who'", batch("{\"what\":\"tickDue\",\"handle\":1}"));
        assertMessage("line 4: no JSON object", "[]");
    }

    private void assertMessage(String expected, String line) {
        FormatException thrown = assertThrows(FormatException.class, () -> host.reply(line, "line 4"));
        assertTrue(thrown.getMessage().startsWith(expected), thrown.getMessage());
    }

    @Test
    void instancesActAlikeTogetherAndAlone() throws IOException {
        String both = serve(batch(begin(0), begin(1), list(0, "x:1"), update(0, 0), update(1, 0)));
        String first = serve(batch(begin(0), list(0, "x:1"), update(0, 0)));
        String second = serve(batch(begin(1), list(0, "x:1"), update(1, 0)));
        assertEquals(both.length(), first.length() + second.length() - "{\"do\":[]}\n".length() + 1);
        assertTrue(both.startsWith(first.substring(0, first.length() - 3)));
    }

    @Test
    void theEndOfInputEndsTheService() throws IOException {
        assertEquals("", serve(""));
    }

    private static String serve(String lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(ReplicaRoutingPolicy::new).serve(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }
}
