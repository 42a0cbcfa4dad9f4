package ledgewall.pg;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * What a statement without our comment says about itself, by PostgreSQL's lexical structure (its manual, section 4.1): its
 * first word, the tables that it names, whether any word of it changes data. It reads words, not grammar: what is said to
 * write may not, what is said not to write changes data only through functions.
 *
 * @param keyword the first word, in capitals
 * @param tables names behind FROM, JOIN, INTO, UPDATE and TABLE, in lower case, without quotes or schema
 * @param writes whether a word that changes data or locks rows stands outside quotes
 * @param needsSession whether its effect lasts beyond it on its connection, which this router gives to others
 * @param key the first quoted value, or null
 */
public record SqlSummary(String keyword, List<String> tables, boolean writes, boolean needsSession, String key) {
    private static final int MOST_TABLES = 16;
    private static final int LONGEST_NAME = 128;
    private static final Set<String> WRITING = Set.of("INSERT", "UPDATE", "DELETE", "MERGE", "TRUNCATE", "CREATE", "ALTER",
        "DROP", "GRANT", "REVOKE", "CALL", "DO", "VACUUM", "REINDEX", "CLUSTER", "REFRESH", "COMMENT", "IMPORT", "SECURITY");
    private static final Set<String> SESSION = Set.of("BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT",
        "RELEASE", "SET", "RESET", "DISCARD", "PREPARE", "EXECUTE", "DEALLOCATE", "DECLARE", "FETCH", "MOVE", "CLOSE", "LISTEN",
        "UNLISTEN", "NOTIFY", "LOCK", "COPY", "LOAD", "CHECKPOINT");
    private static final Set<String> BEFORE_TABLE = Set.of("FROM", "JOIN", "INTO", "UPDATE", "TABLE", "USING");
    private static final Set<String> NO_TABLE = Set.of("SELECT", "ONLY", "LATERAL", "SET", "UNNEST", "VALUES", "EXISTS", "IF",
        "OF", "NOWAIT", "SKIP");

    static SqlSummary of(byte[] bytes, int start, int end) throws Statement.Malformed {
        return new Scanner(bytes, start, end).scan();
    }

    /** Of a statement's text; null if it is no one statement. */
    public static SqlSummary ofText(String sql) {
        byte[] bytes = sql.getBytes(StandardCharsets.UTF_8);
        try {
            return of(bytes, 0, bytes.length);
        } catch (Statement.Malformed e) {
            return null;
        }
    }

    /** One pass over the bytes; what stands in quotes or comments is no word. */
    private static final class Scanner {
        private final byte[] bytes;
        private final int end;
        private int at;
        private String first;
        private String previous = "";
        private boolean tableNext;
        private boolean writes;
        private boolean ended;
        private String key;
        private final Set<String> tables = new LinkedHashSet<>();

        private Scanner(byte[] bytes, int start, int end) {
            this.bytes = bytes;
            this.at = start;
            this.end = end;
        }

        private SqlSummary scan() throws Statement.Malformed {
            while (at < end) {
                if (!skipBlank()) {
                    token();
                }
            }
            String keyword = first == null ? "" : first;
            return new SqlSummary(keyword, List.copyOf(tables), writes, SESSION.contains(keyword), key);
        }

        private void token() throws Statement.Malformed {
            byte b = bytes[at];
            if (b == 0) {
                throw new Statement.Malformed("a zero byte within a query");
            }
            if (b == ';') {
                ended = true;
                at++;
                return;
            }
            if (ended) {
                throw new Statement.Malformed("a query holds more than one statement");
            }
            if (b == '\'') {
                quoted(false);
            } else if (b == '"') {
                name(identifier());
            } else if (b == '$' && dollar()) {
                tableNext = false;
            } else if (isLetter(b)) {
                word();
            } else {
                tableNext &= b == '(' || b == '.';
                at++;
            }
        }

