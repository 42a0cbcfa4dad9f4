package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import ledgewall.ReplicaRoutingPolicy;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    /** What is never asked for is never compiled: the policy has to send, and to hear of answers. */
    @Test
    void madeUpRequestsAreServedThroughTheSettingsOwnClasses() throws IOException {
        long served = WarmUp.run(RouterConfig.read(Path.of("deploy/rehearsal.json")), ReplicaRoutingPolicy::new);
        assertTrue(served > 100, "" + served);
    }

    /** Of a hundred routers each gets a hundredth of the requests: a start must not cost as much as that of one of two. */
    @Test
    void oneOfManyRoutersRehearsesItsShare() throws IOException {
        String few = Files.readString(Path.of("deploy/rehearsal.json"));
        String many = few.replaceFirst("\"peersTotal\": *\\d+", "\"peersTotal\": 100")
            .replaceFirst("\"peers\": *\\[[^]]*\\],", "");
        assertNotEquals(few, many);
        long served = WarmUp.run(RouterConfig.parse(many.getBytes(StandardCharsets.UTF_8), "many"), ReplicaRoutingPolicy::new);
        assertTrue(served > 0 && served <= 60, "" + served);
    }
}
