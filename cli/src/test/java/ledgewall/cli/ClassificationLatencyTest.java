package ledgewall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import ledgewall.ReplicaRoutingPolicy;
import ledgewall.net.Router;
import ledgewall.net.RouterConfig;
import ledgewall.standin.Client;
import ledgewall.standin.Message;
import ledgewall.standin.StubServer;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * A benchmark, not part of CI: compares the latency of a read that a router classifies by rules with that of the same read
 * with a comment, through a router without rules. The property {@code ledgewall.latency} is the number of requests per
 * round. Run it with {@code mvn -pl cli -am test -Dtest=ClassificationLatencyTest -Dledgewall.latency=3000
 * -Dsurefire.failIfNoSpecifiedTests=false}
 */
@EnabledIfSystemProperty(named = "ledgewall.latency", matches = "[0-9]+")
class ClassificationLatencyTest {
    private static final int ROUND_COUNT = 7;

    @TempDir
    private Path folder;

    @Test
    void comparesReadLatencyWithAndWithoutRules() throws IOException, SettingsException {
        int requestsPerRound = Integer.getInteger("ledgewall.latency");
        try (StubServer server = StubServer.host((connection, sql) -> connection.write(
                Wire.row((sql.startsWith("S") && sql.length() < 11 ? "x0=1,x1=1" : "v").getBytes(StandardCharsets.US_ASCII)),
                Wire.ready()));
                StubServer discovery = new StubServer(StubServer.Connection::awaitClose)) {
            Path file = folder.resolve("router.json");
            Files.writeString(file, Files.readString(Path.of("deploy/parking.json")).replace("127.0.0.1:5433", "127.0.0.1:0")
                .replace("127.0.0.1:8500", discovery.address()).replace("127.0.0.1:5441", server.address())
                .replace("127.0.0.1:5442", server.address()));
            RouterConfig config = RouterConfig.read(file);
            RulesFile rules = RulesFile.read(Path.of("deploy/rules.hcl"), Set.copyOf(config.vocabulary().classes()));
            try (Router routerWithoutRules = Router.start(config, ReplicaRoutingPolicy::new);
                    Router routerWithRules = Router.start(config, ReplicaRoutingPolicy::new,
                        new RuleClassifier(rules, config, null));
                    Client clientWithComments = new Client(routerWithoutRules.listenAddress());
                    Client clientWithoutComments = new Client(routerWithRules.listenAddress())) {
                for (Client client : List.of(clientWithComments, clientWithoutComments)) {
                    client.send(Wire.startup("user", "desk"));
                    client.readUntilReady();
                }
                List<double[]> ratiosByRound = new ArrayList<>();
                for (int round = 0; round < ROUND_COUNT; round++) {
                    int firstId = round * requestsPerRound;
                    double[] withoutRulesUs = measure(clientWithComments, requestsPerRound, i -> "/* id=" + (firstId + i)
                        + ",c=bay-status,d=1000,cluster=0 */ SELECT free FROM bays WHERE id = 'k'");
                    double[] withRulesUs = measure(clientWithoutComments, requestsPerRound,
                        i -> "SELECT free FROM bays WHERE id = 'k'");
                    ratiosByRound.add(new double[] {withRulesUs[0] / withoutRulesUs[0], withRulesUs[1] / withoutRulesUs[1]});
                    System.out.printf("round %d: p50 %.1f and %.1f us, p99 %.1f and %.1f us%n", round, withoutRulesUs[0],
                        withRulesUs[0], withoutRulesUs[1], withRulesUs[1]);
                }
                for (int i = 0; i < 2; i++) {
                    int metric = i;
                    double[] sorted = ratiosByRound.stream().skip(1).mapToDouble(r -> r[metric]).sorted().toArray();
                    System.out.printf("p%d with rules to without, median of %d rounds: %.3f (%.3f to %.3f)%n", i == 0 ? 50 : 99,
                        sorted.length, sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
                }
            }
        }
    }

    private interface SqlTemplate {
        String of(int number);
    }

    /** Sends the requests one at a time; returns the median and the 99th percentile of the latency in us. */
    private static double[] measure(Client client, int requestsPerRound, SqlTemplate sqlTemplate) throws IOException {
        long[] latenciesNs = new long[requestsPerRound];
        for (int i = 0; i < requestsPerRound; i++) {
            byte[] query = Wire.query(sqlTemplate.of(i));
            long startNs = System.nanoTime();
            client.send(query);
            List<Message> answer = client.readUntilReady();
            latenciesNs[i] = System.nanoTime() - startNs;
            assertEquals('T', answer.get(0).type());
        }
        Arrays.sort(latenciesNs);
        return new double[] {latenciesNs[requestsPerRound / 2] / 1e3, latenciesNs[requestsPerRound * 99 / 100] / 1e3};
    }
}
