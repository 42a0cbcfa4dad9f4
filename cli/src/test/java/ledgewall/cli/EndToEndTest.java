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
 * Sends SQL without comments through a router to a fake primary and a fake replica, classified by a rules file. Writes must
 * reach only the primary, each at most once even if the connection is reset; requests over a rule's limit must be refused.
 */
@Timeout(60)
class EndToEndTest {
    @TempDir
    private Path folder;

    private final Map<String, Integer> executionsAtPrimary = new ConcurrentHashMap<>();
    private final Map<String, Integer> executionsAtReplica = new ConcurrentHashMap<>();
    private StubServer primary;
    private StubServer replica;
    private StubServer discovery;
    private Router router;
    private RouterConfig config;
    private RuleClassifier classifier;

    private StubServer startServer(boolean isPrimary, Map<String, Integer> executions) throws IOException {
        return StubServer.host((connection, sql) -> {
            if (sql.equals("SELECT 1") || sql.equals("SHOW stats")) {
                String stats = "x0=" + System.currentTimeMillis() / 1_000 + ",x1=" + (isPrimary ? 1 : 0);
                connection.write(Wire.row(stats.getBytes(java.nio.charset.StandardCharsets.US_ASCII)),
                    Wire.param("mode", isPrimary ? "read-write" : "read-only"), Wire.ready());
                return;
            }
            executions.merge(sql, 1, Integer::sum);
            if (sql.contains("cut off")) {
                connection.reset(); // after the execution, before the answer
                return;
            }
            connection.write(Wire.row(sql.getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                Wire.param("mode", isPrimary ? "read-write" : "read-only"), Wire.ready());
        });
    }

    @BeforeEach
    void start() throws IOException, SettingsException {
        primary = startServer(true, executionsAtPrimary);
        replica = startServer(false, executionsAtReplica);
        discovery = new StubServer(StubServer.Connection::awaitClose);
        Path file = folder.resolve("router.json");
        Files.writeString(file, Files.readString(Path.of("deploy/parking.json")).replace("127.0.0.1:5433", "127.0.0.1:0")
            .replace("127.0.0.1:8500", discovery.address()).replace("127.0.0.1:5441", primary.address())
            .replace("127.0.0.1:5442", replica.address()));
        config = RouterConfig.read(file);
        classifier = new RuleClassifier(parseRules(Files.readString(Path.of("deploy/rules.hcl"))), config, null);
        router = Router.start(config, ReplicaRoutingPolicy::new, classifier);
    }

    private RulesFile parseRules(String text) throws SettingsException {
        return RulesFile.parse("rules.hcl", text, Set.copyOf(config.vocabulary().classes()));
    }

    @AfterEach
    void close() throws IOException {
        router.close();
        primary.close();
        replica.close();
        discovery.close();
    }

    private Client connect(String user) throws IOException {
        Client client = new Client(router.listenAddress());
        client.send(Wire.startup("user", user, "database", "songshan"));
        client.readUntilReady();
        return client;
    }

    /**
     * Sends a query and returns the types of the messages in the answer, with the SQLSTATE in place of an error's type.
     * Before the router knows which member is the primary, the routing policy makes a write wait.
     */
    private static String query(Client client, String sql) throws IOException {
        client.send(Wire.query(sql));
        StringBuilder types = new StringBuilder();
        for (Message message : client.readUntilReady()) {
            types.append(message.type() == 'E' ? message.text().replaceAll("(?s).*\0C([0-9A-Z]{5})\0.*", "$1") : message.type());
        }
        return types.toString();
    }

    @Test
    void mixedStatementsAreRoutedByTheRules() throws IOException, InterruptedException, ExecutionException {
        ExecutorService clients = Executors.newFixedThreadPool(8);
        List<Future<Map<String, String>>> results = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int clientNumber = i;
            results.add(clients.submit(() -> {
                SplittableRandom random = new SplittableRandom(clientNumber);
                Map<String, String> outcomesBySql = new ConcurrentHashMap<>();
                try (Client client = connect("kiosk-" + clientNumber)) {
                    for (int requestNumber = 0; requestNumber < 30; requestNumber++) {
                        String id = "'" + clientNumber + "-" + requestNumber + "'";
                        String sql = switch (random.nextInt(4)) {
                            case 0 -> "INSERT INTO bookings VALUES (" + id + ") RETURNING id";
                            case 1 -> "WITH w AS (UPDATE bays SET free = true WHERE id = " + id + " RETURNING 'cut off') TABLE w";
                            case 2 -> "SELECT free FROM bays WHERE id = " + id;
                            default -> "SELECT at FROM trips WHERE car = " + id;
                        };
                        outcomesBySql.put(sql, query(client, sql));
                    }
                }
                return outcomesBySql;
            }));
        }
        int served = 0;
        int failed = 0;
        for (Future<Map<String, String>> result : results) {
            for (Map.Entry<String, String> outcome : result.get().entrySet()) {
                String sql = outcome.getKey();
                boolean isWrite = !sql.startsWith("SELECT");
                assertTrue(Set.of("TDC", "53300", "08006").contains(outcome.getValue()), sql + ": " + outcome.getValue());
                assertTrue(!isWrite || !executionsAtReplica.containsKey(sql), sql);
                assertTrue(!isWrite || executionsAtPrimary.getOrDefault(sql, 0) <= 1,
                    sql + " ran " + executionsAtPrimary.get(sql) + " times");
                assertEquals(sql.contains("cut off") && executionsAtPrimary.containsKey(sql),
                    outcome.getValue().equals("08006"), sql);
                served += outcome.getValue().equals("TDC") ? 1 : 0;
                failed += outcome.getValue().equals("08006") ? 1 : 0;
            }
        }
        clients.shutdown();
        assertTrue(served > 100, served + " served");
        assertTrue(failed > 10, failed + " failed");
    }

