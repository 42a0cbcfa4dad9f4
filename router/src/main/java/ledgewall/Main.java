package ledgewall;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import ledgewall.net.Rehearsal;
import ledgewall.net.Router;
import ledgewall.net.RouterConfig;
import ledgewall.settings.FormatException;
import ledgewall.simhost.SimHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The command line. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        try {
            if (command.equals("serve") && args.length <= 2) {
                serve(args.length == 2 ? args[1] : System.getenv("ROUTER_CONFIG"));
                return 0;
            }
            if (command.equals("simhost") && args.length == 1) {
                new SimHost(Brain::new).serve(System.in, System.out);
                return 0;
            }
            System.err.println("usage: ledgewall serve [CONFIG] | simhost");
            System.err.println("  serve     run one router, configured by the file CONFIG or the one that "
                + "ROUTER_CONFIG names");
            System.err.println("  simhost   decide for a simulator's instances, on standard input and output");
            return EXIT_USAGE;
        } catch (FormatException e) {
            System.err.println("ledgewall: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("ledgewall: " + reason(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return EXIT_FAILURE;
    }

    private static String reason(IOException e) {
        return e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.toString();
    }

    private static void serve(String config) throws IOException, InterruptedException {
        if (config == null) {
            throw new FormatException("the environment names no ROUTER_CONFIG");
        }
        Path file = Path.of(config);
        RouterConfig first = RouterConfig.read(file);
        CompletableFuture<Router> started = new CompletableFuture<>();
        if (!HangUp.handle(() -> reload(started.join(), file))) {
            LOG.warn("SIGHUP was ignored when this process started: {} is read every {} ms instead, and taken over as it"
                + " changes", file, FileWatch.EVERY_MILLIS);
            FileWatch.start(file, () -> reload(started.join(), file));
        }
        Rehearsal.run(first, Brain::new);
        Router router = Router.start(first, Brain::new);
        started.complete(router);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            router.drain();
            try {
                router.awaitClosed();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "ledgewall-drain"));
        router.awaitClosed();
    }

    /** A file that is missing, half written or wrong changes nothing. */
    private static synchronized void reload(Router router, Path file) {
        try {
            router.reload(RouterConfig.read(file));
        } catch (FormatException e) {
            LOG.warn("nothing changes: {}", e.getMessage());
        } catch (IOException e) {
            LOG.warn("nothing changes: {}", reason(e));
        }
    }
}
