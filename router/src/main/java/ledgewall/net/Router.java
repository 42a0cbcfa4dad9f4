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

/** One router: it serves from its start until it is drained or closed. Any program can embed it. */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    /** How long new connections may still come after a planned stop has begun, and a little more. */
    private static final long STILL_ACCEPTED = Clock.millis(450);
    /** A stopped process may be killed after its longest deadline, counted as 3 s where it is longer, and 0.7 s more. */
    private static final long LONGEST_STOP = Clock.millis(3_000);
    /** Of those 0.7 s all but what the last answers and the process's own end need. */
    private static final long BEFORE_THE_END = Clock.millis(400);
    /** Part of a stop in which clients are served on the connections they have; the rest is for what is in hand then. */
    private static final double SERVED_ON = 0.6;
    /** How often what has no timer of its own is looked after: connections that grow old. */
    private static final long SWEEP = Clock.millis(250);

    private RouterConfig config;
    private final Clock clock = Clock.ofSystem();
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport;
    private final Members members;
    private final RequestDispatcher desk;
    private final Discovery discovery;
    private final Peers peers;
    private final Wiring wiring;
    private final Thread thread = new Thread(loop, "ledgewall-loop");
    private final CountDownLatch closed = new CountDownLatch(1);
    private boolean draining;

    private Router(RouterConfig config, RoutingPolicy.Factory factory, MemberListWatcher.Checks pace, Classifier classifier) {
        this.config = config;
        DescriptorBudget descriptors = new DescriptorBudget(config.descriptorLimit());
        this.transport = new Transport(clock, loop, counters, descriptors.acceptLimit());
        this.wiring = new Wiring(clock, loop, transport, descriptors, counters, new BufferedBytes(),
            new IdleConnections(counters, descriptors.idleHostLimit(), config.transport().idleTimeout()),
            config.transport().connectTimeout());
        this.members = new Members(wiring, config.vocabulary());
        this.desk = new RequestDispatcher(wiring, config, members, classifier);
        this.discovery = new Discovery(wiring, config, members, pace);
        this.peers = new Peers(wiring, config);
        loop.catchUpBy(transport::awaitPendingReads);
        transport.onAcceptBlocked(desk::makeRoomForClients);
        loop.decideBy(factory.create(config.settings(), config.seed()), this::carryOut);
    }

    /** Starts a router and returns once it listens. */
    public static Router start(RouterConfig config, RoutingPolicy.Factory factory) throws IOException {
        return start(config, factory, MemberListWatcher.Checks.DEFAULT, null);
    }

    /** Starts a router that also takes statements without the comment, as what the classifier says that they are. */
    public static Router start(RouterConfig config, RoutingPolicy.Factory factory, Classifier classifier) throws IOException {
        return start(config, factory, MemberListWatcher.Checks.DEFAULT, classifier);
    }

    static Router start(RouterConfig config, RoutingPolicy.Factory factory, MemberListWatcher.Checks pace, Classifier classifier)
            throws IOException {
        Router router = new Router(config, factory, pace, classifier);
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
            loop.post(() -> ready.complete(null)); // the turn after the one that decides on the known list
        });
        thread.setDaemon(true);
        thread.start();
        ready.join();
        transport.listen(config.listen(), () -> new ClientConnection(wiring, desk));
        LOG.info("{} listens on {}, {} members known, {} descriptors at most, router {} of {}", config.name(), listening(),
            config.knownList().members().size(), config.descriptorLimit(), config.settings().rank(),
            config.settings().routerCount());
    }

    /** Where clients connect. */
    public InetSocketAddress listening() {
        return transport.boundAddress();
    }

    InetSocketAddress peersListening() {
        return peers.boundAddress();
    }

    /** Everything counted so far, on one line. */
    public String counters() {
        return counters.toString();
    }

    Counters counts() {
        return counters;
    }

    /** How much is kept of what comes and goes; asked of the loop, which owns it. */
    String sizes() {
        CompletableFuture<String> sizes = new CompletableFuture<>();
        loop.post(() -> sizes.complete("members " + members.size() + ", " + desk.sizes()));
        return sizes.join();
    }

    private void carryOut(Action action) {
        if (action instanceof RoutingPolicy.Send send) {
            desk.send(send);
        } else if (action instanceof RoutingPolicy.Refuse refuse) {
            desk.refuse(refuse);
        } else if (action instanceof RoutingPolicy.Fail fail) {
            desk.fail(fail);
        } else if (action instanceof RoutingPolicy.Cancel cancel) {
            desk.cancel(cancel);
        } else if (action instanceof RoutingPolicy.Probe probe) {
            probe(probe.member());
        } else if (action instanceof RoutingPolicy.SetTimer timer) {
            loop.at(timer.at(), () -> loop.tell(new RoutingPolicy.TimerFired(timer.handle())));
        } else if (action instanceof RoutingPolicy.Subscribe) {
            discovery.subscribe();
        } else if (action instanceof RoutingPolicy.FetchList) {
            discovery.fetch();
        } else if (action instanceof RoutingPolicy.Disconnect disconnect) {
            disconnect(disconnect.member());
        } else if (action instanceof RoutingPolicy.Forget forget) {
            members.forget(forget.member());
        } else if (action instanceof RoutingPolicy.SendToPeer tell) {
            peers.send(tell);
        } else if (action instanceof RoutingPolicy.LogMessage note) {
            LOG.info("policy: {}", note.text());
        } else {
            throw new IllegalStateException("nothing carries out " + action);
        }
    }

    private void probe(String member) {
        HostPool host = members.pool(member);
        if (host != null) {
            new Probe(wiring, member, config.transport().reports()).start(host);
        }
    }

    private void disconnect(String member) {
        HostPool host = members.pool(member);
        if (host != null) {
            host.closeIdle();
        }
    }

    private void sweep() {
        members.sweep();
        desk.sweep();
        loop.in(SWEEP, this::sweep);
    }

    /**
     * Takes over what may change while the router runs: where discovery is. All that is in hand goes on, and so does
     * what is known of the members: the new file's list may be older. Returns at once.
     */
    public void reload(RouterConfig changed) {
        loop.post(() -> {
            counters.add(Counters.Count.RELOADS);
            discovery.changeAddress(changed.discovery());
            RouterConfig same = config.withReloadable(changed);
            if (!same.equals(changed)) {
                LOG.warn("{}: the new configuration changes more than 'discovery': the rest needs a restart", config.name());
            }
            config = same;
            LOG.info("{}: {}", config.name(), counters);
            LOG.info("{}: {} descriptors held, longest turn {} ms, {}, members {}", config.name(), wiring.descriptors().held(),
                Clock.toMillis(loop.longestTurn()), desk.view(), members.describeConnections());
        });
    }

    /** Has another classifier say what requests are from now on; those in hand keep what was said. Returns at once. */
    public void classifyBy(Classifier classifier) {
        loop.post(() -> desk.classifyBy(classifier));
    }

    /**
     * Begins a planned stop: clients are served on the connections they have for a while, since their other routers may
     * be restarting too; then what was taken is answered, and the router closes. Returns at once.
     */
    public void drain() {
        loop.post(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.info("{} drains", config.name());
            long longest = config.transport().longestTimeout();
            long last = (longest > 0 ? Math.min(longest, LONGEST_STOP) : LONGEST_STOP) + BEFORE_THE_END;
            loop.in(STILL_ACCEPTED, this::stopAccepting);
            loop.in(Math.max(STILL_ACCEPTED, (long) (last * SERVED_ON)), this::closeClients);
            loop.in(last, this::failAll);
        });
    }

    private void stopAccepting() {
        // not on the loop: unbinding waits for the acceptor's thread, which must not wait for the loop
        Thread unbind = new Thread(transport::stopListening, "ledgewall-unbind");
        unbind.start();
    }

    private void closeClients() {
        desk.drain();
        finishWhenDrained();
    }

    /** The process will be killed soon: what is unanswered fails now rather than being lost. */
    private void failAll() {
        desk.failAll();
        loop.in(FLUSH, this::finish);
    }

    private void finishWhenDrained() {
        if (!desk.hasClients()) {
            loop.in(FLUSH, this::finish);
        } else {
            loop.in(FLUSH, this::finishWhenDrained);
        }
    }

    /** Time in which the kernel takes the last answers. */
    private static final long FLUSH = Clock.millis(10);

    private void finish() {
        desk.closeClients();
        loop.stop();
        new Thread(this::close, "ledgewall-close").start();
    }

    /** Waits until the router is closed. */
    public void awaitClosed() throws InterruptedException {
        closed.await();
    }

    /** Ends the router at once; what it holds is not answered. */
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
