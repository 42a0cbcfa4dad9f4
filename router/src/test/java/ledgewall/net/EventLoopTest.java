package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EventLoopTest {
    private final Counters counters = new Counters();
    private final EventLoop loop = new EventLoop(Clock.ofSystem(), counters);

    @BeforeEach
    void start() {
        loop.setPolicy((now, events) -> List.of(), action -> { });
        Thread thread = new Thread(loop, "loop");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
        loop.post(() -> { });
    }

    /** Guards against a process that lives on without its event loop, so that nobody gets an answer. */
    @Test
    void loopGoesOnAfterATaskThatRunsOutOfMemory() throws InterruptedException {
        CountDownLatch later = new CountDownLatch(1);
        loop.post(() -> {
            throw new OutOfMemoryError("thrown by the test");
        });
        loop.post(later::countDown);
        assertTrue(later.await(20, TimeUnit.SECONDS));
        assertEquals(1, counters.of(Counters.Count.FAILED_TASKS));
    }
}
