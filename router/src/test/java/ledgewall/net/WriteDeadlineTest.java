package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a query that the I/O thread writes, or finishes, after the latest time that the policy has given. */
class WriteDeadlineTest {
    private final WriteDeadline deadline = new WriteDeadline();

    @Test
    void writesArePermittedUntilTheDeadline() {
        assertTrue(deadline.permitsWrite(Long.MAX_VALUE));
        deadline.set(100);
        assertTrue(deadline.permitsWrite(100));
        assertFalse(deadline.isMissed());
        assertFalse(deadline.permitsWrite(101));
        assertTrue(deadline.isMissed());
    }

    @Test
    void missedWriteEndsTheConnectionForGood() {
        deadline.expire();
        assertFalse(deadline.permitsWrite(0));
        deadline.clear();
        assertFalse(deadline.permitsWrite(0));
    }

    @Test
    void laterWritesWithoutADeadlineArePermitted() {
        deadline.set(100);
        assertTrue(deadline.permitsWrite(50));
        deadline.clear();
        assertTrue(deadline.permitsWrite(200));
    }
}
