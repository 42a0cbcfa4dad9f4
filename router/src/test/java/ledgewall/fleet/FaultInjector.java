package ledgewall.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import ledgewall.standin.Client;
import ledgewall.standin.StubHosts;
import ledgewall.standin.Wire;

/**
 * Injects faults drawn from a seed into a fleet, often several at once: at hosts, in the member list, by clients and by signals.
 * Records what its own clients saw that breaks a rule.
 */
final class FaultInjector implements AutoCloseable {
    /** An attempt that begins later than this after its client's close is a lost request. */
    private static final long LEAVE_BOUND_MS = 100;
    private static final long DEADLINE_MS = 800;
    private static final int MAX_FAULTS_AT_ONCE = 3;
    private static final int COMMANDS_PER_WRITE = 4_096;
    private static final List<byte[]> FLOOD_COMMANDS = List.of(Wire.query(""), Wire.message('S'), Wire.message('H'),
        Wire.query("/* id=1,c=nosuch,d=5,cluster=0 */ SELECT 1"));

    private final SplittableRandom random;
    private final DiscoveryServer discovery;
    private final StubHosts primaries;
    private final StubHosts replicas;
    private final int hosts;
    private final RouterProcess router;
    private final List<Client> idleClients = new ArrayList<>();
    private final List<HostileClients> hostileClients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<HostileClients.LeftPipeline> leftPipelines = new CopyOnWriteArrayList<>();
    private final List<String> crowdFailures = new CopyOnWriteArrayList<>();
    private final List<String> injected = new ArrayList<>();

    FaultInjector(SplittableRandom random, DiscoveryServer discovery, StubHosts primaries, StubHosts replicas, int hosts,
                  RouterProcess router) {
        this.random = random;
        this.discovery = discovery;
        this.primaries = primaries;
        this.replicas = replicas;
        this.hosts = hosts;
        this.router = router;
    }

