import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many writes at once while their set has no primary. Each write has to get its answer, whichever it is.
 */
public final class Pipeline {
    private static final int MEMBERS = 4;
    private static final int CLIENTS = 4;
    /** Commands that a client sends whole in one piece; of one more, the second half comes later. */
    private static final int COMMANDS = Integer.getInteger("commands", 90);
    private static final long SECOND_HALF_MILLIS = 100;
    /** The primary is given up 2 s after its death, and a replica takes over 2 s after that. */
    private static final long TAKE_OVER_MILLIS = 4_000;
    private static final int WAIT_MILLIS = 5_000;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = arguments[2].equals("1");
        Random random = new Random(Long.parseLong(arguments[3]));
        Path temporary = Files.createTempDirectory("case");
        int status = 2;
        RouterProcess router = null;
        try (Record record = new Record(folder.resolve("record.txt")); Discovery discovery = new Discovery()) {
            List<DbHost> hosts = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                DbHost host = new DbHost("s-" + i, 0, i == 0, record, random.nextLong());
                host.boundMillis = Map.of("bay-status", 1_500L);
                host.open();
                hosts.add(host);
                discovery.put(host.id, host.entry("Ready", "dayuan-room"));
            }
            router = new RouterProcess(root, temporary, "n0", new Config().of("n0", 0, discovery, List.of()));
            router.awaitReady();
            status = run(record, discovery, hosts, router, trouble, random);
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            if (router != null) {
                router.close();
                System.out.println(router.log().lines().reduce((a, b) -> b).orElse(""));
            }
        }
        RouterProcess.deleteFolder(temporary);
        System.exit(status);
    }

    private static int run(Record record, Discovery discovery, List<DbHost> hosts, RouterProcess router, boolean trouble,
                           Random random) throws Exception {
        Clients usual = new Clients(router.address);
        long end = System.nanoTime() + 20_000_000_000L;
        Threads.start("usual", () -> {
            for (int i = 0; System.nanoTime() < end; i++) {
                String id = String.format("%08x%08x", random.nextInt(), i);
                usual.send(statement(id, "trip-history", 1_500), 1_500,
                    answer -> record.add("usual client got for %s: %s", id, answer.kind()));
                Threads.sleepMillis(20);
            }
        });
        Thread.sleep(4_000);
        if (trouble) {
            record.say("the primary's process dies; a replica takes over %d ms later", TAKE_OVER_MILLIS);
            hosts.get(0).die();
            Threads.after(TAKE_OVER_MILLIS, () -> {
                record.say("%s is the primary", hosts.get(1).id);
                hosts.get(1).primary = true;
            });
            Threads.after(2_000, () -> discovery.put(hosts.get(0).id, hosts.get(0).entry("Gone", "dayuan-room")));
            Thread.sleep(200);
        }
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            String name = "client " + i;
            int number = i;
            Threads.start(name, () -> {
                try {
                    pipeline(record, router, name, number, lost, answered);
                } finally {
                    ended.countDown();
                }
            });
        }
        boolean worked = ended.await(14, TimeUnit.SECONDS) && answered.get() > 0 && router.isAlive();
        record.say("%d writes were sent whole, %d were answered; the router ended the connection of %d without an answer",
            CLIENTS * COMMANDS, answered.get(), lost.get());
        return lost.get() > 0 ? 1 : worked ? 0 : 2;
    }

    private static void pipeline(Record record, RouterProcess router, String name, int number, AtomicInteger lost,
                                 AtomicInteger answered) throws Exception {
        Clients.Connection connection = new Clients.Connection(router.address);
        connection.awaitReady();
        connection.socket.setSoTimeout(WAIT_MILLIS + 2_000);
        List<byte[]> commands = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            commands.add(Wire.query(statement(String.format("b%02x%013x", number, i), "book-bay", WAIT_MILLIS)));
        }
        byte[] last = Wire.query(statement(String.format("b%02x%013x", number, COMMANDS), "book-bay", WAIT_MILLIS));
        commands.add(Arrays.copyOf(last, last.length / 2));
        OutputStream out = connection.socket.getOutputStream();
        byte[] first = Wire.join(commands.toArray(new byte[0][]));
        out.write(first);
        record.add("%s sent %d writes and half of one more, %d bytes", name, COMMANDS, first.length);
        Thread.sleep(SECOND_HALF_MILLIS);
        out.write(last, last.length / 2, last.length - last.length / 2);
        record.add("%s sent the other half", name);
        Map<String, Integer> kinds = new HashMap<>();
        int answers = 0;
        String how = "all were answered";
        try {
            // the answer to the last write, which came in two pieces, isn't asked for: the router may not have read it
            for (; answers < COMMANDS; answers++) {
                Clients.Answer answer = connection.readAnswer();
                record.add("%s got the answer to write %d: %s %s", name, answers, answer.kind(), answer.detail());
                kinds.merge(answer.kind(), 1, Integer::sum);
            }
        } catch (java.net.SocketTimeoutException e) {
            how = "nothing came any more";
        } catch (java.io.IOException e) {
            how = "the router ended the connection: " + e;
        }
        record.say("%s: %d of %d answered, %s; %s", name, answers, COMMANDS, kinds, how);
        answered.addAndGet(answers);
        lost.addAndGet(COMMANDS - answers);
        connection.socket.close();
    }

    private static String statement(String id, String requestClass, int wait) {
        String comment = "/* id=" + id + ",c=" + requestClass + ",t=lot-t1-long,d=" + wait + ",cluster=0 */ ";
        return comment + (requestClass.equals("book-bay")
            ? "INSERT INTO facts (code, data) VALUES ('" + id + "', '\\x9f03') RETURNING data"
            : "SELECT data FROM facts WHERE code = '" + id + "'");
    }
}
