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

/** A router in a process of its own, with the memory settings of the target platform; reads its resource use from /proc. */
final class RouterProcess implements AutoCloseable {
    private static final long START_TIMEOUT_MS = 30_000;
    /** Indexes of user and system CPU time among the fields of /proc/PID/stat after the command name; in ticks of 10 ms. */
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    private static final double TICKS_PER_SECOND = 100;

    private static final Path TASKSET = Path.of("/usr/bin/taskset");

    private final Process process;
    private final Path log;
    private final InetSocketAddress address;

    /** Starts a router and waits until it listens; {@code config} has %s in place of the listening address. */
    RouterProcess(Path folder, String config) throws IOException, InterruptedException {
        this(folder, config, List.of());
    }

    /** Starts a router that may use one processor only, as on the target platform, where the system can arrange that. */
    static RouterProcess onOneProcessor(Path folder, String config) throws IOException, InterruptedException {
        List<String> prefix = Files.isExecutable(TASKSET) ? List.of("" + TASKSET, "-c", lastProcessor()) : List.of();
        return new RouterProcess(folder, config, prefix);
    }

    private static String lastProcessor() throws IOException {
        return statusLine(Path.of("/proc/self/status"), "Cpus_allowed_list:").replaceAll(".*[^0-9]", "");
    }

    private static String statusLine(Path statusFile, String name) throws IOException {
        return Files.readAllLines(statusFile).stream().filter(line -> line.startsWith(name)).findFirst().orElseThrow();
    }

    private RouterProcess(Path folder, String config, List<String> prefix) throws IOException, InterruptedException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        Path file = folder.resolve("router.json");
        Files.writeString(file, String.format(config, "127.0.0.1:" + address.getPort()));
        log = folder.resolve("router.log");
        List<String> command = new ArrayList<>(prefix);
        command.addAll(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xss256k", "-Xms40m", "-Xmx40m",
            "-XX:MaxDirectMemorySize=8m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true",
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=" + System.getProperty("ledgewall.log", "info"),
            "-cp", System.getProperty("java.class.path"), "ledgewall.Main", "serve", file.toString()));
        process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start();
        awaitLog("listens on");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void awaitLog(String text) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!log().contains(text)) {
            if (!process.isAlive() || System.nanoTime() > deadline) {
                throw new IOException("the log of the router lacks '" + text + "': " + log());
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

    /** User and system time used so far. */
    double cpuSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND;
    }

    /** The largest amount of memory that the process has had resident so far, in kilobytes. */
    long peakMemoryKilobytes() throws IOException {
        String value = statusLine(Path.of("/proc/" + process.pid() + "/status"), "VmHWM:");
        return Long.parseLong(value.replaceAll("[^0-9]", ""));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long openDescriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    void sendSighup() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
    }

    void sendSigterm() {
        process.destroy();
    }

    /** Waits for the process to exit, and kills it if it has not done so by the deadline, a {@link System#nanoTime()}. */
    boolean exitsBy(long deadlineNs) throws InterruptedException {
        boolean exited = process.waitFor(Math.max(1, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS);
        process.destroyForcibly();
        return exited;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
