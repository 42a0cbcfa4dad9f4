package ledgewall;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import ledgewall.net.Classifier;
import ledgewall.net.WarmUp;
import ledgewall.net.Router;
import ledgewall.net.RouterConfig;
import ledgewall.settings.FormatException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router as a process: started from a file, reloaded and drained by signals, until it has closed. */
public final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Path file;
    private final Path rules;
    private final Classifiers classifiers;
    private Classifier classifier;

    /** Where classifiers come from. */
    public interface Classifiers {
        /**
         * Makes one anew, or says by a {@link FormatException} what is wrong with its settings.
         *
         * @param before the one until now, or null
         */
        Classifier read(RouterConfig config, Classifier before);
    }

    /** Runs a router that takes statements with the comment alone. */
    public Service(Path file) {
        this(file, null, null);
    }

    /** Runs a router that takes other statements too, as the classifiers that come from the file {@code rules} say. */
    public Service(Path file, Path rules, Classifiers classifiers) {
        this.file = file;
        this.rules = rules;
        this.classifiers = classifiers;
    }

    /** Returns once the router has closed. */
    public void run() throws IOException, InterruptedException {
        RouterConfig first = RouterConfig.read(file);
        classifier = classifiers == null ? null : classifiers.read(first, null);
        CompletableFuture<Router> started = new CompletableFuture<>();
        if (!SighupHandler.handle(() -> reload(started.join()))) {
            LOG.warn("SIGHUP was ignored when this process started: {} is read every {} ms instead, and taken over as it"
                + " changes", file, ConfigurationWatcher.EVERY_MILLIS);
            ConfigurationWatcher.start(file, () -> reload(started.join()));
            if (rules != null) {
                ConfigurationWatcher.start(rules, () -> reload(started.join()));
            }
        }
        WarmUp.run(first, ReplicaRoutingPolicy::new);
        Router router = Router.start(first, ReplicaRoutingPolicy::new, classifier);
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

    /** A file that is missing, half written or wrong changes nothing; each file for itself. */
    private synchronized void reload(Router router) {
        RouterConfig changed = null;
        try {
            changed = RouterConfig.read(file);
            router.reload(changed);
        } catch (FormatException e) {
            LOG.warn("nothing changes: {}", e.getMessage());
        } catch (IOException e) {
            LOG.warn("nothing changes: {}", reason(e));
        }
        if (classifiers != null && changed != null) {
            try {
                classifier = classifiers.read(changed, classifier);
                router.setClassifier(classifier);
                LOG.info("the rules are taken over");
            } catch (FormatException e) {
                LOG.warn("the rules stay as they are: {}", e.getMessage());
            }
        }
    }

    /** A failure to read a file, in words. */
    public static String reason(IOException e) {
        return e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.toString();
    }
}
