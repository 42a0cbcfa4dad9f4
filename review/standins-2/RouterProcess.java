import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router as the platform starts it: the command 'run' of the deploy file, and a configuration in a temporary folder. */
final class RouterProcess implements AutoCloseable {
    private static final long READY_MILLIS = 30_000;

    final String address;
    private final Path folder;
    private final Process process;

    /** Starts a router; {@code configuration} has {@code %s} in place of its name and its address. */
    RouterProcess(String name, String configuration) throws IOException {
        address = "127.0.0.1:" + freePort();
        folder = Files.createTempDirectory("ledgewall-review");
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration.replace("%NAME%", name).replace("%LISTEN%", address));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("ROUTER_CONFIG", file.toString());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", address);
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The deploy file's command 'run'. The check itself runs in the root of the repository. */
    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no 'run' in the deploy file");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until the router answers an empty query. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Client client = new Client(address)) {
                if (client.isReady()) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20); // it does not listen yet
            }
        }
        throw new IOException("the router was not ready in time: " + log());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The id of the router's process. */
    long pid() {
        return process.pid();
    }

    /** What the router has logged. */
    List<String> log() throws IOException {
        return Files.readAllLines(folder.resolve("log"));
    }

    /** Ends the router as at a planned restart (SIGTERM), or by SIGKILL if that takes too long, and removes its folder. */
    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
