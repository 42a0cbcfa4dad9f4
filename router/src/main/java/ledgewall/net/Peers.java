package ledgewall.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.RoutingPolicy;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/** Sends and receives datagrams between the routers of a deployment. */
final class Peers {
    /** The largest datagram that routers may exchange. */
    private static final int MAX_DATAGRAM_BYTES = 256;
    /**
     * Datagrams that may wait for the event loop; those beyond are dropped, as on the network. Many more than a hundred routers
     * send while a turn lasts.
     */
    private static final int MAX_QUEUED_DATAGRAMS = 256;
    /** Larger than a valid datagram, so that one that is too long can be recognised. */
    private static final int READ_BUFFER_BYTES = 512;

    private final RouterContext context;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress allPeersAddress;
    private final InetSocketAddress listenAddress;
    private final Map<SocketAddress, Integer> peerIndexes = new HashMap<>();
    private final AtomicInteger queuedDatagrams = new AtomicInteger();
    private NioDatagramAcceptor acceptor;

    Peers(RouterContext context, RouterConfig config) {
        this.context = context;
        this.peers = config.peers();
        this.allPeersAddress = config.allPeersAddress();
        this.listenAddress = config.peerListen();
        for (InetSocketAddress peer : peers) {
            peerIndexes.put(peer, peerIndexes.size());
        }
    }

    void open() throws IOException {
        acceptor = new NioDatagramAcceptor();
        acceptor.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        acceptor.getSessionConfig().setReuseAddress(true);
        acceptor.setHandler(new Handler());
        acceptor.bind(listenAddress);
    }

    /** The local address on which datagrams are received. */
    InetSocketAddress boundAddress() {
        return acceptor.getLocalAddress();
    }

    /** Sends a datagram to the router with the given index in the list of peers, or to all routers. */
    void send(RoutingPolicy.SendToPeer message) {
        InetSocketAddress destination = message.peer() == RoutingPolicy.NONE ? allPeersAddress
            : message.peer() >= 0 && message.peer() < peers.size() ? peers.get((int) message.peer()) : null;
        if (acceptor == null || destination == null || message.content().length > MAX_DATAGRAM_BYTES) {
            context.counters().add(Counters.Count.BAD_PEER_MESSAGES);
            return;
        }
        context.counters().add(Counters.Count.PEER_MESSAGES_OUT);
        acceptor.newSession(destination, acceptor.getLocalAddress()).write(IoBuffer.wrap(message.content()));
    }

    void close() {
        if (acceptor != null) {
            acceptor.dispose(false);
        }
    }

    /** The number of remote addresses for which the transport keeps state. */
    int sessionCount() {
        return acceptor == null ? 0 : acceptor.getManagedSessionCount();
    }

    private void receive(int peerIndex, byte[] content) {
        queuedDatagrams.decrementAndGet();
        context.loop().postEvent(new RoutingPolicy.PeerMessage(peerIndex, content));
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer buffer = (IoBuffer) message;
            Integer peerIndex = peerIndexes.get(session.getRemoteAddress());
            if (peerIndex == null) {
                session.closeNow(); // a stranger may use thousands of ports, each of which would have a session for a minute
            }
            if (peerIndex == null || buffer.remaining() > MAX_DATAGRAM_BYTES) {
                context.counters().add(Counters.Count.BAD_PEER_MESSAGES);
                return;
            }
            if (queuedDatagrams.get() >= MAX_QUEUED_DATAGRAMS) {
                context.counters().add(Counters.Count.PEER_MESSAGES_DROPPED);
                return;
            }
            queuedDatagrams.incrementAndGet(); // after the check, as only this thread adds
            context.counters().add(Counters.Count.PEER_MESSAGES_IN);
            byte[] content = new byte[buffer.remaining()];
            buffer.get(content);
            context.loop().post(() -> receive(peerIndex, content));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // a datagram that cannot be sent is treated like one lost on the network
        }
    }
}
