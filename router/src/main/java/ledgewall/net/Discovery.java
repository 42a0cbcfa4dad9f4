package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ListKind;
import ledgewall.discovery.MemberListWatcher;
import ledgewall.discovery.HttpException;
import ledgewall.discovery.HttpResponseParser;
import ledgewall.discovery.ListStreamParser;
import ledgewall.discovery.ListUpdate;
import ledgewall.settings.FormatException;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the list of members: executes the steps that {@link MemberListWatcher} decides on and passes it what discovery
 * sends. A discovery service that does not answer is never taken for an empty list: the known members stay.
 */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    /** Time without a byte from discovery that is logged once it ends: an open watch carries one every 2 s. */
    private static final long LOGGED_SILENCE_NANOS = Clock.millisToNanos(4_000);

    private final RouterContext context;
    private final Members members;
    private final MemberListWatcher watcher;
    /** The connections of the watcher's open calls; each is removed when the watcher closes its call. */
    private final Map<MemberListWatcher.Call, Connection> connections = new HashMap<>();
    private EventLoop.Timer timer;
    private long timerDueAt = Long.MAX_VALUE;
    private InetSocketAddress address;
    /** When the last byte from discovery came, or it was first asked; {@link Long#MAX_VALUE} before that. */
    private long lastHeardAt = Long.MAX_VALUE;

    Discovery(RouterContext context, RouterConfig config, Members members, MemberListWatcher.Checks checks) {
        this.context = context;
        this.members = members;
        this.address = config.discovery();
        this.watcher = new MemberListWatcher(address, config.knownList(), config.settings().subscribesToList(), checks,
            config.seed());
    }

    /** Starts to follow the list, if the settings let discovery push changes. */
    void start() {
        execute(watcher.start(now()));
    }

    /** Opens a watch unless there is one. */
    void subscribe() {
        execute(watcher.subscribe(now()));
    }

    /** Requests the complete list once. */
    void fetch() {
        execute(watcher.fetch(now()));
    }

    /** Continues with discovery at another address, from the known revision. */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            LOG.info("discovery is at {} from now on", newAddress);
            address = newAddress;
            execute(watcher.changeAddress(newAddress, now()));
        }
    }

    private long now() {
        return context.loop().now();
    }

    private void execute(List<MemberListWatcher.Step> steps) {
        for (MemberListWatcher.Step step : steps) {
            if (step instanceof MemberListWatcher.Open open) {
                Connection connection = new Connection(open.call());
                connections.put(open.call(), connection);
                connection.open();
            } else if (step instanceof MemberListWatcher.Close close) {
                connections.remove(close.call()).close();
            } else if (step instanceof MemberListWatcher.Apply apply) {
                applyList(apply.update(), apply.call());
            } else if (step instanceof MemberListWatcher.FetchFailed) {
                context.loop().postEvent(new RoutingPolicy.MemberList(ListKind.FAILED, List.of()));
            }
        }
        rescheduleTimer();
    }

    /** Logs for how long discovery has been silent, once it answers again. */
    private void heard() {
        long silentNanos = now() - lastHeardAt;
        lastHeardAt = now();
        if (silentNanos >= LOGGED_SILENCE_NANOS) {
            context.counters().add(Counters.Count.DISCOVERY_SILENCES);
            LOG.info("event=discovery_answers silent_ms={}", Clock.nanosToMillis(silentNanos));
        }
    }

    private void applyList(ListUpdate update, MemberListWatcher.Call from) {
        context.counters().add(Counters.Count.LISTS);
        if (from.purpose() == MemberListWatcher.Purpose.CHECK || from.purpose() == MemberListWatcher.Purpose.FULL_LIST) {
            context.counters().add(Counters.Count.LISTS_BY_CHECK);
            LOG.info("revision {} was found by a check before the watch reported it", update.revision());
        }
        LOG.debug("list {} from {} for {}", update.revision(), from.target(), from.purpose());
        members.applyList(update, update.complete() ? ListKind.FULL : ListKind.DELTA);
    }

    private void rescheduleTimer() {
        long dueAt = watcher.nextTickAt();
        if (dueAt == timerDueAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerDueAt = dueAt;
        timer = dueAt == Long.MAX_VALUE ? null : context.loop().runAt(dueAt, () -> {
            timerDueAt = Long.MAX_VALUE;
            execute(watcher.tick(now()));
        });
    }

    /** The connection of one call to discovery. */
    private final class Connection implements Endpoint {
        private final MemberListWatcher.Call call;
        private final QueuedReads queuedReads = new QueuedReads();
        private final ListStreamParser listParser = new ListStreamParser();
        private final HttpResponseParser httpParser = new HttpResponseParser(listParser);
        private ConnectFuture connectFuture;
        private IoSession session;
        private boolean closed;

        private Connection(MemberListWatcher.Call call) {
            this.call = call;
        }

        private void open() {
            context.descriptors().acquire();
            context.counters().add(call.purpose() == MemberListWatcher.Purpose.WATCH
                ? Counters.Count.WATCHES : Counters.Count.LIST_CHECKS);
            lastHeardAt = Math.min(lastHeardAt, now());
            connectFuture = context.transport().connect(call.address(), this, this::endCall);
        }

        @Override
        public void opened(IoSession newSession) {
            session = newSession;
            if (closed) {
                session.closeNow();
                return;
            }
            String request = "GET " + call.target() + " HTTP/1.1\r\nHost: " + call.address().getHostString() + ":"
                + call.address().getPort() + "\r\nAccept: application/json\r\n\r\n";
            context.transport().write(session, request.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void written(int bytes) {
            // only the answer matters
        }

        @Override
        public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
            int byteCount = bytes.remaining();
            context.counters().add(Counters.Count.LIST_BYTES, byteCount);
            boolean invalid = !parse(bytes) || httpParser.isComplete() && listParser.isPartial();
            List<ListUpdate> updates = new ArrayList<>();
            invalid |= !collectValid(listParser.takeUpdates(), updates);
            boolean hasUpdate = !updates.isEmpty();
            boolean answerPending = !httpParser.headersComplete() || listParser.isPartial();
            boolean malformed = invalid;
            boolean callEnded = invalid || httpParser.isComplete();
            return queuedReads.queue(from, () -> deliver(updates, hasUpdate, answerPending, byteCount, malformed, callEnded));
        }

        /** Parses received bytes; returns false if they are malformed, and nothing after the fault is parsed. */
        private boolean parse(ByteBuffer bytes) {
            try {
                httpParser.feed(bytes);
                return true;
            } catch (HttpException | FormatException e) {
                LOG.debug("discovery: {}", e.getMessage()); // debug level and a counter: a faulty service may repeat it endlessly
                return false;
            }
        }

        /** Copies the lists up to the first invalid one; returns false if there is one. */
        private static boolean collectValid(List<ListUpdate> received, List<ListUpdate> valid) {
            try {
                for (ListUpdate update : received) {
                    Members.validate(update);
                    valid.add(update);
                }
                return true;
            } catch (FormatException e) {
                LOG.debug("{}", e.getMessage());
                return false;
            }
        }

        private void deliver(List<ListUpdate> updates, boolean hasUpdate, boolean answerPending, int byteCount,
                             boolean malformed, boolean callEnded) {
            if (closed) {
                return;
            }
            heard();
            execute(watcher.onBytes(call, hasUpdate, answerPending, byteCount, now()));
            for (ListUpdate update : updates) {
                execute(watcher.onUpdate(call, update, now()));
            }
            if (malformed) {
                context.counters().add(Counters.Count.BAD_LISTS);
            }
            if (callEnded) {
                endCall();
            }
        }

        @Override
        public void inputEnded(long at) {
            endCall();
            session.closeNow();
        }

        @Override
        public void disconnected(long at) {
            endCall();
        }

        private void endCall() {
            if (!closed) {
                execute(watcher.onClosed(call, now()));
            }
        }

        private void close() {
            if (!closed) {
                closed = true;
                context.descriptors().release();
                if (session != null) {
                    session.closeNow();
                } else {
                    connectFuture.cancel(); // else pending connects would pile up until the kernel's connect timeout
                }
            }
        }
    }
}
