package ledgewall.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router as a process of its own, with the memory settings of the platform, and what the system says of it. */
final class RouterProcess implements AutoCloseable {
    private static final long START_MS = 30_000;
    /** Of /proc/PID/stat behind the command's name: user and system time, in ticks of 10 ms. */
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final double TICKS_PER_SECOND = 100;

    private final Process process;
    private final Path log;
    private final InetSocketAddress address;

    /** Starts one; {@code config} has %s where its listening address belongs. */
    RouterProcess(Path folder, String config) throws IOException, InterruptedException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        Path file = folder.resolve("router.json");
        Files.writeString(file, String.format(config, "127.0.0.1:" + address.getPort()));
        log = folder.resolve("router.log");
        List<String> command = new ArrayList<>(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xss256k", "-Xms40m", "-Xmx40m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true",
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=" + System.getProperty("ledgewall.log", "info"),
            "-cp", System.getProperty("java.class.path"), "ledgewall.Main", "serve", file.toString()));
        process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
        awaitLine("listens on");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void awaitLine(String part) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (!log().contains(part)) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException("the router does not say '" + part + "': " + log());
            }
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    InetSocketAddress address() {
        return address;
    }

    String log() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    double processorSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND;
    }

    long descriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    /** Sends SIGHUP. */
    void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Whether the process ends by that time, in nanoseconds; it is killed if not. */
    boolean endsBy(long time) throws InterruptedException {
        boolean ended = process.waitFor(Math.max(1, time - System.nanoTime()), TimeUnit.NANOSECONDS);
        process.destroyForcibly();
        return ended;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
