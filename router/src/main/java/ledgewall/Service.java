package ledgewall;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import ledgewall.net.Classifier;
import ledgewall.net.Router;
import ledgewall.net.RouterConfig;
import ledgewall.net.WarmUp;
import ledgewall.settings.FormatException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a router as a process: starts it from a configuration file, reloads it on SIGHUP and drains it on shutdown. */
public final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    private final Path configFile;
    private final Path rulesFile;
    private final ClassifierFactory classifierFactory;
    private Classifier classifier;

    /** Reads the classifier's settings and creates it, at the start and at each reload. */
    public interface ClassifierFactory {
        /**
         * Creates a classifier, or throws a {@link FormatException} that says what is wrong with its settings.
         *
         * @param previous the classifier in use until now, or null
         */
        Classifier read(RouterConfig config, Classifier previous);
    }

    /** Runs a router that only accepts statements with a complete routing comment. */
    public Service(Path configFile) {
        this(configFile, null, null);
    }

    /**
     * Runs a router that also accepts other statements, which the factory's classifiers classify.
     *
     * @param rulesFile the file that the factory reads; without SIGHUP it is polled for changes
     */
    public Service(Path configFile, Path rulesFile, ClassifierFactory classifierFactory) {
        this.configFile = configFile;
        this.rulesFile = rulesFile;
        this.classifierFactory = classifierFactory;
    }

    /** Returns once the router has closed. */
    public void run() throws IOException, InterruptedException {
        RouterConfig config = RouterConfig.read(configFile);
        classifier = classifierFactory == null ? null : classifierFactory.read(config, null);
        CompletableFuture<Router> routerFuture = new CompletableFuture<>();
        if (!SighupHandler.install(() -> reload(routerFuture.join()))) {
            LOG.warn("SIGHUP was ignored when this process started: polling {} every {} ms instead and reloading it"
                + " when it changes", configFile, ConfigurationWatcher.INTERVAL_MILLIS);
            ConfigurationWatcher.start(configFile, () -> reload(routerFuture.join()));
            if (rulesFile != null) {
                ConfigurationWatcher.start(rulesFile, () -> reload(routerFuture.join()));
            }
        }
        WarmUp.run(config, ReplicaRoutingPolicy::new);
        Router router = Router.start(config, ReplicaRoutingPolicy::new, classifier);
        routerFuture.complete(router);
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

    /** Reloads both files. One that is missing, half written or invalid leaves its settings as they are. */
    private synchronized void reload(Router router) {
        RouterConfig newConfig = null;
        try {
            newConfig = RouterConfig.read(configFile);
            router.reload(newConfig);
        } catch (FormatException e) {
            LOG.warn("nothing changes: {}", e.getMessage());
        } catch (IOException e) {
            LOG.warn("nothing changes: {}", describe(e));
        }
        if (classifierFactory != null && newConfig != null) {
            try {
                classifier = classifierFactory.read(newConfig, classifier);
                router.setClassifier(classifier);
                LOG.info("the rules are taken over");
            } catch (FormatException e) {
                LOG.warn("the rules stay as they are: {}", e.getMessage());
            }
        }
    }

    /** A message for a failure to read a file. */
    public static String describe(IOException e) {
        return e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.toString();
    }
}
