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

/** Datagrams between the routers of a tier. */
final class Peers {
    /** The longest datagram that routers may send. */
    private static final int LONGEST = 256;
    /** Room to see that a datagram is too long. */
    private static final int READ_BUFFER = 512;

    private final RouterContext wiring;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress everyone;
    private final InetSocketAddress listen;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private NioDatagramAcceptor socket;

    Peers(RouterContext wiring, RouterConfig config) {
        this.wiring = wiring;
        this.peers = config.peers();
        this.everyone = config.peersAll();
        this.listen = config.peerListen();
        for (InetSocketAddress peer : peers) {
            numbers.put(peer, numbers.size());
        }
    }

    void open() throws IOException {
        socket = new NioDatagramAcceptor();
        socket.getSessionConfig().setReadBufferSize(READ_BUFFER);
        socket.getSessionConfig().setReuseAddress(true);
        socket.setHandler(new Handler());
        socket.bind(listen);
    }

    /** Where datagrams arrive. */
    InetSocketAddress listening() {
        return socket.getLocalAddress();
    }

    /** Sends to one router by its number, or to all. */
    void tell(RoutingPolicy.Tell tell) {
        InetSocketAddress to = tell.router() == RoutingPolicy.NONE ? everyone
            : tell.router() >= 0 && tell.router() < peers.size() ? peers.get((int) tell.router()) : null;
        if (socket == null || to == null || tell.content().length > LONGEST) {
            wiring.counters().add(Counters.Count.BAD_PEER_MESSAGES);
            return;
        }
        wiring.counters().add(Counters.Count.PEER_MESSAGES_OUT);
        socket.newSession(to, socket.getLocalAddress()).write(IoBuffer.wrap(tell.content()));
    }

    void close() {
        if (socket != null) {
            socket.dispose(false);
        }
    }

    private void received(SocketAddress from, byte[] content) {
        Integer number = numbers.get(from);
        if (number == null || content.length > LONGEST) {
            wiring.counters().add(Counters.Count.BAD_PEER_MESSAGES);
            return;
        }
        wiring.counters().add(Counters.Count.PEER_MESSAGES_IN);
        wiring.loop().postEvent(new RoutingPolicy.PeerMessage(number, content));
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer buffer = (IoBuffer) message;
            byte[] content = new byte[buffer.remaining()];
            buffer.get(content);
            SocketAddress from = session.getRemoteAddress();
            wiring.loop().post(() -> received(from, content));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // a datagram that cannot be sent is one that is lost
        }
    }
}
