package ledgewall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.net.Router;
import ledgewall.net.RouterConfig;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Plain SQL through the router to a primary and a replica of our own, classified by a file of rules: writes reach the primary
 * alone, each once at most though some are cut off; whoever asks for too much is refused.
 */
@Timeout(60)
class EndToEndTest {
    @TempDir
    private Path folder;

    private final Map<String, Integer> atPrimary = new ConcurrentHashMap<>();
    private final Map<String, Integer> atReplica = new ConcurrentHashMap<>();
    private StubServer primary;
    private StubServer replica;
    private StubServer discovery;
    private Router router;
    private RouterConfig config;
    private RuleClassifier classifier;

    private StubServer host(boolean isPrimary, Map<String, Integer> seen) throws IOException {
        return StubServer.host((connection, sql) -> {
            if (sql.equals("SELECT 1") || sql.equals("SHOW stats")) {
                String report = "x0=" + System.currentTimeMillis() / 1_000 + ",x1=" + (isPrimary ? 1 : 0);
                connection.write(Wire.row(report.getBytes(java.nio.charset.StandardCharsets.US_ASCII)),
                    Wire.param("mode", isPrimary ? "read-write" : "read-only"), Wire.ready());
                return;
            }
            seen.merge(sql, 1, Integer::sum);
            if (sql.contains("cut off")) {
                connection.reset(); // it has run, and nobody hears so
                return;
            }
            connection.write(Wire.row(sql.getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                Wire.param("mode", isPrimary ? "read-write" : "read-only"), Wire.ready());
        });
    }

    @BeforeEach
    void start() throws IOException, SettingsException {
        primary = host(true, atPrimary);
        replica = host(false, atReplica);
        discovery = new StubServer(StubServer.Connection::awaitClose);
        Path file = folder.resolve("router.json");
        Files.writeString(file, Files.readString(Path.of("deploy/parking.json")).replace("127.0.0.1:5433", "127.0.0.1:0")
            .replace("127.0.0.1:8500", discovery.address()).replace("127.0.0.1:5441", primary.address())
            .replace("127.0.0.1:5442", replica.address()));
        config = RouterConfig.read(file);
        classifier = new RuleClassifier(rules(Files.readString(Path.of("deploy/rules.hcl"))), config, null);
        router = Router.start(config, ReplicaRoutingPolicy::new, classifier);
    }

    private RulesFile rules(String text) throws SettingsException {
        return RulesFile.parse("rules.hcl", text, Set.copyOf(config.vocabulary().classes()));
    }

    @AfterEach
    void close() throws IOException {
        router.close();
        primary.close();
        replica.close();
        discovery.close();
    }

    private Client client(String user) throws IOException {
        Client client = new Client(router.listenAddress());
        client.send(Wire.startup("user", user, "database", "songshan"));
        client.readUntilReady();
        return client;
    }

    /** Asks until it is known who is primary; before that a write waits, which is the module's to decide. */
    private static String ask(Client client, String sql) throws IOException {
        client.send(Wire.query(sql));
        StringBuilder types = new StringBuilder();
        for (Message message : client.readUntilReady()) {
            types.append(message.type() == 'E' ? message.text().replaceAll("(?s).*\0C([0-9A-Z]{5})\0.*", "$1") : message.type());
        }
        return types.toString();
    }

    @Test
    void mixedPlainSqlGoesWhereTheRulesSay() throws IOException, InterruptedException, ExecutionException {
        ExecutorService clients = Executors.newFixedThreadPool(8);
        List<Future<Map<String, String>>> results = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int number = i;
            results.add(clients.submit(() -> {
                SplittableRandom random = new SplittableRandom(number);
                Map<String, String> answers = new ConcurrentHashMap<>();
                try (Client client = client("kiosk-" + number)) {
                    for (int j = 0; j < 30; j++) {
                        String id = "'" + number + "-" + j + "'";
                        String sql = switch (random.nextInt(4)) {
                            case 0 -> "INSERT INTO bookings VALUES (" + id + ") RETURNING id";
                            case 1 -> "WITH w AS (UPDATE bays SET free = true WHERE id = " + id + " RETURNING 'cut off') TABLE w";
                            case 2 -> "SELECT free FROM bays WHERE id = " + id;
                            default -> "SELECT at FROM trips WHERE car = " + id;
                        };
                        answers.put(sql, ask(client, sql));
                    }
                }
                return answers;
            }));
        }
        int served = 0;
        int failed = 0;
        for (Future<Map<String, String>> result : results) {
            for (Map.Entry<String, String> answer : result.get().entrySet()) {
                String sql = answer.getKey();
                boolean writes = !sql.startsWith("SELECT");
                assertTrue(Set.of("TDC", "53300", "08006").contains(answer.getValue()), sql + ": " + answer.getValue());
                assertTrue(!writes || !atReplica.containsKey(sql), sql);
                assertTrue(!writes || atPrimary.getOrDefault(sql, 0) <= 1, sql + " ran " + atPrimary.get(sql) + " times");
                assertEquals(sql.contains("cut off") && atPrimary.containsKey(sql), answer.getValue().equals("08006"), sql);
                served += answer.getValue().equals("TDC") ? 1 : 0;
                failed += answer.getValue().equals("08006") ? 1 : 0;
            }
        }
        clients.shutdown();
        assertTrue(served > 100, served + " served");
        assertTrue(failed > 10, failed + " failed");
    }

    @Test
    void whoAsksForTooMuchIsRefusedAndOthersAreNot() throws IOException {
        try (Client greedy = client("desk"); Client other = client("kiosk-1")) {
            int refused = 0;
            for (int i = 0; i < 60; i++) {
                refused += ask(greedy, "INSERT INTO bookings VALUES ('" + i + "')").equals("53300") ? 1 : 0;
            }
            assertTrue(refused >= 10, refused + " refused of 60 beyond a burst of 40");
            assertEquals("TDC", ask(other, "INSERT INTO bookings VALUES ('x')"));
            assertEquals("TDC", ask(greedy, "SELECT free FROM bays"));
        }
    }

    /** Tables replaced under traffic: a bad one changes nothing, a good one holds from then on, nothing is lost. */
    @Test
    void aReloadUnderTrafficIsWholeOrNotAtAll() throws IOException, SettingsException {
        String text = Files.readString(Path.of("deploy/rules.hcl"));
        RulesFile strict = rules(text.replace("sql.keyword == 'SELECT'\"", "sql.keyword == 'SELECT' && false\"")
            .replace("match = \"true\"", "match = \"false\""));
        RuleClassifier second = new RuleClassifier(strict, config, classifier);
        try (Client client = client("kiosk-1")) {
            assertEquals("TDC", ask(client, "SELECT free FROM bays"));
            router.setClassifier(second);
            assertEquals("42601", ask(client, "SELECT free FROM bays"));
            assertThrows(SettingsException.class, () -> rules(text.replace("sql.writes",
                "sql.writs")));
            router.setClassifier(new RuleClassifier(rules(text), config, second));
            assertEquals("TDC", ask(client, "SELECT free FROM bays"));
        }
    }
}
