package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import ledgewall.pg.Statement;
import ledgewall.standin.Wire;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A connection that is to give way while a read of it is on its way from the I/O thread to the loop: its client was told by
 * the kernel that the router has its request, so the request is owed an answer.
 */
class GivingWayTest {
    private final Clock clock = Clock.ofSystem();
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(clock, counters);
    private final Transport transport = new Transport(clock, loop, counters, 100);
    private final Wiring wiring = new Wiring(clock, loop, transport, new DescriptorBudget(100), counters, new BufferedBytes(),
        new IdleConnections(counters, 100, 0), 0);
    private final List<ClientConnection.Slot> taken = new ArrayList<>();
    private final IoSession session = new DummySession();
    private boolean left;
    private final ClientConnection connection = new ClientConnection(wiring, new ClientConnection.Owner() {
        @Override
        public void refuse(ClientConnection.Slot slot) {
            throw new AssertionError("there is room");
        }

        @Override
        public ClientConnection.Admission admit(ClientConnection client) {
            return ClientConnection.Admission.SERVED;
        }

        @Override
        public ClientRequest take(Statement statement, ClientConnection.Slot slot, long at, ClientConnection.Client from) {
            taken.add(slot);
            return new ClientRequest(1, statement, at, slot);
        }

        @Override
        public boolean takesPlain() {
            return false;
        }

        @Override
        public void lapsed(ClientRequest request) {
            throw new AssertionError("its client is still there");
        }

        @Override
        public void left(ClientConnection client) {
            left = true;
        }

        @Override
        public void asked(ClientConnection client) {
            // not of interest here
        }

        @Override
        public void idle(ClientConnection client) {
            // not of interest here
        }
    });

    @BeforeEach
    void welcome() {
        connection.opened(session);
        read(Wire.startup("user", "u")).run();
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private Runnable read(byte[] bytes) {
        return connection.receive(ByteBuffer.wrap(bytes), clock.now(), session);
    }

    @Test
    void aRequestThatWasReadIsAnsweredBeforeItsConnectionGivesWay() {
        Runnable read = read(RouterHarness.lookQuery("1"));
        connection.closeUnlessAnswering();
        assertFalse(left);
        read.run();
        assertEquals(1, taken.size());
        assertFalse(left);
        taken.get(0).fill(Wire.row(new byte[] {1}));
        assertTrue(left);
    }

    @Test
    void aDrainTakesWhatWasReadBeforeItToo() {
        Runnable first = read(RouterHarness.lookQuery("1"));
        Runnable second = read(RouterHarness.lookQuery("2"));
        connection.closeAfterAnswers();
        first.run();
        taken.get(0).fill(Wire.row(new byte[] {1}));
        assertFalse(left);
        second.run();
        assertEquals(2, taken.size());
        taken.get(1).fill(Wire.row(new byte[] {2}));
        assertTrue(left);
    }

    @Test
    void aReadThatBringsNoCommandEndsItAllTheSame() {
        Runnable read = read(new byte[] {'Q'});
        connection.closeUnlessAnswering();
        assertFalse(left);
        read.run();
        assertTrue(left);
    }

    @Test
    void whatIsUnusedGivesWayAtOnce() {
        connection.closeUnlessAnswering();
        assertTrue(left);
    }
}
