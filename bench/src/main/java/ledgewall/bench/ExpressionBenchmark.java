package ledgewall.bench;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ledgewall.expression.ExpressionEnvironment;
import ledgewall.expression.ExpressionException;
import ledgewall.expression.Frame;
import ledgewall.expression.Limits;
import ledgewall.expression.Program;
import ledgewall.expression.Schema;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Evaluates the same condition as compiled code, with the tree interpreter, and as handwritten Java. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(3)
public class ExpressionBenchmark {
    private static final String CONDITION = "sql.keyword in ['INSERT', 'UPDATE', 'DELETE'] && user.startsWith('kiosk-')"
        + " && headers['x-lot'] == 'A' && !path.endsWith('.css')";
    private static final Set<String> WRITE_KEYWORDS = Set.of("INSERT", "UPDATE", "DELETE");

    private Program program;
    private Frame frame;
    private String sqlKeyword;
    private String user;
    private String path;
    private Map<String, String> headers;

    @Setup
    public void setUp() throws ExpressionException {
        Schema schema = Schema.ofRequests();
        program = new ExpressionEnvironment(schema, Limits.DEFAULT).compile(CONDITION);
        sqlKeyword = "UPDATE";
        user = "kiosk-4711";
        path = "/v1/lots/songshan/bays";
        headers = Map.of("x-lot", "A", "accept", "text/plain", "host", "lots");
        frame = new Frame(schema);
        frame.set(schema.attribute("sql.keyword"), sqlKeyword);
        frame.set(schema.attribute("user"), user);
        frame.set(schema.attribute("path"), path);
        frame.set(schema.attribute("headers"), headers);
        frame.set(schema.attribute("sql.tables"), List.of("bays"));
    }

    @Benchmark
    public boolean compiled() {
        return program.matches(frame);
    }

    @Benchmark
    public Object interpreted() {
        return program.evaluateAndCount(frame);
    }

    @Benchmark
    public boolean java() {
        return WRITE_KEYWORDS.contains(sqlKeyword) && user.startsWith("kiosk-") && "A".equals(headers.get("x-lot"))
            && !path.endsWith(".css");
    }
}