    @Test
    void clientOverItsLimitIsRefusedAndOthersAreServed() throws IOException {
        try (Client limitedClient = connect("desk"); Client otherClient = connect("kiosk-1")) {
            int refused = 0;
            int admitted = 0;
            long start = System.nanoTime();
            while (refused < 10 && admitted + refused < 1_000) {
                boolean isRefused = query(limitedClient, "INSERT INTO bookings VALUES ('" + admitted + "')").equals("53300");
                refused += isRefused ? 1 : 0;
                admitted += isRefused ? 0 : 1;
            }
            double allowed = 40 + 20 * (System.nanoTime() - start) / 1e9 + 1; // the burst and what the rate has added
            assertTrue(refused >= 10 && admitted <= allowed, refused + " refused, " + admitted + " admitted of " + allowed);
            assertEquals("TDC", query(otherClient, "INSERT INTO bookings VALUES ('x')"));
            assertEquals("TDC", query(limitedClient, "SELECT free FROM bays"));
        }
    }

    /** Replaces the rule table between requests of one connection: invalid rules change nothing, valid ones apply at once. */
    @Test
    void rejectedReloadKeepsTheRulesAndAValidOneReplacesThem() throws IOException, SettingsException {
        String text = Files.readString(Path.of("deploy/rules.hcl"));
        RulesFile rulesWithoutReads = parseRules(text.replace("sql.keyword == 'SELECT'\"", "sql.keyword == 'SELECT' && false\"")
            .replace("match = \"true\"", "match = \"false\""));
        RuleClassifier secondClassifier = new RuleClassifier(rulesWithoutReads, config, classifier);
        try (Client client = connect("kiosk-1")) {
            assertEquals("TDC", query(client, "SELECT free FROM bays"));
            router.setClassifier(secondClassifier);
            assertEquals("42601", query(client, "SELECT free FROM bays"));
            assertThrows(SettingsException.class, () -> parseRules(text.replace("sql.writes", "sql.writs")));
            router.setClassifier(new RuleClassifier(parseRules(text), config, secondClassifier));
            assertEquals("TDC", query(client, "SELECT free FROM bays"));
        }
    }
}
