package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import ledgewall.Brain;
import org.junit.jupiter.api.Test;

class RehearsalTest {
    /** What is never asked for is never compiled: the policy has to send, and to hear of answers. */
    @Test
    void madeUpRequestsAreServedThroughTheSettingsOwnClasses() throws IOException {
        long served = Rehearsal.run(RouterConfig.read(Path.of("deploy/rehearsal.json")), Brain::new);
        assertTrue(served > 100, "" + served);
    }
}
