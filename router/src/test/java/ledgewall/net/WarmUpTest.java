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
    /** Only code that the warm-up runs is compiled early: the policy has to send attempts and receive their outcomes. */
    @Test
    void syntheticRequestsOfTheConfiguredClassesAreServed() throws IOException {
        long served = WarmUp.run(RouterConfig.read(Path.of("deploy/rehearsal.json")), ReplicaRoutingPolicy::new);
        assertTrue(served > 100, "" + served);
    }

    /** One of a hundred routers receives a hundredth of the requests: its warm-up has to cost less than that of one of two. */
    @Test
    void oneOfManyRoutersWarmsUpForItsShare() throws IOException {
        String few = Files.readString(Path.of("deploy/rehearsal.json"));
        String many = few.replaceFirst("\"peersTotal\": *\\d+", "\"peersTotal\": 100")
            .replaceFirst("\"peers\": *\\[[^]]*\\],", "");
        assertNotEquals(few, many);
        long served = WarmUp.run(RouterConfig.parse(many.getBytes(StandardCharsets.UTF_8), "many"), ReplicaRoutingPolicy::new);
        assertTrue(served > 0 && served <= 60, "" + served);
    }
}
