package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QueryBarrierTest {
    private static final Frame EMPTY_QUERY_RESPONSE = new Frame('I', Wire.emptyQueryResponse());
    private static final Frame READY = new Frame('Z', Wire.ready());

    private final QueryBarrier barrier = new QueryBarrier();

    private static Frame error(String sqlState) {
        return new Frame('E', Wire.error(sqlState));
    }

    private static Reply replyWith(Frame... frames) throws ProtocolException {
        Reply reply = new Reply();
        for (Frame frame : frames) {
            reply.accept(frame);
        }
        return reply;
    }

    private void pass(Reply earlier, Frame reply) throws ProtocolException {
        barrier.begin(earlier);
        assertFalse(barrier.isPassed());
        barrier.accept(reply);
        assertFalse(barrier.isPassed());
        barrier.accept(Wire.paramFrame("mode", "read-only"));
        barrier.accept(READY);
        assertTrue(barrier.isPassed());
    }

    @Test
    void replyToAnEmptyQueryPassesTheBarrier() throws ProtocolException {
        assertTrue(barrier.isPassed());
        pass(new Reply(), EMPTY_QUERY_RESPONSE);
        pass(replyWith(error("XX000")), EMPTY_QUERY_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(chars = {'T', 'D', 'C', 'Z', 'R', 'K'})
    void messageOfAnEarlierQueryIsRejected(char type) {
        barrier.begin(new Reply());
        assertThrows(ProtocolException.class, () -> barrier.accept(new Frame(type, Wire.message(type, new byte[1]))));
        assertFalse(barrier.isPassed());
    }

    @Test
    void secondReplyToOneEmptyQueryIsRejected() throws ProtocolException {
        barrier.begin(new Reply());
        barrier.accept(EMPTY_QUERY_RESPONSE);
        assertThrows(ProtocolException.class, () -> barrier.accept(EMPTY_QUERY_RESPONSE));
    }

    @Test
    void errorThatCouldBeACopyOfTheEarlierReplyIsRejected() throws ProtocolException {
        pass(new Reply(), error("08P01"));
        pass(replyWith(error("XX000")), error("08P01"));
        barrier.begin(replyWith(error("08P01")));
        assertThrows(ProtocolException.class, () -> barrier.accept(error("08P01")));
    }
}
