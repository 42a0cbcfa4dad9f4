package ledgewall.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Schema;
import ledgewall.rules.Decision;
import ledgewall.rules.Rule;
import ledgewall.rules.RuleException;
import ledgewall.rules.RuleTable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to find the matching rule for a request as the number of indexable rules grows. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
public class RuleTableBenchmark {
    private static final int FRAMES = 256;

    @Param({"10", "100", "1000", "10000"})
    private int rules; // number of rules in the table

    private RuleTable table;
    private final Frame[] frames = new Frame[FRAMES];
    private final Decision decision = new Decision();
    private int nextFrame;

    @Setup
    public void setUp() throws RuleException {
        Schema schema = Schema.ofRequests();
        List<Rule> ruleList = new ArrayList<>();
        for (int i = 0; i < rules; i++) {
            String match = switch (i % 3) {
                case 0 -> "user == 'u" + i + "' && sql.keyword == 'SELECT'";
                case 1 -> "user in ['u" + i + "', 'v" + i + "'] && size(sql.tables) > 0";
                default -> "path.startsWith('/v1/lots/" + i + "/') && user.startsWith('u')";
            };
            ruleList.add(new Rule("r" + i, match, "c", Map.of(), null, null));
        }
        table = RuleTable.of(schema, Limits.DEFAULT, Map.of(), ruleList, Set.of("c"));
        for (int i = 0; i < FRAMES; i++) {
            // Knuth's multiplicative hash spreads the requests over the rules
            int ruleNumber = (int) (i * 2_654_435_761L % rules);
            Frame frame = new Frame(schema);
            frame.set(schema.attribute("user"), "u" + ruleNumber);
            frame.set(schema.attribute("path"), "/v1/lots/" + ruleNumber + "/bays");
            frame.set(schema.attribute("sql.keyword"), "SELECT");
            frame.set(schema.attribute("sql.tables"), List.of("bays"));
            frames[i] = frame;
        }
    }

    @Benchmark
    public boolean decide() {
        table.decide(frames[nextFrame++ % FRAMES], decision);
        return decision.matched();
    }
}
