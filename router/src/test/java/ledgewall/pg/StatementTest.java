package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatementTest {
    private static final String FIELDS = "id=9b1f,c=basket,t=acme,d=480,cluster=2";

    private static Statement parse(String sql) throws Statement.MalformedException {
        return Statement.parse(Wire.query(sql));
    }

    @Test
    void readsFieldsInAnyOrderAndIgnoresUnknownOnes() throws Statement.MalformedException {
        Statement statement = parse("  /*new=7,cluster=12, after=1767225600123 ,r=1,d=5,flag,c=put,id=x*/SELECT 1");
        assertEquals("put", statement.className());
        assertEquals("", statement.tenant());
        assertEquals(5, statement.timeoutMillis());
        assertEquals(12, statement.group());
        assertEquals(1_767_225_600_123L, statement.lastWriteMillis());
        assertTrue(statement.isRetry());
        assertFalse(parse("/* " + FIELDS + " */ SELECT 1").isRetry());
        assertEquals("acme", parse("/* " + FIELDS + " */ SELECT 1").tenant());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 48, 479, 480, 12_345, 999_999_999L})
    void rewritesOnlyTheDigitsOfTheTimeout(long timeoutMillis) throws Statement.MalformedException {
        String tail = " */ INSERT INTO facts (code, data) VALUES ('it''s d=480 /* no */ ; -- x', E'a\\'b;') RETURNING data";
        String sql = "/* id=9b1f,d1=3,c=basket,t=d=4,d=480,cluster=2";
        byte[] rewritten = parse(sql + tail).withTimeout(timeoutMillis);
        assertArrayEquals(Wire.query(sql.replace("d=480", "d=" + timeoutMillis) + tail), rewritten);
    }

    @Test
    void keepsAValueOf64KiBUnchanged() throws Statement.MalformedException {
        String sql = "/* " + FIELDS + " */ INSERT INTO facts (code, data) VALUES ('k', '\\x" + "9f".repeat(65_536)
            + "') RETURNING data";
        assertArrayEquals(Wire.query(sql.replace("d=480", "d=1000")), parse(sql).withTimeout(1_000));
    }

    @Test
    void theSessionKeyIsTheFirstStringLiteral() throws Statement.MalformedException {
        String head = "/* " + FIELDS + " */ SELECT data FROM \"odd'name\" WHERE code = ";
        long key = parse(head + "'k1'").sessionKey();
        assertEquals(key, parse("/* " + FIELDS + " */ INSERT INTO f (c, d) VALUES ('k1', 'other')").sessionKey());
        assertNotEquals(key, parse(head + "'k2'").sessionKey());
        assertNotEquals(parse(head + "'a''b'").sessionKey(), parse(head + "'a'").sessionKey());
        assertTrue(key >= 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "SELECT 1", "/* id=1 SELECT 1", "/* c=a,d=1,cluster=1 */ SELECT 1", "/* id=1,d=1,cluster=1 */ SELECT 1",
        "/* id=1,c=a,cluster=1 */ SELECT 1", "/* id=1,c=a,d=1 */ SELECT 1", "/* id=1,c=a,d=,cluster=1 */ SELECT 1",
        "/* id=1,c=a,d=ten,cluster=1 */ SELECT 1", "/* id=1,c=a,d=-1,cluster=1 */ SELECT 1",
        "/* id=1,c=a,d=1,cluster=b */ SELECT 1", "/* id=1,c=a,d=1,d=2,cluster=1 */ SELECT 1",
        "/* id=1,c=a,d=1,cluster=1,after=z */ SELECT 1", "/* id=1,c=a,d=9999999999999999999,cluster=1 */ SELECT 1",
        "/* id=1,c=a,d=1,cluster=1 */ SELECT 1; SELECT 2", "/* id=1,c=a,d=1,cluster=1 */ SELECT 'open",
        "/* id=1,c=a,d=1,cluster=1 */ SELECT E'\\'; SELECT 2", "/* id=1 2,c=a,d=1,cluster=1 */ SELECT 1",
        "/* id=1\u0001,c=a,d=1,cluster=1 */ SELECT 1", "/* id=1,c=a,t=\u00e9,d=1,cluster=1 */ SELECT 1",
        "/* id=1,c=a,d=1,cluster=1 */ SELECT \u0000 1", "/* id=1,c=a,d=1,cluster=1 */ SELECT 'a\u0000b'",
        "/* id=11111111111111111111111111111111111111111111111111111111111111111,c=a,d=1,cluster=1 */ SELECT 1"})
    void rejectsMalformedStatements(String sql) {
        assertThrows(Statement.MalformedException.class, () -> parse(sql));
    }

    @Test
    void acceptsOneStatementFollowedByASemicolonAndComments() throws Statement.MalformedException {
        assertEquals(480, parse("/* " + FIELDS + " */ SELECT ';' ; -- ; end\n /* ; */ ").timeoutMillis());
    }

    /** Guards against memory that grows with the number of a comment's fields, beyond its bytes. */
    @Test
    void takesNoMoreMemoryForManyShortFieldsThanForFewLongOnes() throws Statement.MalformedException {
        String fields = manyFields();
        long many = retainedBytes("/* " + fields + " */ SELECT 1");
        long few = retainedBytes("/* " + FIELDS + ",f=" + "x".repeat(fields.length() - FIELDS.length() - 3) + " */ SELECT 1");
        assertTrue(many < 1.5 * few, many + " bytes, not " + few);
    }

    private static String manyFields() {
        StringBuilder fields = new StringBuilder(FIELDS);
        for (int i = 0; fields.length() < 1_900; i++) {
            fields.append(",f").append(Integer.toString(i, Character.MAX_RADIX)).append('=');
        }
        return fields.toString();
    }

    /** Guards against garbage for each field that a client invents: a crowd of such requests occupies the I/O thread. */
    @Test
    void allocatesNothingForFieldsThatRoutingDoesNotNeed() throws Statement.MalformedException {
        byte[] few = Wire.query("/* " + FIELDS + " */ SELECT 1");
        byte[] many = Wire.query("/* " + manyFields() + " */ SELECT 1");
        allocatedBytes(few); // loads what parsing needs
        allocatedBytes(many);
        assertEquals(allocatedBytes(few), allocatedBytes(many));
    }

    private static long allocatedBytes(byte[] query) throws Statement.MalformedException {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        long before = threads.getThreadAllocatedBytes(thread);
        Statement.parse(query);
        return threads.getThreadAllocatedBytes(thread) - before;
    }

    private static long retainedBytes(String sql) throws Statement.MalformedException {
        Statement[] statements = new Statement[1_000];
        long before = usedMemory();
        for (int i = 0; i < statements.length; i++) {
            statements[i] = parse(sql);
        }
        long retained = usedMemory() - before;
        assertEquals("basket", statements[statements.length - 1].className());
        return retained;
    }

    private static long usedMemory() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Test
    void recognizesEmptyQueries() throws ProtocolException {
        for (String sql : new String[] {"", " ", ";", " ; ;\n"}) {
            byte[] bytes = Wire.query(sql);
            assertEquals(new ClientMessage.EmptyQuery(), ClientMessage.parse(new Frame('Q', bytes)), sql);
        }
    }
}
