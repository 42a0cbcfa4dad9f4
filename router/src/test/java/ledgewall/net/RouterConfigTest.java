package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import ledgewall.settings.FormatException;
import ledgewall.standin.ScriptedPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class RouterConfigTest {
    private final RouterHarness harness = new RouterHarness();

    @AfterEach
    void close() throws IOException {
        harness.close();
    }

    private static RouterConfig parse(String json) throws IOException {
        return RouterConfig.parse(json.getBytes(StandardCharsets.UTF_8), "config.json");
    }

    @Test
    void allFieldsOfConfigurationAreRead() throws IOException {
        harness.member("m", "127.0.0.1:9").peers("\"peer_listen\":\"127.0.0.4:7946\",\"peers\":[\"127.0.0.5:1\","
            + "\"127.0.0.6:2\"],\"peers_all\":\"127.0.0.7:3\",");
        RouterConfig config = parse(harness.config());
        assertEquals("r1", config.name());
        assertEquals(Long.parseUnsignedLong("8c1f30d27a5be964", 16), config.seed());
        assertEquals(1_024, config.descriptorLimit());
        assertEquals(new InetSocketAddress("127.0.0.6", 2), config.peers().get(1));
        assertEquals(new InetSocketAddress("127.0.0.7", 3), config.allPeersAddress());
        assertEquals(41, config.knownList().revision());
        assertEquals(3, config.settings().classes().size());
        assertEquals(10_000 * RouterHarness.MS, config.transport().connectTimeout());
        assertEquals(900 * RouterHarness.MS, config.transport().longestTimeout());
        assertTrue(config.transport().reports());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{", "{}", "{\"settings\":{}}"})
    void malformedConfigurationIsRejected(String json) {
        assertThrows(FormatException.class, () -> parse(json));
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1:0,127.0.0.1", "8c1f30d27a5be964,xyz", "\"revision\":41,\"revision\":\"a\"", "Ready,Lost"})
    void malformedFieldIsRejected(String from, String to) throws IOException {
        String json = harness.member("m", "127.0.0.1:9").config().replace(from, to);
        assertThrows(FormatException.class, () -> parse(json));
    }

    /** Startup and reload both reject invalid numbers, such as those that determine a router's share of fleet-wide limits. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"peersTotal\":1,||peersTotal", "\"peersTotal\":1|\"peersTotal\":0|peersTotal",
        "\"peersTotal\":1|\"peersTotal\":-3|peersTotal", "\"rank\":0,||rank", "\"rank\":0|\"rank\":1|rank",
        "\"rank\":0|\"rank\":-1|rank", "\"sockets\":1024|\"sockets\":0|sockets",
        "\"maxAttempts\":3|\"maxAttempts\":-1|maxAttempts", "\"connIdleNs\":|\"connIdleNs\":-|connIdleNs"})
    void numberOutOfRangeIsRejectedWithItsKey(String from, String to, String key) throws IOException {
        String validJson = harness.config();
        String json = validJson.replaceFirst(from, to == null ? "" : to);
        assertNotEquals(validJson, json);
        FormatException error = assertThrows(FormatException.class, () -> parse(json));
        assertTrue(error.getMessage().contains("'" + key + "'"), error.getMessage());
    }

    @Test
    void peerCountThatDiffersFromPeersTotalIsRejected() throws IOException {
        String json = harness.peers("\"peers\":[\"127.0.0.5:1\",\"127.0.0.6:2\"],").config()
            .replace("\"peersTotal\":2", "\"peersTotal\":3");
        assertTrue(assertThrows(FormatException.class, () -> parse(json)).getMessage().contains("'peersTotal'"));
    }

    @Test
    void listenAddressInUseFailsTheStart() throws IOException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            harness.listen("127.0.0.1:" + occupied.getLocalPort());
            assertThrows(IOException.class, () -> harness.start(ScriptedPolicy.idle()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1", ":5", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "some.host:5", "a b:5"})
    void malformedAddressIsRejected(String text) {
        assertThrows(FormatException.class, () -> RouterConfig.parseAddress("here", "listen", text));
    }
}
