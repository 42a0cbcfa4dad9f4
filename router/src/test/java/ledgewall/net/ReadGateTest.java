package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReadGateTest {
    private final ReadGate gate = new ReadGate();

    @Test
    void closedGateReadsNothing() throws Exception {
        assertTrue(gate.closeIf(() -> true));
        assertEquals(0, gate.read(() -> {
            throw new AssertionError("read after the close");
        }));
    }

    @Test
    void gateStaysOpenWhileAReadIsDeliveredOrNotProcessed() throws Exception {
        assertEquals(5, gate.read(() -> 5));
        assertFalse(gate.closeIf(() -> true));
        gate.delivered();
        assertFalse(gate.closeIf(() -> false));
        assertEquals(7, gate.read(() -> 7));
        gate.delivered();
        assertTrue(gate.closeIf(() -> true));
    }

    @Test
    void endOfStreamIsNoRead() throws Exception {
        assertEquals(-1, gate.read(() -> -1));
        assertTrue(gate.closeIf(() -> true));
    }
}
