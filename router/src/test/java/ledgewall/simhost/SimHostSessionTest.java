package ledgewall.simhost;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import ledgewall.ReplicaRoutingPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sessions' reads after their writes, on the simulator's wire, with the real policy. */
class SimHostSessionTest {
    /** A read that must see its session's writes, and a write; position 0 stands for second 1 of the clock. */
    private static final String INFO = "{\"peersTotal\":1,\"tickNs\":5000000,\"discovery\":\"push\","
        + "\"classes\":[{\"aimNs\":500000000,\"deadlineNs\":1500000000,\"effect\":\"idempotent\"},"
        + "{\"aimNs\":500000000,\"deadlineNs\":1500000000,\"effect\":\"at_most_once\"}],"
        + "\"domain\":{\"needsByClass\":[\"session\",\"write\"],\"originTimeNs\":1000000000,\"behind\":\"none\","
        + "\"tokens\":\"remembered\"},\"ceilings\":{\"probing\":true,\"maxAttempts\":3},"
        + "\"rules\":{\"warmAfterNs\":1000000000},\"report\":{\"how\":\"probe\",\"fields\":[\"x0\",\"x1\"]}}";

    private final SimHost host = new SimHost(ReplicaRoutingPolicy::new);

    private String batch(long atMillis, String... messages) throws IOException {
        return host.reply("{\"atTimeNs\":" + atMillis + "000000,\"msgs\":[" + String.join(",", messages) + "]}", "batch");
    }

    private static String member(String id) {
        return "{\"host\":\"" + id + "\",\"zone\":0,\"shard\":4,\"phase\":\"IN\"}";
    }

    private static String echo(String id, double position, int primaryFlag) {
        return "{\"what\":\"echo\",\"who\":0,\"host\":\"" + id + "\",\"result\":\"GOOD\",\"elapsedNs\":1000000,"
            + "\"report\":{\"x0\":" + position + ",\"x1\":" + primaryFlag + "}}";
    }

    private static String ask(long ticket, int requestClass) {
        return "{\"what\":\"ask\",\"who\":0,\"ticket\":" + ticket + ",\"lane\":" + requestClass
            + ",\"session\":5,\"graceNs\":1500000000,\"dbNo\":4}";
    }

    private static String servedWrite(String mark) {
        return "{\"what\":\"verdict\",\"who\":0,\"ticket\":1,\"leg\":0,\"host\":\"p\",\"elapsedNs\":10000000,"
            + "\"complete\":true," + mark + "\"result\":\"GOOD\"}";
    }

    private static void assertPlaced(String member, String reply) {
        assertTrue(reply.contains("\"what\":\"place\"") && reply.contains("\"host\":\"" + member + "\""), reply);
    }

    /** Has a session write at a primary "p" at 9.01 s, beside a replica "r" that has applied all commits up to 8.9 s. */
    private void write(String mark) throws IOException {
        batch(9_000, "{\"what\":\"begin\",\"who\":0,\"salt\":11,\"info\":" + INFO + "}",
            "{\"what\":\"defineList\",\"rosterId\":0,\"elements\":[" + member("p") + "," + member("r") + "]}",
            "{\"what\":\"directoryUpdate\",\"who\":0,\"kind\":\"cached\",\"version\":1,\"rosterId\":0}");
        assertPlaced("p", batch(9_005, echo("p", 8.0, 1), echo("r", 7.9, 0), ask(1, 1)));
        batch(9_015, servedWrite(mark));
    }

    /** Guards against a session that reads without its write where the outcome of the write told no position that can be used. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\"mark\":null,", "\"mark\":0,", "\"mark\":1,", "\"mark\":5,", "\"mark\":-3,",
        "\"mark\":4000000001,"})
    void readAfterAWriteWithoutAUsablePositionGoesToThePrimary(String mark) throws IOException {
        write(mark);
        assertPlaced("p", batch(9_300, ask(2, 0)));
        batch(9_400, echo("r", 8.1, 0));
        assertPlaced("r", batch(9_405, ask(3, 0)));
    }

    /** The commit's position at 9.01 s is told: a replica that has applied it serves the session. */
    @Test
    void readAfterAWriteGoesToAReplicaThatHasAppliedIt() throws IOException {
        write("\"mark\":" + (4 * 8_010 + 1) + ",");
        assertPlaced("p", batch(9_300, ask(2, 0)));
        batch(9_400, echo("r", 8.01, 0));
        assertPlaced("r", batch(9_405, ask(3, 0)));
    }
}
