package ledgewall.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
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
        + "\"rules\":{\"warmAfterNs\":1000000000},\"report\":{\"how\":\"none\"},\"unknownField\":[1,{}]}";

    /** Records the events it receives and returns the actions that a test has set. */
    private static final class RecordingPolicy implements RoutingPolicy {
        final List<Event> received = new ArrayList<>();
        List<Action> actions = List.of();

        @Override
        public List<Action> decide(long now, List<Event> events) {
            received.addAll(events);
            return actions;
        }

        @Override
        public long confirmSend(long now, long request, int attempt) {
            throw new AssertionError("the simulator sends at once");
        }
    }

    private final List<RecordingPolicy> policies = new ArrayList<>();
    private final SimHost host = new SimHost((settings, seed) -> {
        policies.add(new RecordingPolicy());
        return policies.get(policies.size() - 1);
    });

    private static String batch(String... messages) {
        return "{\"atTimeNs\":9000000000,\"msgs\":[" + String.join(",", messages) + "]}";
    }

    private static String begin(int instance) {
        return "{\"what\":\"begin\",\"who\":" + instance + ",\"salt\":" + (11 + instance) + ",\"info\":" + INFO + "}";
    }

    private static String defineList(int rosterId, String member) {
        return "{\"what\":\"defineList\",\"rosterId\":" + rosterId + ",\"elements\":[{\"host\":\"" + member
            + "\",\"zone\":1,\"shard\":4,\"phase\":\"IN\",\"bornNs\":null}]}";
    }

    private static String directoryUpdate(int instance, int rosterId) {
        return "{\"what\":\"directoryUpdate\",\"who\":" + instance + ",\"kind\":\"cached\",\"version\":1,\"rosterId\":"
            + rosterId + "}";
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("{\"do\":[]}\n", host.reply(batch(), "line 1"));
    }

    @Test
    void reusedRosterIdRefersToItsLatestDefinition() throws IOException {
        host.reply(batch(begin(0), begin(1), defineList(3, "x:1"), directoryUpdate(0, 3), defineList(3, "y:1"),
            directoryUpdate(1, 3)), "line 1");
        assertEquals("x:1", ((MemberList) policies.get(0).received.get(0)).listings().get(0).member());
        assertEquals("y:1", ((MemberList) policies.get(1).received.get(0)).listings().get(0).member());
    }

    @Test
    void restartWithinABatchDropsEventsOfTheEndedInstance() throws IOException {
        host.reply(batch(begin(0), defineList(0, "x:1"), directoryUpdate(0, 0)), "line 1");
        String timerDue = "{\"what\":\"tickDue\",\"who\":0,\"handle\":7}";
        host.reply(batch(timerDue, "{\"what\":\"teardown\",\"who\":0}", begin(0), directoryUpdate(0, 0)), "line 2");
        assertEquals(2, policies.size());
        assertEquals(1, policies.get(0).received.size());
        assertEquals(1, policies.get(1).received.size());
    }

    @Test
    void outcomesCarryRoleAndPosition() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        host.reply(batch("{\"what\":\"verdict\",\"who\":0,\"ticket\":9,\"leg\":1,\"host\":\"x:1\",\"elapsedNs\":5,"
            + "\"complete\":false,\"mark\":10001,\"result\":\"MISS\",\"report\":{\"x0\":1.5,\"x1\":0}}"), "line 2");
        Outcome outcome = (Outcome) policies.get(0).received.get(0);
        assertEquals(Result.MISDIRECTED, outcome.result());
        assertEquals(Role.PRIMARY, outcome.role());
        assertEquals(1_000_000_000L + 2_500L * 1_000_000L, outcome.position());
        assertEquals(2_500_000_000L, outcome.report().position());
        assertEquals(Role.REPLICA, outcome.report().role());
    }

    @Test
    void everyResultIsParsed() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        List<String> wireNames = List.of("GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS");
        for (String wireName : wireNames) {
            host.reply(batch("{\"what\":\"echo\",\"who\":0,\"host\":\"x:1\",\"elapsedNs\":5,\"result\":\"" + wireName
                + "\",\"report\":null}"), "line 2");
        }
        List<Result> results = policies.get(0).received.stream().map(e -> ((ProbeResult) e).result()).toList();
        // the simulator sends at once, so that no send is withdrawn
        assertEquals(Arrays.stream(Result.values()).filter(result -> result != Result.WITHDRAWN).toList(), results);
    }

    @Test
    void everyActionIsWritten() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        policies.get(0).actions = List.of(new Send(1, "x:1", 5), new Refuse(2, 6), new Fail(3), new Cancel(4, 1),
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
    void unknownKindsFieldsAndInstancesAreIgnored() throws IOException {
        host.reply(batch(begin(0)), "line 1");
        assertEquals("{\"do\":[]}\n", host.reply(batch("{\"what\":\"unknownKind\"}",
            "{\"what\":\"otherUnknownKind\",\"who\":0}",
            "{\"what\":\"tickDue\",\"who\":8,\"handle\":1,\"unknownField\":\"x\"}"), "line 2"));
        assertTrue(policies.get(0).received.isEmpty());
    }

    @Test
    void errorMessageNamesTheLocationOfMalformedInput() {
        assertMessage("line 4: no JSON", "{\"atTimeNs\":");
        assertMessage("line 4: lacks 'atTimeNs'", "{\"msgs\":[]}");
        assertMessage("line 4, msgs[1]: lacks 'salt'", batch(defineList(0, "x:1"), "{\"what\":\"begin\",\"who\":0,\"info\":{}}"));
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
    void instancesInOneProcessActAsInSeparateProcesses() throws IOException {
        String together = serve(batch(begin(0), begin(1), defineList(0, "x:1"), directoryUpdate(0, 0), directoryUpdate(1, 0)));
        String first = serve(batch(begin(0), defineList(0, "x:1"), directoryUpdate(0, 0)));
        String second = serve(batch(begin(1), defineList(0, "x:1"), directoryUpdate(1, 0)));
        assertEquals(together.length(), first.length() + second.length() - "{\"do\":[]}\n".length() + 1);
        assertTrue(together.startsWith(first.substring(0, first.length() - 3)));
    }

    @Test
    void serviceEndsAtTheEndOfInput() throws IOException {
        assertEquals("", serve(""));
    }

    private static String serve(String lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(ReplicaRoutingPolicy::new).serve(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }
}
