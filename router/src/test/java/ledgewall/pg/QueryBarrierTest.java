package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
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

    private void pass(Frame reply) throws ProtocolException {
        barrier.begin();
        assertFalse(barrier.isPassed());
        barrier.accept(reply);
        assertFalse(barrier.isPassed());
        barrier.accept(Wire.paramFrame("mode", "read-only"));
        barrier.accept(READY);
        assertTrue(barrier.isPassed());
    }

    @Test
    void replyToAnEmptyQueryPassesTheBarrier() throws ProtocolException {
        pass(EMPTY_QUERY_RESPONSE);
        pass(EMPTY_QUERY_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(chars = {'T', 'D', 'C', 'Z', 'R', 'K'})
    void messageOfAnEarlierQueryIsRejected(char type) {
        barrier.begin();
        assertThrows(ProtocolException.class, () -> barrier.accept(new Frame(type, Wire.message(type, new byte[1]))));
        assertFalse(barrier.isPassed());
    }

    @Test
    void secondReplyToOneEmptyQueryIsRejected() throws ProtocolException {
        barrier.begin();
        barrier.accept(EMPTY_QUERY_RESPONSE);
        assertThrows(ProtocolException.class, () -> barrier.accept(EMPTY_QUERY_RESPONSE));
    }

    @Test
    void errorIsRejectedAfterEmptyQueryResponsesAndTheOtherWayRound() throws ProtocolException {
        pass(EMPTY_QUERY_RESPONSE);
        barrier.begin();
        assertThrows(ProtocolException.class, () -> barrier.accept(error("08P01")));
        QueryBarrier rejecting = new QueryBarrier();
        rejecting.begin();
        assertDoesNotThrow(() -> rejecting.accept(error("08P01")));
        rejecting.accept(READY);
        rejecting.begin();
        assertThrows(ProtocolException.class, () -> rejecting.accept(error("XX000")));
    }

    @Test
    void onlyAnErrorLikeTheHostsReplyToEmptyQueriesResemblesIt() throws ProtocolException {
        Reply rejected = new Reply();
        rejected.accept(error("08P01"));
        Reply failed = new Reply();
        failed.accept(error("XX000"));
        assertFalse(barrier.resembles(rejected));
        pass(error("08P01"));
        assertTrue(barrier.resembles(rejected));
        assertFalse(barrier.resembles(failed));
        assertFalse(barrier.resembles(new Reply()));
    }
}
