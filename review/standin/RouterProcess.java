import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router, started by the deploy file's command 'run' from the root of the repository. */
final class RouterProcess implements AutoCloseable {
    final InetSocketAddress address;
    private final Process process;
    private final Path log;

    /** Starts a router; {@code config} has %LISTEN% in place of its address. */
    RouterProcess(Path root, Path folder, String name, String config) throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = socket.getLocalPort();
        }
        address = new InetSocketAddress("127.0.0.1", port);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config.replace("%LISTEN%", "127.0.0.1:" + port));
        log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
        builder.environment().put("ROUTER_CONFIG", file.toString());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).redirectInput(new File("/dev/null")).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no 'run'");
    }

    void awaitReady() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!log().contains("listens on")) {
            if (!process.isAlive() || System.nanoTime() > until) {
                throw new IOException("the router did not start: " + log());
            }
            Thread.sleep(20);
        }
    }

    String log() throws IOException {
        return new String(Files.readAllBytes(log), StandardCharsets.UTF_8);
    }

    /** Deletes the temporary folder of a run. */
    static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean waitFor(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Ends the process: with SIGTERM, so that its log has its counters, or else with SIGKILL. */
    @Override
    public void close() {
        try {
            process.destroy();
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
        }
    }
}
