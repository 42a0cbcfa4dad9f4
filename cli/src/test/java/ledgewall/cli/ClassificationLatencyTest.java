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
 * A measurement, not part of CI: what classification adds to a read, against the same read with its comment at a router
 * without rules. {@code mvn -pl cli -am test -Dtest=ClassificationLatencyTest -Dledgewall.latency=3000
 * -Dsurefire.failIfNoSpecifiedTests=false}
 */
@EnabledIfSystemProperty(named = "ledgewall.latency", matches = "[0-9]+")
class ClassificationLatencyTest {
    private static final int ROUNDS = 7;

    @TempDir
    private Path folder;

    @Test
    void withAndWithoutRules() throws IOException, SettingsException {
        int requests = Integer.getInteger("ledgewall.latency");
        try (StubServer host = StubServer.host((connection, sql) -> connection.write(
                Wire.row((sql.startsWith("S") && sql.length() < 11 ? "x0=1,x1=1" : "v").getBytes(StandardCharsets.US_ASCII)),
                Wire.ready()));
                StubServer discovery = new StubServer(StubServer.Connection::awaitClose)) {
            Path file = folder.resolve("router.json");
            Files.writeString(file, Files.readString(Path.of("deploy/parking.json")).replace("127.0.0.1:5433", "127.0.0.1:0")
                .replace("127.0.0.1:8500", discovery.address()).replace("127.0.0.1:5441", host.address())
                .replace("127.0.0.1:5442", host.address()));
            RouterConfig config = RouterConfig.read(file);
            RulesFile rules = RulesFile.read(Path.of("deploy/rules.hcl"), Set.copyOf(config.vocabulary().classes()));
            try (Router plain = Router.start(config, ReplicaRoutingPolicy::new);
                    Router ruled = Router.start(config, ReplicaRoutingPolicy::new, new RuleClassifier(rules, config, null));
                    Client commented = new Client(plain.listenAddress()); Client bare = new Client(ruled.listenAddress())) {
                for (Client client : List.of(commented, bare)) {
                    client.send(Wire.startup("user", "desk"));
                    client.readUntilReady();
                }
                List<double[]> ratios = new ArrayList<>();
                for (int round = 0; round < ROUNDS; round++) {
                    int id = round * requests;
                    double[] without = run(commented, requests, i -> "/* id=" + (id + i)
                        + ",c=bay-status,d=1000,cluster=0 */ SELECT free FROM bays WHERE id = 'k'");
                    double[] with = run(bare, requests, i -> "SELECT free FROM bays WHERE id = 'k'");
                    ratios.add(new double[] {with[0] / without[0], with[1] / without[1]});
                    System.out.printf("round %d: p50 %.1f and %.1f us, p99 %.1f and %.1f us%n", round, without[0], with[0],
                        without[1], with[1]);
                }
                for (int i = 0; i < 2; i++) {
                    int which = i;
                    double[] sorted = ratios.stream().skip(1).mapToDouble(r -> r[which]).sorted().toArray();
                    System.out.printf("p%d with rules to without, median of %d rounds: %.3f (%.3f to %.3f)%n", i == 0 ? 50 : 99,
                        sorted.length, sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
                }
            }
        }
    }

    private interface Sql {
        String of(int number);
    }

    /** The median and the 99th percentile in us. */
    private static double[] run(Client client, int requests, Sql sql) throws IOException {
        long[] times = new long[requests];
        for (int i = 0; i < requests; i++) {
            byte[] query = Wire.query(sql.of(i));
            long start = System.nanoTime();
            client.send(query);
            List<Message> answer = client.readUntilReady();
            times[i] = System.nanoTime() - start;
            assertEquals('T', answer.get(0).type());
        }
        Arrays.sort(times);
        return new double[] {times[requests / 2] / 1e3, times[requests * 99 / 100] / 1e3};
    }
}
