package ledgewall.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ledgewall.RoutingPolicy;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/** Sends and receives datagrams between the routers of a deployment. */
final class Peers {
    /** The largest datagram that routers may exchange. */
    private static final int MAX_DATAGRAM_BYTES = 256;
    /** Larger than a valid datagram, so that one that is too long can be recognised. */
    private static final int READ_BUFFER_BYTES = 512;

    private final RouterContext context;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress allPeersAddress;
    private final InetSocketAddress listenAddress;
    private final Map<SocketAddress, Integer> peerIndexes = new HashMap<>();
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

    private void receive(SocketAddress from, byte[] content) {
        Integer peerIndex = peerIndexes.get(from);
        if (peerIndex == null || content.length > MAX_DATAGRAM_BYTES) {
            context.counters().add(Counters.Count.BAD_PEER_MESSAGES);
            return;
        }
        context.counters().add(Counters.Count.PEER_MESSAGES_IN);
        context.loop().postEvent(new RoutingPolicy.PeerMessage(peerIndex, content));
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer buffer = (IoBuffer) message;
            byte[] content = new byte[buffer.remaining()];
            buffer.get(content);
            SocketAddress from = session.getRemoteAddress();
            context.loop().post(() -> receive(from, content));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // a datagram that cannot be sent is treated like one lost on the network
        }
    }
}
