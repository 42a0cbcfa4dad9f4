package ledgewall.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Action;
import ledgewall.RoutingPolicy.ListKind;
import ledgewall.discovery.MemberListWatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One router, which serves from its start until it is drained or closed. May be embedded in any program. */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    /** Time from the start of a planned stop in which new connections are still accepted, with a small margin. */
    private static final long ACCEPT_GRACE_NANOS = Clock.millisToNanos(450);
    /**
     * Longest request deadline that a stop takes into account. A process that stops may be killed 0.7 s after its longest
     * deadline, or after this one where that is longer.
     */
    private static final long MAX_STOP_DEADLINE_NANOS = Clock.millisToNanos(3_000);
    /** The part of the 0.7 s that requests may use; the rest is for writing the last answers and ending the process. */
    private static final long AFTER_DEADLINE_NANOS = Clock.millisToNanos(400);
    /** Share of a stop in which clients are served on their connections; the rest is for the requests then in flight. */
    private static final double SERVING_SHARE_OF_STOP = 0.6;
    /** Interval of the sweep that handles what has no timer of its own, such as connections that time out. */
    private static final long SWEEP_INTERVAL_NANOS = Clock.millisToNanos(250);

    private RouterConfig config;
    private final Clock clock = Clock.ofSystem();
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport;
    private final Members members;
    private final RequestDispatcher dispatcher;
    private final Discovery discovery;
    private final Peers peers;
    private final RouterContext context;
    private final Thread loopThread = new Thread(loop, "ledgewall-loop");
    private final PressureLog pressureLog = new PressureLog(counters);
    private final CountDownLatch closed = new CountDownLatch(1);
    private boolean draining;

    private Router(RouterConfig config, RoutingPolicy.Factory factory, MemberListWatcher.Checks checks, Classifier classifier) {
        this.config = config;
        DescriptorBudget descriptors = new DescriptorBudget(config.descriptorLimit());
        this.transport = new Transport(clock, loop, counters, descriptors.acceptLimit());
        this.context = new RouterContext(clock, loop, transport, descriptors, counters, new BufferedBytes(),
            new IdleConnections(counters, descriptors.idleHostLimit(), config.transport().idleTimeout()),
            config.transport().connectTimeout());
        this.members = new Members(context, config.vocabulary());
        this.dispatcher = new RequestDispatcher(context, config, members, classifier);
        this.discovery = new Discovery(context, config, members, checks);
        this.peers = new Peers(context, config);
        loop.setInputReader(transport::awaitPendingReads);
        transport.onIoFailure(() -> new Thread(this::close, "ledgewall-close").start());
        transport.onAcceptBlocked(dispatcher::freeDescriptorForPendingClient);
        loop.setPolicy(factory.create(config.settings(), config.seed()), this::execute);
    }

    /** Starts a router and returns once it listens. */
    public static Router start(RouterConfig config, RoutingPolicy.Factory factory) throws IOException {
        return start(config, factory, MemberListWatcher.Checks.DEFAULT, null);
    }

    /** Starts a router that also accepts statements without a routing comment, which the classifier classifies. */
    public static Router start(RouterConfig config, RoutingPolicy.Factory factory, Classifier classifier) throws IOException {
        return start(config, factory, MemberListWatcher.Checks.DEFAULT, classifier);
    }

    static Router start(RouterConfig config, RoutingPolicy.Factory factory, MemberListWatcher.Checks checks,
                        Classifier classifier) throws IOException {
        Router router = new Router(config, factory, checks, classifier);
        try {
            router.open();
            return router;
        } catch (IOException | RuntimeException e) {
            router.close();
            throw e;
        }
    }

    private void open() throws IOException {
        if (config.settings().limits().peerMessages() && config.peerListen() != null) {
            peers.open();
        }
        Members.validate(config.knownList());
        CompletableFuture<Void> ready = new CompletableFuture<>();
        loop.post(() -> {
            members.applyList(config.knownList(), ListKind.CACHED);
            discovery.start();
            sweep();
            loop.post(() -> ready.complete(null)); // one turn after the policy has received the known members
        });
        loopThread.setDaemon(true);
        loopThread.start();
        ready.join();
        transport.listen(config.listen(), () -> new ClientConnection(context, dispatcher));
        LOG.info("{} listens on {}, {} members known, {} descriptors at most, router {} of {}", config.name(), listenAddress(),
            config.knownList().members().size(), config.descriptorLimit(), config.settings().rank(),
            config.settings().routerCount());
    }

    /** The address at which the router accepts clients. */
    public InetSocketAddress listenAddress() {
        return transport.boundAddress();
    }

    /** The address at which the router receives datagrams from its peers. */
    InetSocketAddress peerAddress() {
        return peers.boundAddress();
    }

    /** The number of remote addresses of datagrams for which state is kept. */
    int peerSessionCount() {
        return peers.sessionCount();
    }

    /** All counters, on one line. */
    public String counters() {
        return counters.toString();
    }

    Counters counts() {
        return counters;
    }

    /** The numbers of members, requests, clients and ids that are held, read on the event loop. */
    String sizes() {
        CompletableFuture<String> sizes = new CompletableFuture<>();
        loop.post(() -> sizes.complete("members " + members.size() + ", " + dispatcher.sizes()));
        return sizes.join();
    }

    private void execute(Action action) {
        if (action instanceof RoutingPolicy.Send send) {
            dispatcher.send(send);
        } else if (action instanceof RoutingPolicy.Refuse refuse) {
            dispatcher.refuse(refuse);
        } else if (action instanceof RoutingPolicy.Fail fail) {
            dispatcher.fail(fail);
        } else if (action instanceof RoutingPolicy.Cancel cancel) {
            dispatcher.cancel(cancel);
        } else if (action instanceof RoutingPolicy.Probe probe) {
            probe(probe.member());
        } else if (action instanceof RoutingPolicy.SetTimer timer) {
            loop.runAt(timer.at(), () -> loop.postEvent(new RoutingPolicy.TimerFired(timer.handle())));
        } else if (action instanceof RoutingPolicy.Subscribe) {
            discovery.subscribe();
        } else if (action instanceof RoutingPolicy.FetchList) {
            discovery.fetch();
        } else if (action instanceof RoutingPolicy.Disconnect disconnect) {
            disconnect(disconnect.member());
        } else if (action instanceof RoutingPolicy.Forget forget) {
            members.forget(forget.member());
        } else if (action instanceof RoutingPolicy.SendToPeer peerMessage) {
            peers.send(peerMessage);
        } else if (action instanceof RoutingPolicy.LogMessage logMessage) {
            LOG.info("policy: {}", logMessage.text());
        } else {
            throw new IllegalStateException("unhandled action: " + action);
        }
    }

    private void probe(String member) {
        HostPool pool = members.pool(member);
        if (pool != null) {
            new Probe(context, member, config.transport().reports()).start(pool);
        }
    }

    private void disconnect(String member) {
        HostPool pool = members.pool(member);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    private void sweep() {
        members.sweep();
        dispatcher.sweep();
        pressureLog.update(loop.now());
        loop.runAfter(SWEEP_INTERVAL_NANOS, this::sweep);
    }

    /**
     * Applies the only setting that may change while the router runs: the address of discovery. Requests in flight continue,
     * and the current member list stays, since the one in the new file may be older. Returns at once.
     */
    public void reload(RouterConfig changed) {
        loop.post(() -> {
            counters.add(Counters.Count.RELOADS);
            discovery.changeAddress(changed.discovery());
            RouterConfig reloaded = config.withReloadable(changed);
            if (!reloaded.equals(changed)) {
                LOG.warn("{}: the new configuration changes more than 'discovery': the rest needs a restart", config.name());
            }
            config = reloaded;
            LOG.info("{}: {}", config.name(), counters);
            LOG.info("{}: {} descriptors held, longest turn {} ms, {}, members {}", config.name(), context.descriptors().held(),
                Clock.nanosToMillis(loop.longestTurnNanos()), dispatcher.summary(), members.describeConnections());
        });
    }

    /** Replaces the classifier; requests already classified are not classified again. Returns at once. */
    public void setClassifier(Classifier classifier) {
        loop.post(() -> dispatcher.setClassifier(classifier));
    }

    /**
     * Begins a planned stop. Clients are served on their existing connections for a while, since the other routers that they
     * could use may be restarting too; then the requests in flight are answered, and the router closes. Returns at once.
     */
    public void drain() {
        loop.post(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.info("{} drains", config.name());
            long longestNanos = config.transport().longestTimeout();
            long stopNanos = (longestNanos > 0 ? Math.min(longestNanos, MAX_STOP_DEADLINE_NANOS) : MAX_STOP_DEADLINE_NANOS)
                + AFTER_DEADLINE_NANOS;
            loop.runAfter(ACCEPT_GRACE_NANOS, this::stopAccepting);
            loop.runAfter(Math.max(ACCEPT_GRACE_NANOS, (long) (stopNanos * SERVING_SHARE_OF_STOP)), this::closeClients);
            loop.runAfter(stopNanos, this::failUnanswered);
        });
    }

    private void stopAccepting() {
        // on a thread of its own: unbinding waits for the acceptor's thread, which must not wait for the loop
        Thread unbind = new Thread(transport::stopListening, "ledgewall-unbind");
        unbind.start();
    }

    private void closeClients() {
        dispatcher.drain();
        shutDownWhenDrained();
    }

    /** Fails the requests that are unanswered shortly before the process may be killed, so that clients get an answer. */
    private void failUnanswered() {
        dispatcher.failUnanswered();
        loop.runAfter(LAST_ANSWERS_NANOS, this::shutDown); // earlier if all clients are gone
    }

    private void shutDownWhenDrained() {
        if (!dispatcher.hasClients() && !context.bufferedBytes().holdsAny()) {
            loop.runAfter(FLUSH_NANOS, this::shutDown);
        } else {
            loop.runAfter(FLUSH_NANOS, this::shutDownWhenDrained);
        }
    }

    /** Time allowed for clients to take their last answers, right before the process may be killed. */
    private static final long LAST_WRITES_NANOS = Clock.millisToNanos(100);
    /** Time allowed for refusing what clients have sent and the router has put off reading. */
    private static final long LAST_ANSWERS_NANOS = Clock.millisToNanos(100);
    /** Time allowed for the kernel to accept the last answers, and the interval at which a drain checks for open clients. */
    private static final long FLUSH_NANOS = Clock.millisToNanos(10);

    /** Ends the router in steps: what had been read by now is refused, and the answers are written. */
    private void shutDown() {
        dispatcher.stopReading();
        loop.runAfter(FLUSH_NANOS, () -> {
            dispatcher.closeClients();
            closeOnceWritten(loop.now() + LAST_WRITES_NANOS);
        });
    }

    /** Closes the router once all answers are written, at the latest at the given time. */
    private void closeOnceWritten(long latest) {
        loop.runAfter(FLUSH_NANOS, () -> {
            if (context.bufferedBytes().holdsAny() && loop.now() < latest) {
                closeOnceWritten(latest);
                return;
            }
            loop.stop();
            new Thread(this::close, "ledgewall-close").start();
        });
    }

    /** Waits until the router is closed. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }

    /** Closes the router at once, without answering requests in flight. */
    @Override
    public void close() {
        if (closed.getCount() == 0) {
            return;
        }
        loop.stop();
        loop.post(() -> { });
        peers.close();
        transport.close();
        LOG.info("{} closed: {}", config.name(), counters);
        closed.countDown();
    }
}
