package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Test;

class QueuedReadsTest {
    @Test
    void readingIsSuspendedWhileTooManyReadsWaitForTheEventLoop() {
        IoSession session = new DummySession();
        QueuedReads queuedReads = new QueuedReads();
        AtomicInteger processed = new AtomicInteger();
        List<Runnable> tasks = new ArrayList<>();
        for (int i = 0; i < QueuedReads.MAX_QUEUED_READS; i++) {
            assertFalse(session.isReadSuspended());
            tasks.add(queuedReads.queue(session, processed::incrementAndGet));
        }
        assertTrue(session.isReadSuspended());
        tasks.forEach(Runnable::run);
        assertFalse(session.isReadSuspended());
        assertEquals(tasks.size(), processed.get());
    }
}
