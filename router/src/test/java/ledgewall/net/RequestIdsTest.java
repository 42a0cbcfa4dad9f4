package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ledgewall.net.RequestIds.Reservation;
import org.junit.jupiter.api.Test;

/** No id of a request that must not run twice is accepted again, whatever else comes meanwhile. */
class RequestIdsTest {
    private static final long SECOND = 1_000 * RouterHarness.MS;

    private final RequestIds ids = new RequestIds();
    private final RequestIds.Share share = new RequestIds.Share();

    private Reservation write(String id, long deadline, RequestIds.Share owner, long now) {
        return ids.reserve(id, false, deadline, owner, now);
    }

    private void fillWithWrites(long deadline, long now) {
        for (int i = 0; ids.size() < RequestIds.MAX_IDS; i++) {
            write("other" + i, deadline, new RequestIds.Share(), now);
        }
    }

    @Test
    void heldIdIsInUseWhateverComesBesideIt() {
        assertEquals(Reservation.RESERVED, write("w", 5 * SECOND, share, 0));
        for (int i = 0; i < 2 * RequestIds.MAX_IDS; i++) {
            ids.reserve("read" + i, true, 5 * SECOND, share, 0);
        }
        fillWithWrites(5 * SECOND, 0);
        assertEquals(Reservation.IN_USE, write("w", 6 * SECOND, share, SECOND));
    }

    @Test
    void requestIsRefusedWhileTheTableIsFullOfHeldIds() {
        fillWithWrites(5 * SECOND, 0);
        assertEquals(Reservation.NO_CAPACITY, write("w", 5 * SECOND, share, SECOND));
        assertEquals(Reservation.RESERVED, write("w", 11 * SECOND, share, 6 * SECOND));
        assertEquals(RequestIds.MAX_IDS, ids.size());
    }

    @Test
    void idIsRememberedAfterItsDeadline() {
        write("w", SECOND, share, 0);
        long end = SECOND + RequestIds.RETENTION_NANOS;
        assertEquals(Reservation.IN_USE, write("w", end + SECOND, share, end - 1));
        assertEquals(Reservation.RESERVED, write("w", end + SECOND, share, end));
    }

    @Test
    void releasedIdMayComeAgain() {
        write("w", SECOND, share, 0);
        ids.release("w");
        assertEquals(0, ids.size());
        assertEquals(Reservation.RESERVED, write("w", SECOND, share, 0));
        ids.expire(2 * SECOND);
        ids.release("w");
        assertEquals(0, ids.size());
    }

    @Test
    void connectionTakesNoMoreThanItsShare() {
        for (int i = 0; i < RequestIds.MAX_HELD_BY_CONNECTION; i++) {
            assertEquals(Reservation.RESERVED, write("own" + i, 5 * SECOND, share, 0));
        }
        assertEquals(Reservation.NO_CAPACITY, write("more", 5 * SECOND, share, SECOND));
        assertEquals(Reservation.RESERVED, write("other", 5 * SECOND, new RequestIds.Share(), SECOND));
        assertEquals(Reservation.RESERVED, write("later", 11 * SECOND, share, 5 * SECOND));
    }

    @Test
    void inventedDeadlineHoldsAnIdForABoundedTime() {
        fillWithWrites(Long.MAX_VALUE, 0);
        assertEquals(Reservation.RESERVED, write("w", 70 * SECOND, share, RequestIds.MAX_HOLD_NANOS));
    }

    @Test
    void idsOfRepeatableRequestsEndWithTheirDeadline() {
        ids.reserve("r", true, SECOND, share, 0);
        assertEquals(Reservation.IN_USE, ids.reserve("r", true, SECOND, share, SECOND - 1));
        ids.expire(SECOND);
        assertEquals(0, ids.size());
    }
}
