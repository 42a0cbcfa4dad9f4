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
import ledgewall.discovery.HttpReader;
import ledgewall.discovery.ListReader;
import ledgewall.discovery.ListUpdate;
import ledgewall.settings.FormatException;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the list: carries out what {@link MemberListWatcher} decides, and tells it what came. Silence is never an empty list:
 * what is known stays.
 */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);

    private final RouterContext wiring;
    private final Members members;
    private final MemberListWatcher follower;
    /** Connections of the follower's open calls; each leaves when the follower says so. */
    private final Map<MemberListWatcher.Call, Connection> connections = new HashMap<>();
    private EventLoop.Timer timer;
    private long timerDue = Long.MAX_VALUE;
    private InetSocketAddress address;

    Discovery(RouterContext wiring, RouterConfig config, Members members, MemberListWatcher.Pace pace) {
        this.wiring = wiring;
        this.members = members;
        this.address = config.discovery();
        this.follower = new MemberListWatcher(address, config.known(), config.settings().askForList(), pace,
            config.seed());
    }

    /** Begins to follow unasked, where that is discovery's way. */
    void start() {
        carryOut(follower.start(now()));
    }

    /** Begins the watch, if there is none. */
    void subscribe() {
        carryOut(follower.subscribe(now()));
    }

    /** Asks for the whole list once. */
    void fetch() {
        carryOut(follower.fetch(now()));
    }

    /** Follows discovery at another address, from the revision known. */
    void moveTo(InetSocketAddress other) {
        if (!other.equals(address)) {
            LOG.info("discovery is at {} from now on", other);
            address = other;
            carryOut(follower.move(other, now()));
        }
    }

    private long now() {
        return wiring.loop().now();
    }

    private void carryOut(List<MemberListWatcher.Step> steps) {
        for (MemberListWatcher.Step step : steps) {
            if (step instanceof MemberListWatcher.Open open) {
                Connection connection = new Connection(open.call());
                connections.put(open.call(), connection);
                connection.open();
            } else if (step instanceof MemberListWatcher.Close close) {
                connections.remove(close.call()).close();
            } else if (step instanceof MemberListWatcher.Learn learn) {
                learn(learn.update(), learn.from());
            } else if (step instanceof MemberListWatcher.Failed) {
                wiring.loop().postEvent(new RoutingPolicy.MemberList(ListKind.FAILED, List.of()));
            }
        }
        setTimer();
    }

    private void learn(ListUpdate update, MemberListWatcher.Call from) {
        wiring.counters().add(Counters.Count.LISTS);
        if (from.purpose() == MemberListWatcher.Purpose.CHECK || from.purpose() == MemberListWatcher.Purpose.WHOLE) {
            wiring.counters().add(Counters.Count.LISTS_BY_CHECK);
            LOG.info("revision {} came by a check before the watch told of it", update.revision());
        }
        LOG.debug("list {} from {} for {}", update.revision(), from.target(), from.purpose());
        members.learn(update, update.complete() ? ListKind.FULL : ListKind.CHANGES);
    }

    private void setTimer() {
        long due = follower.due();
        if (due == timerDue) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timerDue = due;
        timer = due == Long.MAX_VALUE ? null : wiring.loop().runAt(due, () -> {
            timerDue = Long.MAX_VALUE;
            carryOut(follower.tick(now()));
        });
    }

    /** The connection that one call has to itself. */
    private final class Connection implements Endpoint {
        private final MemberListWatcher.Call call;
        private final ListReader list = new ListReader();
        private final HttpReader http = new HttpReader(list);
        private ConnectFuture connecting;
        private IoSession session;
        private boolean over;

        private Connection(MemberListWatcher.Call call) {
            this.call = call;
        }

        private void open() {
            wiring.descriptors().take();
            wiring.counters().add(call.purpose() == MemberListWatcher.Purpose.WATCH
                ? Counters.Count.WATCHES : Counters.Count.LIST_CHECKS);
            connecting = wiring.transport().connect(call.address(), this, this::lost);
        }

        @Override
        public void opened(IoSession opened) {
            session = opened;
            if (over) {
                session.closeNow();
                return;
            }
            String request = "GET " + call.target() + " HTTP/1.1\r\nHost: " + call.address().getHostString() + ":"
                + call.address().getPort() + "\r\nAccept: application/json\r\n\r\n";
            wiring.transport().write(session, request.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void written(int bytes) {
            // only its answer matters
        }

        @Override
        public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
            int size = bytes.remaining();
            wiring.counters().add(Counters.Count.LIST_BYTES, size);
            boolean bad = !read(bytes) || http.done() && list.isPartial();
            List<ListUpdate> updates = new ArrayList<>();
            bad |= !check(list.take(), updates);
            boolean whole = !updates.isEmpty();
            boolean owed = !http.headDone() || list.isPartial();
            boolean broken = bad;
            boolean last = bad || http.done();
            return () -> take(updates, whole, owed, size, broken, last);
        }

        /** Reads what has come; false if any of it is no list: nothing behind it is taken. */
        private boolean read(ByteBuffer bytes) {
            try {
                http.feed(bytes);
                return true;
            } catch (HttpException | FormatException e) {
                LOG.debug("discovery: {}", e.getMessage()); // counted: a bad one may be asked without end
                return false;
            }
        }

        /** Passes on the lists up to the first that cannot be taken in; false if there is one. */
        private static boolean check(List<ListUpdate> all, List<ListUpdate> good) {
            try {
                for (ListUpdate update : all) {
                    Members.check(update);
                    good.add(update);
                }
                return true;
            } catch (FormatException e) {
                LOG.debug("{}", e.getMessage());
                return false;
            }
        }

        private void take(List<ListUpdate> updates, boolean whole, boolean owed, int size, boolean bad, boolean last) {
            if (over) {
                return;
            }
            carryOut(follower.heard(call, whole, owed, size, now()));
            for (ListUpdate update : updates) {
                carryOut(follower.told(call, update, now()));
            }
            if (bad) {
                wiring.counters().add(Counters.Count.BAD_LISTS);
            }
            if (last) {
                lost();
            }
        }

        @Override
        public void ended(long at) {
            lost();
        }

        private void lost() {
            if (!over) {
                carryOut(follower.ended(call, now()));
            }
        }

        private void close() {
            if (!over) {
                over = true;
                wiring.descriptors().release();
                if (session != null) {
                    session.closeNow();
                } else {
                    connecting.cancel(); // or as many would pend as the kernel's patience holds
                }
            }
        }
    }
}
