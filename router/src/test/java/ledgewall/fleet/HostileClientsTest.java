package ledgewall.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import ledgewall.standin.Client;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A router process beside clients that flood it, leave it or crowd it: what they do costs themselves, and nobody else. */
@Timeout(120)
class HostileClientsTest {
    private static final int SOCKETS = 384;
    private static final int HOSTS = 8;
    private static final long READ_DEADLINE_MS = 827;
    private static final long WRITE_DEADLINE_MS = 1_098;
    /** An attempt that begins later than this after its client's close is a lost request. */
    private static final long LEAVE_BOUND_MS = 100;
    private static final int ORDINARY_CLIENTS = 20;
    private static final int REQUESTS_EACH = 14;
    private static final byte[] SYNC = Wire.message('S');
    /** Of a machine of 128 MB. */
    private static final long MEMORY_LIMIT_KILOBYTES = 128 * 1024;

    @TempDir
    private Path folder;
    private RecordingHosts primaries;
    private RecordingHosts replicas;
    private DiscoveryServer discovery;
    private RouterProcess router;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        primaries = new RecordingHosts(true);
        replicas = new RecordingHosts(false);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            entries.add(FleetConfig.entry(i, (FleetConfig.isPrimary(i) ? primaries : replicas).address(), 0));
        }
        discovery = new DiscoveryServer(entries);
        router = RouterProcess.onOneProcessor(folder, FleetConfig.singleRouterConfig(discovery, SOCKETS));
    }

    /** Replaces the router by one with another limit of descriptors. */
    private void restart(int sockets) throws IOException, InterruptedException {
        router.close();
        router = RouterProcess.onOneProcessor(folder, FleetConfig.singleRouterConfig(discovery, sockets));
    }

    @AfterEach
    void close() throws IOException {
        router.close();
        discovery.close();
        primaries.close();
        replicas.close();
    }

    /** Sends requests one after the other and returns the times, in milliseconds, of those answered after their deadline. */
    private List<Long> lateAnswers(int requests) throws IOException, InterruptedException {
        List<Long> late = new ArrayList<>();
        long worst = 0;
        try (Client client = Client.connect(router.address())) {
            for (int i = 0; i < requests; i++) {
                boolean write = i % 2 == 0;
                long deadline = write ? WRITE_DEADLINE_MS : READ_DEADLINE_MS;
                long startedAt = System.nanoTime();
                client.send(HostileClients.request(HostileClients.newId(), write ? "put" : "look", deadline));
                assertFalse(client.readReplyTypes().isEmpty(), "closed without an answer");
                long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
                worst = Math.max(worst, elapsed);
                if (elapsed > deadline) {
                    late.add(elapsed);
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        System.out.println(late.size() + " of " + requests + " answers late, the worst after " + worst + " ms");
        return late;
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "empty queries", "syncs", "extended queries", "unknown classes", "reads with new ids", "large queries"})
    void floodOfOneKindOfCommandDelaysNoOtherClient(String kind) throws Exception {
        lateAnswers(10); // compiles what a request passes
        try (HostileClients hostile = new HostileClients(router.address())) {
            hostile.flood(6, floodCommands(kind));
            assertEquals(List.of(), lateAnswersOfManyClients());
        }
    }

    private static byte[] floodCommands(String kind) {
        byte[][] commands = new byte[kind.startsWith("large") ? 4 : 4_096][];
        Arrays.setAll(commands, i -> switch (kind) {
            case "empty queries" -> Wire.query("");
            case "syncs" -> SYNC;
            case "extended queries" -> Wire.join(Wire.message('P', Wire.text(""), Wire.text("SELECT 1"), Wire.int16(0)), SYNC);
            case "unknown classes" -> HostileClients.request(HostileClients.newId(), "class" + i, READ_DEADLINE_MS);
            case "reads with new ids" -> HostileClients.request(HostileClients.newId(), "look", READ_DEADLINE_MS);
            default -> Wire.query("/* id=" + HostileClients.newId() + ",c=nosuch,d=5,cluster=0 */ SELECT '" + "x".repeat(150_000)
                + "'");
        });
        return Wire.join(commands);
    }

    /** Has ordinary clients ask at the same time, each on its connection, and returns the late answers of all. */
    private List<Long> lateAnswersOfManyClients() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(ORDINARY_CLIENTS);
        try {
            Callable<List<Long>> client = () -> lateAnswers(REQUESTS_EACH);
            List<Long> late = new ArrayList<>();
            for (Future<List<Long>> answers : threads.invokeAll(Collections.nCopies(ORDINARY_CLIENTS, client))) {
                late.addAll(answers.get());
            }
            return late;
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    void clientsThatComeBesideAFloodAreAllAnswered() throws IOException, InterruptedException {
        primaries.answerAfter(600, false);
        try (HostileClients hostile = new HostileClients(router.address())) {
            hostile.flood(12, floodCommands("empty queries"));
            assertCrowdIsAnswered(600, 1_500);
        }
    }

    @Test
    void clientsThatComeBesideOthersThatSayNothingAreAllAnswered() throws IOException, InterruptedException {
        try (HostileClients hostile = new HostileClients(router.address())) {
            hostile.connectSilently(4, 120);
            assertCrowdIsAnswered(200, 2_000);
        }
    }

    private void assertCrowdIsAnswered(int clients, long spreadMillis) throws InterruptedException {
        List<HostileClients.CrowdResult> results =
            HostileClients.crowd(router.address(), clients, spreadMillis, WRITE_DEADLINE_MS);
        List<HostileClients.CrowdResult> unanswered = results.stream()
            .filter(result -> !result.isAnsweredInTime(WRITE_DEADLINE_MS)).toList();
        System.out.println(clients + " clients, the slowest answer after "
            + results.stream().mapToLong(HostileClients.CrowdResult::elapsedMillis).max().orElse(0) + " ms, served "
            + results.stream().filter(result -> result.replyTypes().startsWith("T")).count());
        assertEquals(clients, results.size());
        assertTrue(unanswered.isEmpty(), () -> unanswered.size() + " without an answer in time: "
            + unanswered.stream().limit(5).toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"look", "put"})
    void noAttemptBeginsOnceTheClientOfALongPipelineHasLeft(String className) throws IOException, InterruptedException {
        primaries.answerAfter(300, className.equals("put"));
        replicas.answerAfter(300, false);
        List<Long> late = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            HostileClients.LeftPipeline pipeline =
                HostileClients.sendAndLeave(router.address(), 400, className, new byte[0], 100);
            TimeUnit.MILLISECONDS.sleep(1_000);
            late.addAll(pipeline.attemptsBegunLaterThan(LEAVE_BOUND_MS, primaries.arrivals(), replicas.arrivals()));
        }
        assertEquals(List.of(), late);
    }

    @ParameterizedTest
    @CsvSource({"90, half a request", "3, forty thousand empty queries", "300, forty thousand empty queries"})
    void noAttemptBeginsOnceTheClientHasLeftWhateverItSentLast(int requests, String last)
            throws IOException, InterruptedException {
        primaries.answerAfter(300, true);
        byte[] request = HostileClients.request(HostileClients.newId(), "put", 5_000);
        byte[][] emptyQueries = new byte[40_000][];
        Arrays.fill(emptyQueries, Wire.query(""));
        byte[] lastBytes = last.startsWith("half") ? Arrays.copyOf(request, request.length / 2) : Wire.join(emptyQueries);
        List<Long> late = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            HostileClients.LeftPipeline pipeline =
                HostileClients.sendAndLeave(router.address(), requests, "put", lastBytes, 100);
            TimeUnit.MILLISECONDS.sleep(1_000);
            late.addAll(pipeline.attemptsBegunLaterThan(LEAVE_BOUND_MS, primaries.arrivals(), replicas.arrivals()));
        }
        assertEquals(List.of(), late);
    }

    /** Sends one request on a connection of its own, and leaves before there can be an answer. */
    private void sendAndLeave(String id, long deadlineMillis) throws IOException, InterruptedException {
        try (Client client = Client.connect(router.address())) {
            client.send(HostileClients.request(id, "put", deadlineMillis));
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private void sendAgain(String id) throws IOException {
        try (Client client = Client.connect(router.address())) {
            client.send(HostileClients.request(id, "put", WRITE_DEADLINE_MS));
            client.readReplyTypes();
        }
    }

    @Test
    void writeOfAClientThatLeftRunsOnceAlsoWhenItsIdComesAgainAfterItsDeadline() throws IOException, InterruptedException {
        primaries.answerAfter(200, false);
        sendAndLeave("w1", 400);
        sendAgain("w1");
        TimeUnit.MILLISECONDS.sleep(600);
        sendAgain("w1");
        assertEquals(1, primaries.arrivals().arrivalsOf("w1").size());
    }

    @Test
    void writeRunsOnceAlsoWhenItsIdComesAgainAfterManyOtherIds() throws IOException, InterruptedException {
        primaries.answerAfter(200, false);
        sendAndLeave("w2", 60_000);
        primaries.answerAfter(0, false);
        try (Client client = Client.connect(router.address())) {
            for (int batch = 0; batch < 17; batch++) {
                byte[][] requests = new byte[1_000][];
                Arrays.setAll(requests, i -> HostileClients.request(HostileClients.newId(), "look", 60_000));
                client.send(requests);
                for (int i = 0; i < requests.length; i++) {
                    client.readReplyTypes();
                }
            }
        }
        sendAgain("w2");
        assertEquals(1, primaries.arrivals().arrivalsOf("w2").size());
    }

    private void assertStillServes() throws IOException {
        assertTrue(router.isAlive());
        assertFalse(router.log().contains("OutOfMemoryError"), router.log());
        System.out.println("peak memory " + router.peakMemoryKilobytes() + " kB");
        assertTrue(router.peakMemoryKilobytes() < MEMORY_LIMIT_KILOBYTES, "peak " + router.peakMemoryKilobytes() + " kB");
        try (Client client = Client.connect(router.address())) {
            client.send(HostileClients.request(HostileClients.newId(), "look", WRITE_DEADLINE_MS));
            assertEquals("TDCZ", client.readReplyTypes());
        }
    }

    @ParameterizedTest
    @CsvSource({"384, 200", "1024, 500"})
    void crowdWithRequestsOfManyShortFieldsTakesNoMoreMemoryThanThereIs(int sockets, int clients)
            throws IOException, InterruptedException {
        restart(sockets);
        primaries.answerAfter(600, false);
        replicas.answerAfter(600, false);
        StringBuilder names = new StringBuilder();
        for (int i = 1; names.length() < 1_900; i++) {
            names.append('b').append(Integer.toString(i, Character.MAX_RADIX)).append("=,");
        }
        try (HostileClients hostile = new HostileClients(router.address())) {
            for (int i = 0; i < clients; i++) {
                byte[][] requests = new byte[64][];
                Arrays.setAll(requests, n -> Wire.query("/* id=" + HostileClients.newId() + ",c=look,d=5000,cluster=0," + names
                    + " */ SELECT data FROM facts WHERE code = 'k1'"));
                sendUnlessClosed(hostile, Wire.join(requests));
            }
            assertCrowdIsAnswered(50, 500);
        }
        primaries.answerAfter(0, false);
        replicas.answerAfter(0, false);
        TimeUnit.MILLISECONDS.sleep(1_000);
        assertStillServes();
    }

    @ParameterizedTest
    @CsvSource({"384, 350", "1024, 640"})
    void crowdThatStopsHalfWayThroughLargeRequestsTakesNoMoreMemoryThanThereIs(int sockets, int clients)
            throws IOException, InterruptedException {
        restart(sockets);
        byte[] incomplete = Arrays.copyOf(Wire.query("x".repeat(190_000)), 140_000);
        try (HostileClients hostile = new HostileClients(router.address())) {
            for (int i = 0; i < clients; i++) {
                sendUnlessClosed(hostile, incomplete);
            }
            assertCrowdIsAnswered(50, 500);
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertStillServes();
    }

    @ParameterizedTest
    @CsvSource({"384, 150", "1024, 400"})
    void crowdThatFloodsTakesNoMoreMemoryThanThereIs(int sockets, int clients) throws IOException, InterruptedException {
        restart(sockets);
        try (HostileClients hostile = new HostileClients(router.address())) {
            hostile.flood(clients, floodCommands("syncs"));
            TimeUnit.MILLISECONDS.sleep(2_000);
            assertCrowdIsAnswered(50, 500);
        }
        TimeUnit.MILLISECONDS.sleep(1_000);
        assertStillServes();
    }

    @ParameterizedTest
    @CsvSource({"384, 350", "1024, 640"})
    void crowdThatWritesLargeRequestsSlowlyTakesNoMoreMemoryThanThereIs(int sockets, int clients)
            throws IOException, InterruptedException {
        restart(sockets);
        byte[] query = Wire.query(
            "/* id=" + HostileClients.newId() + ",c=put,d=1000,cluster=0 */ SELECT '" + "x".repeat(120_000));
        try (HostileClients hostile = new HostileClients(router.address())) {
            List<Client> slow = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                slow.add(hostile.sendAndStay(new byte[0]));
            }
            for (int piece = 0; piece < 20; piece++) {
                for (Client client : slow) {
                    sendUnlessClosed(client, Arrays.copyOfRange(query, piece * 5_000, (piece + 1) * 5_000));
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertCrowdIsAnswered(50, 500);
        }
        TimeUnit.MILLISECONDS.sleep(500);
        assertStillServes();
    }

    private static void sendUnlessClosed(Client client, byte[] bytes) throws IOException {
        try {
            client.send(bytes);
        } catch (SocketException e) {
            // turned away or cut off by the router
        }
    }

    private static void sendUnlessClosed(HostileClients hostile, byte[] bytes) throws IOException {
        try {
            hostile.sendAndStay(bytes);
        } catch (SocketException e) {
            // turned away or cut off by the router
        }
    }
}
