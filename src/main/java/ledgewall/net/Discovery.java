package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.ListKind;
import ledgewall.discovery.HttpException;
import ledgewall.discovery.HttpReader;
import ledgewall.discovery.LineCutter;
import ledgewall.discovery.ListParser;
import ledgewall.discovery.ListUpdate;
import ledgewall.settings.FormatException;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the list: a watch from the last revision, begun again when it ends, breaks or falls silent. Silence is
 * never an empty list: what is known stays.
 */
final class Discovery {
    private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
    private static final String PATH = "/catalog/members";
    /** A watch tells something every 2 s; three such spans without a byte are silence. */
    private static final long SILENCE = Clock.millis(6_000);
    /** A revision before any. */
    private static final long NOTHING = -1;
    private static final long FIRST_GAP = Clock.millis(100);
    /** An agent on the router's own machine costs nothing to ask; what it tells counts as known soon after. */
    private static final long LONGEST_GAP = Clock.millis(1_000);

    private final Wiring wiring;
    private final Members members;
    private InetSocketAddress address;
    private final boolean onlyWhenAsked;
    private long revision;
    private long gap = FIRST_GAP;
    private Call watch;
    private boolean closed;

    Discovery(Wiring wiring, RouterConfig config, Members members) {
        this.wiring = wiring;
        this.members = members;
        this.address = config.discovery();
        this.onlyWhenAsked = config.settings().askForList();
        this.revision = config.known().revision();
    }

    /** Begins to follow unasked, where that is discovery's way. */
    void start() {
        if (!onlyWhenAsked) {
            subscribe();
        }
    }

    /** Begins the watch, if there is none. */
    void subscribe() {
        if (watch == null && !closed) {
            wiring.counters().add(Counters.Count.WATCHES);
            watch = new Call(PATH + "?follow=1&since=" + revision, true);
            watch.start();
        }
    }

    /** Asks for the whole list once. */
    void fetch() {
        new Call(PATH, false).start();
    }

    /** Follows discovery at another address, from the revision known; the watch at the one before ends. */
    void moveTo(InetSocketAddress other) {
        if (closed || other.equals(address)) {
            return;
        }
        LOG.info("discovery is at {} from now on", other);
        address = other;
        gap = FIRST_GAP;
        Call before = watch;
        watch = null;
        if (before != null) {
            before.close();
        }
        if (before != null || !onlyWhenAsked) {
            subscribe();
        }
    }

    void close() {
        closed = true;
        if (watch != null) {
            watch.close();
        }
    }

    private void learn(ListUpdate update, Call call) {
        gap = FIRST_GAP;
        boolean older = update.revision() < revision;
        if (older && !update.complete() && call.follows) {
            revision = NOTHING; // discovery has begun anew: only the whole list says what holds
            fetch();
            return;
        }
        if (update.revision() == revision && !update.complete() || older && !call.follows) {
            return; // known already
        }
        revision = update.revision();
        wiring.counters().add(Counters.Count.LISTS);
        members.learn(update, update.complete() ? ListKind.FULL : ListKind.CHANGES);
        LOG.debug("list {} from {}", revision, call.target);
    }

    private void ended(Call call) {
        if (closed || call.follows && call != watch) {
            return; // a watch that another has taken the place of
        }
        if (call.follows ? onlyWhenAsked : !call.told) { // whoever asked is told that it failed
            wiring.loop().tell(new RoutingPolicy.MemberList(ListKind.FAILED, List.of()));
        }
        watch = call == watch ? null : watch;
        if (call.follows && !onlyWhenAsked) {
            wiring.loop().in(gap, this::subscribe);
            gap = Math.min(LONGEST_GAP, 2 * gap);
        }
    }

    /** One request to discovery and the connection that it has to itself. */
    private final class Call implements Endpoint {
        private final String target;
        private final boolean follows;
        private final InetSocketAddress asked = address;
        private final List<byte[]> lines = new ArrayList<>();
        private final LineCutter cutter = new LineCutter(lines::add);
        private final HttpReader http = new HttpReader(cutter);
        private IoSession session;
        private EventLoop.Timer silence;
        private boolean told;
        private boolean over;

        private Call(String target, boolean follows) {
            this.target = target;
            this.follows = follows;
        }

        private void start() {
            wiring.descriptors().take();
            listen();
            wiring.transport().connect(asked, this, this::close);
        }

        /** Gives it up unless something comes in time. */
        private void listen() {
            if (silence != null) {
                silence.cancel();
            }
            silence = wiring.loop().in(SILENCE, this::close);
        }

        @Override
        public void opened(IoSession opened) {
            session = opened;
            if (over) {
                session.closeNow();
                return;
            }
            String request = "GET " + target + " HTTP/1.1\r\nHost: " + asked.getHostString() + ":"
                + asked.getPort() + "\r\nAccept: application/json\r\n\r\n";
            wiring.transport().write(session, request.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void written(int bytes) {
            // only its answer matters
        }

        @Override
        public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
            boolean broken = false;
            try {
                http.feed(bytes);
                if (http.done()) {
                    cutter.finish();
                }
            } catch (HttpException e) {
                broken = true;
                LOG.debug("discovery: {}", e.getMessage()); // counted: a bad one may be asked without end
            }
            List<ListUpdate> updates = new ArrayList<>();
            broken |= !parse(updates);
            boolean last = broken || http.done();
            boolean bad = broken;
            return () -> take(updates, last, bad);
        }

        /** Parses what lines there are; false if one of them is no list: it and all after it are dropped. */
        private boolean parse(List<ListUpdate> updates) {
            try {
                for (byte[] line : lines) {
                    if (!new String(line, StandardCharsets.UTF_8).isBlank()) {
                        ListUpdate update = ListParser.parse(line);
                        Members.check(update);
                        updates.add(update);
                    }
                }
                return true;
            } catch (FormatException e) {
                LOG.debug("{}", e.getMessage());
                return false;
            } finally {
                lines.clear();
            }
        }

        private void take(List<ListUpdate> updates, boolean last, boolean bad) {
            if (over) {
                return;
            }
            listen();
            for (ListUpdate update : updates) {
                told = true;
                learn(update, this);
            }
            if (bad) {
                wiring.counters().add(Counters.Count.BAD_LISTS);
            }
            if (last) {
                close();
            }
        }

        @Override
        public void ended(long at) {
            close();
        }

        private void close() {
            if (over) {
                return;
            }
            over = true;
            silence.cancel();
            wiring.descriptors().release();
            if (session != null) {
                session.closeNow();
            }
            Discovery.this.ended(this);
        }
    }
}