    /** Injects faults for a number of seconds. */
    void run(int seconds) {
        try {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < end) {
                StubHosts affectedHosts = random.nextBoolean() ? primaries : replicas;
                for (int faults = 1 + random.nextInt(MAX_FAULTS_AT_ONCE); faults > 0; faults--) {
                    inject(affectedHosts);
                }
                TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(600));
                if (random.nextBoolean()) {
                    affectedHosts.behavior(StubHosts.Behavior.HEALTHY);
                }
                if (random.nextBoolean()) {
                    endHostileClients();
                }
            }
            for (Thread thread : clientThreads) {
                thread.join();
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(StubHosts affectedHosts) throws IOException, InterruptedException {
        int fault = random.nextInt(12);
        injected.add("" + fault);
        switch (fault) {
            case 0 -> affectedHosts.behavior(StubHosts.Behavior.UNRESPONSIVE);
            case 1 -> affectedHosts.behavior(StubHosts.Behavior.RESETTING);
            case 2 -> affectedHosts.behavior(StubHosts.Behavior.REFUSING);
            case 3 -> discovery.publish(restartedReplicaEntries());
            case 4 -> discovery.publish(failoverEntries());
            case 5 -> openIdleClients();
            case 6 -> flood();
            case 7, 8 -> startClient(this::leave);
            case 9 -> startClient(this::crowd);
            case 10 -> stopWithinMessages();
            default -> sendSighups();
        }
    }

    /** One SIGHUP, or several in quick succession. */
    private void sendSighups() throws IOException, InterruptedException {
        for (int signals = 1 + random.nextInt(5); signals > 0; signals--) {
            router.sendSighup();
            TimeUnit.MILLISECONDS.sleep(random.nextInt(30));
        }
    }

    private void openIdleClients() throws IOException {
        for (int i = 0; i < 40; i++) {
            idleClients.add(new Client(router.address()));
        }
    }

    private void flood() throws IOException {
        byte[][] commands = new byte[COMMANDS_PER_WRITE][];
        Arrays.fill(commands, FLOOD_COMMANDS.get(random.nextInt(FLOOD_COMMANDS.size())));
        hostileClients.add(new HostileClients(router.address()).flood(1 + random.nextInt(6), Wire.join(commands)));
    }

    private void stopWithinMessages() throws IOException {
        HostileClients clients = new HostileClients(router.address());
        hostileClients.add(clients);
        byte[] query = Wire.query("x".repeat(2_000 + random.nextInt(150_000)));
        for (int i = 0; i < 20; i++) {
            clients.sendAndStay(Arrays.copyOf(query, query.length / 2));
        }
    }

    /** A client's part of a fault, which draws from a random source of its own. */
    private interface ClientScript {
        void run(SplittableRandom clientRandom) throws IOException, InterruptedException;
    }

    private void startClient(ClientScript script) {
        SplittableRandom clientRandom = random.split();
        Thread thread = new Thread(() -> {
            try {
                script.run(clientRandom);
            } catch (IOException e) {
                // the router has closed the connection of a client that breaks rules itself
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "faulty-client");
        thread.setDaemon(true);
        thread.start();
        clientThreads.add(thread);
    }

    /** Sends a pipeline of up to a few hundred requests and leaves. */
    private void leave(SplittableRandom clientRandom) throws IOException, InterruptedException {
        int requests = 1 + clientRandom.nextInt(clientRandom.nextBoolean() ? 4 : 400);
        byte[] request = HostileClients.request(HostileClients.newId(), "put", DEADLINE_MS);
        byte[] last = Arrays.copyOf(request, clientRandom.nextBoolean() ? 0 : clientRandom.nextInt(request.length));
        String className = clientRandom.nextBoolean() ? "look" : "put";
        leftPipelines.add(
            HostileClients.sendAndLeave(router.address(), requests, className, last, clientRandom.nextInt(150)));
    }

    private void crowd(SplittableRandom clientRandom) throws InterruptedException {
        HostileClients.crowd(router.address(), 50 + clientRandom.nextInt(150), 400, DEADLINE_MS).stream()
            .filter(result -> !result.isAnsweredInTime(DEADLINE_MS)).forEach(result -> crowdFailures.add(result.toString()));
    }

    /** New entries, with the present as start time, for about a third of the replicas. */
    private List<String> restartedReplicaEntries() {
        List<String> changedEntries = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            if (!FleetConfig.isPrimary(host) && random.nextInt(3) == 0) {
                changedEntries.add(FleetConfig.entry(host, replicas.address(), System.currentTimeMillis()));
            }
        }
        return changedEntries;
    }

    /** New entries that exchange the primary and its successor in about a quarter of the groups. */
    private List<String> failoverEntries() {
        List<String> changedEntries = new ArrayList<>();
        for (int group = 0; group < hosts / FleetConfig.GROUP_SIZE; group++) {
            if (random.nextInt(4) == 0) {
                changedEntries.add(FleetConfig.entry(FleetConfig.primaryOf(group), replicas.address(), 0));
                changedEntries.add(FleetConfig.entry(FleetConfig.successorOf(group), primaries.address(), 0));
            }
        }
        return changedEntries;
    }

    /** What its clients saw that breaks a rule: requests without an answer in time, attempts after a client had left. */
    List<String> failures() {
        List<String> failures = new ArrayList<>(crowdFailures);
        for (HostileClients.LeftPipeline pipeline : leftPipelines) {
            List<Long> late = pipeline.attemptsBegunLaterThan(LEAVE_BOUND_MS, primaries.arrivals(), replicas.arrivals());
            if (!late.isEmpty()) {
                failures.add("attempts begun after the close of a client with " + pipeline.ids().size() + " requests, by ms: "
                    + late);
            }
        }
        return failures;
    }

    /** The faults in their order, by their number in {@link #inject}. */
    String injected() {
        return String.join(" ", injected);
    }

    private void endHostileClients() throws IOException {
        for (HostileClients clients : hostileClients) {
            clients.close();
        }
        hostileClients.clear();
    }

    @Override
    public void close() throws IOException {
        endHostileClients();
        for (Client client : idleClients) {
            client.close();
        }
    }
}