        private void word() throws Statement.Malformed {
            int start = at;
            while (at < end && (isLetter(bytes[at]) || bytes[at] >= '0' && bytes[at] <= '9' || bytes[at] == '$')) {
                at++;
            }
            String text = text(start, at);
            String upper = text.toUpperCase(Locale.ROOT);
            if (at < end && bytes[at] == '\'' && (upper.equals("E") || upper.equals("B") || upper.equals("X")
                    || upper.equals("N"))) {
                quoted(upper.equals("E"));
                return;
            }
            if (first == null) {
                first = upper;
            }
            boolean part = at < end && bytes[at] == '.' || start > 0 && bytes[start - 1] == '.';
            // FOR SHARE locks rows as FOR UPDATE does, and SELECT ... INTO makes a table
            writes |= !part && (WRITING.contains(upper) || upper.equals("SHARE") && previous.matches("FOR|KEY")
                || upper.equals("INTO") && "SELECT".equals(first));
            if (BEFORE_TABLE.contains(upper) && !part) {
                tableNext = true;
            } else {
                name(text.toLowerCase(Locale.ROOT));
            }
            previous = upper;
        }

        private void name(String name) {
            if (!tableNext || NO_TABLE.contains(name.toUpperCase(Locale.ROOT))) {
                return;
            }
            if (at < end && bytes[at] == '.') {
                at++; // its schema: the table comes behind it
                return;
            }
            tableNext = false;
            if (tables.size() < MOST_TABLES && name.length() <= LONGEST_NAME) {
                tables.add(name);
            }
        }

        private String text(int start, int stop) {
            return new String(bytes, start, stop - start, StandardCharsets.UTF_8);
        }

        /** A string constant; a doubled quote is part of it. */
        private void quoted(boolean escapes) throws Statement.Malformed {
            int start = ++at;
            while (at < end && bytes[at] != 0) {
                if (escapes && bytes[at] == '\\') {
                    at++;
                } else if (bytes[at] == '\'') {
                    if (at + 1 >= end || bytes[at + 1] != '\'') {
                        key = key == null ? text(start, at) : key;
                        at++;
                        return;
                    }
                    at++;
                }
                at++;
            }
            throw new Statement.Malformed("a quoted value does not end");
        }

        private String identifier() throws Statement.Malformed {
            int start = ++at;
            while (at < end && bytes[at] != 0) {
                if (bytes[at] == '"') {
                    if (at + 1 >= end || bytes[at + 1] != '"') {
                        return text(start, at++);
                    }
                    at++;
                }
                at++;
            }
            throw new Statement.Malformed("a quoted name does not end");
        }

        /** Passes over a constant between dollar signs, if one begins here; a parameter such as $1 is none. */
        private boolean dollar() throws Statement.Malformed {
            int tag = at + 1;
            while (tag < end && (isLetter(bytes[tag]) || tag > at + 1 && bytes[tag] >= '0' && bytes[tag] <= '9')) {
                tag++;
            }
            if (tag >= end || bytes[tag] != '$') {
                return false;
            }
            int length = tag + 1 - at;
            for (int stop = tag + 1; stop + length <= end; stop++) {
                if (java.util.Arrays.equals(bytes, at, at + length, bytes, stop, stop + length)) {
                    at = stop + length;
                    return true;
                }
            }
            throw new Statement.Malformed("a quoted value does not end");
        }

        /** White space and comments; block comments nest. */
        private boolean skipBlank() throws Statement.Malformed {
            byte b = bytes[at];
            byte next = at + 1 < end ? bytes[at + 1] : 0;
            if (b == ' ' || b >= '\t' && b <= '\r') {
                at++;
                return true;
            }
            if (b == '-' && next == '-') {
                while (at < end && bytes[at] != '\n' && bytes[at] != '\r') {
                    at++;
                }
                return true;
            }
            if (b != '/' || next != '*') {
                return false;
            }
            int depth = 0;
            do {
                if (at + 1 >= end) {
                    throw new Statement.Malformed("the comment does not end");
                }
                boolean opens = bytes[at] == '/' && bytes[at + 1] == '*';
                boolean closes = bytes[at] == '*' && bytes[at + 1] == '/';
                depth += opens ? 1 : closes ? -1 : 0;
                at += opens || closes ? 2 : 1;
            } while (depth > 0);
            return true;
        }

        private static boolean isLetter(byte b) {
            return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b < 0;
        }
    }
}
