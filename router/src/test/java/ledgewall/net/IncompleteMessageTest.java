package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IncompleteMessageTest {
    private static final long TIMEOUT = 100;
    private final IncompleteMessage message = new IncompleteMessage();

    @Test
    void restIsOwedSinceTheMessageBegan() {
        assertFalse(message.isOverdue(TIMEOUT, TIMEOUT));
        message.update(3, true, 10);
        message.update(7, false, 60);
        assertFalse(message.isOverdue(109, TIMEOUT));
        assertTrue(message.isOverdue(110, TIMEOUT));
        message.update(2, true, 111);
        assertFalse(message.isOverdue(210, TIMEOUT));
        message.update(0, true, 150);
        assertFalse(message.isOverdue(1_000, TIMEOUT));
    }

    @Test
    void timeInWhichTheRouterDoesNotReadDoesNotCount() {
        message.update(3, true, 0);
        message.pause(60);
        message.pause(70);
        assertFalse(message.isOverdue(5_000, TIMEOUT));
        message.resume(5_000);
        message.resume(5_001);
        assertFalse(message.isOverdue(5_039, TIMEOUT));
        assertTrue(message.isOverdue(5_040, TIMEOUT));
    }
}
