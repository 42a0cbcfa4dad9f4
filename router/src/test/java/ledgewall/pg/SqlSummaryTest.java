package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SqlSummaryTest {
    @ParameterizedTest
    @CsvSource(delimiterString = " ~ ", quoteCharacter = '`', value = {
        "select * from bays ~ SELECT ~ bays ~ false", "SELECT 'DELETE' FROM \"Bays\" ~ SELECT ~ Bays ~ false",
        "/* a /* nested */ DELETE */ SELECT 1 -- UPDATE x ~ SELECT ~ - ~ false",
        "INSERT INTO public.bookings (a) SELECT a FROM ONLY trips ~ INSERT ~ bookings,trips ~ true",
        "WITH t AS (DELETE FROM bays RETURNING id) SELECT * FROM t ~ WITH ~ bays,t ~ true",
        "SELECT * FROM bays FOR UPDATE ~ SELECT ~ bays ~ true", "SELECT * FROM bays FOR NO KEY UPDATE ~ SELECT ~ bays ~ true",
        "SELECT * FROM bays FOR SHARE ~ SELECT ~ bays ~ true", "SELECT * FROM bays FOR KEY SHARE ~ SELECT ~ bays ~ true",
        "SELECT a INTO copies FROM bays ~ SELECT ~ copies,bays ~ true", "SELECT $$ DELETE ' $$ FROM bays ~ SELECT ~ bays ~ false",
        "SELECT $a$ $$ $b$ ; DELETE $a$ ~ SELECT ~ - ~ false", "SELECT E'\\'; DELETE' FROM bays ~ SELECT ~ bays ~ false",
        "SELECT 'it''s' FROM a, b JOIN c ON a.x = c.x WHERE a.share = $1 ~ SELECT ~ a,c ~ false",
        "SELECT t.update, t.delete FROM t ~ SELECT ~ t ~ false",
        "SELECT * FROM (SELECT 1 FROM inner_one) x ~ SELECT ~ inner_one ~ false",
        "UPDATE ONLY bays SET free = true ~ UPDATE ~ bays ~ true", "TABLE bays ~ TABLE ~ bays ~ false",
        "CALL book(7) ~ CALL ~ - ~ true"})
    void derivesKeywordTablesAndWrites(String sql, String keyword, String tables, boolean writes) {
        SqlSummary summary = SqlSummary.ofText(sql);
        assertEquals(keyword, summary.keyword());
        assertEquals(tables.equals("-") ? "" : tables, String.join(",", summary.tables()));
        assertEquals(writes, summary.writes(), sql);
    }

    /** Quotes, comments and escapes that hide a second statement from a simpler scanner must not make the text acceptable. */
    @ParameterizedTest
    @ValueSource(strings = {"SELECT 1; DELETE FROM bays", "SELECT $$'$$; DELETE FROM bays; SELECT $$'$$", "SELECT 'a",
        "SELECT \"a",
        "SELECT /* /* */ 1", "SELECT $x$ abc $y$", "SELECT 1\0", "SELECT '\\'; DELETE FROM bays --'"})
    void rejectsTextThatIsNotExactlyOneStatement(String sql) {
        assertNull(SqlSummary.ofText(sql));
    }

    @ParameterizedTest
    @ValueSource(strings = {"BEGIN", "begin;", "SET search_path = x", "PREPARE p AS SELECT 1", "LISTEN a", "COPY t FROM stdin",
        "DECLARE c CURSOR FOR SELECT 1", "-- x\nROLLBACK"})
    void detectsStatementsThatNeedASession(String sql) {
        assertTrue(SqlSummary.ofText(sql).needsSession(), sql);
    }

    @Test
    void randomTextCausesNoUnexpectedException() {
        SplittableRandom random = new SplittableRandom(5);
        String alphabet = "'\"$/*-;aE.( \\\n1\0é";
        int accepted = 0;
        for (int i = 0; i < 50_000; i++) {
            StringBuilder sql = new StringBuilder("SELECT ");
            for (int j = random.nextInt(20); j > 0; j--) {
                sql.append(alphabet.charAt(random.nextInt(alphabet.length())));
            }
            SqlSummary summary = SqlSummary.ofText(sql.toString());
            if (summary != null) {
                accepted++;
                assertNotNull(summary.keyword());
            }
        }
        assertTrue(accepted > 1_000);
    }
}
