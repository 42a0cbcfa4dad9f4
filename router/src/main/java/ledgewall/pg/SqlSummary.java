package ledgewall.pg;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Facts about a statement that are derived from its SQL text: the first word, the tables that it names and whether it
 * writes. The text is split into tokens by PostgreSQL's lexical structure (section 4.1 of its manual) and not parsed, so
 * {@code writes} can be true for a statement that only reads; where it is false, only functions can change data.
 *
 * @param keyword the first word, in upper case
 * @param tables the names that follow FROM, JOIN, INTO, UPDATE, TABLE and USING, without quotes or schema; names written
 *     without quotes are in lower case
 * @param writes whether a keyword that changes data or locks rows occurs outside quotes
 * @param needsSession whether its effect on the connection outlasts it; this router shares its connections among clients
 * @param firstLiteral the first string literal, or null
 */
public record SqlSummary(String keyword, List<String> tables, boolean writes, boolean needsSession, String firstLiteral) {
    private static final int MAX_TABLES = 16;
    private static final int MAX_NAME_LENGTH = 128;
    private static final Set<String> WRITE_KEYWORDS = Set.of("INSERT", "UPDATE", "DELETE", "MERGE", "TRUNCATE", "CREATE", "ALTER",
        "DROP", "GRANT", "REVOKE", "CALL", "DO", "VACUUM", "REINDEX", "CLUSTER", "REFRESH", "COMMENT", "IMPORT", "SECURITY");
    private static final Set<String> SESSION_KEYWORDS = Set.of("BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT",
        "SAVEPOINT", "RELEASE", "SET", "RESET", "DISCARD", "PREPARE", "EXECUTE", "DEALLOCATE", "DECLARE", "FETCH", "MOVE",
        "CLOSE", "LISTEN", "UNLISTEN", "NOTIFY", "LOCK", "COPY", "LOAD", "CHECKPOINT");
    private static final Set<String> TABLE_PREFIX_KEYWORDS = Set.of("FROM", "JOIN", "INTO", "UPDATE", "TABLE", "USING");
    private static final Set<String> NON_TABLE_KEYWORDS = Set.of("SELECT", "ONLY", "LATERAL", "SET", "UNNEST", "VALUES",
        "EXISTS", "IF", "OF", "NOWAIT", "SKIP");

    static SqlSummary of(byte[] bytes, int start, int end) throws Statement.MalformedException {
        return new Lexer(bytes, start, end).scan();
    }

    /** The summary of a statement; null if the text isn't exactly one statement. */
    public static SqlSummary ofText(String sql) {
        byte[] bytes = sql.getBytes(StandardCharsets.UTF_8);
        try {
            return of(bytes, 0, bytes.length);
        } catch (Statement.MalformedException e) {
            return null;
        }
    }

    /** Scans the bytes once. Text inside quotes or comments is not matched against keywords. */
    private static final class Lexer {
        private final byte[] bytes;
        private final int end;
        private int position;
        private String firstWord;
        private String previousWord = "";
        /** Whether the next name is a table's. */
        private boolean expectsTable;
        private boolean writes;
        /** Whether the statement's semicolon has been seen. */
        private boolean terminated;
        private String firstLiteral;
        private final Set<String> tables = new LinkedHashSet<>();

        private Lexer(byte[] bytes, int start, int end) {
            this.bytes = bytes;
            this.position = start;
            this.end = end;
        }

        private SqlSummary scan() throws Statement.MalformedException {
            while (position < end) {
                if (!skipBlankOrComment()) {
                    scanToken();
                }
            }
            String keyword = firstWord == null ? "" : firstWord;
            return new SqlSummary(keyword, List.copyOf(tables), writes, SESSION_KEYWORDS.contains(keyword), firstLiteral);
        }

        private void scanToken() throws Statement.MalformedException {
            byte b = bytes[position];
            if (b == 0) {
                throw new Statement.MalformedException("a zero byte within a query");
            }
            if (b == ';') {
                terminated = true;
                position++;
                return;
            }
            if (terminated) {
                throw new Statement.MalformedException("a query holds more than one statement");
            }
            if (b == '\'') {
                scanStringLiteral(false);
            } else if (b == '"') {
                addTableIfExpected(scanQuotedIdentifier());
            } else if (b == '$' && skipDollarQuoted()) {
                expectsTable = false;
            } else if (isLetter(b)) {
                scanWord();
            } else {
                expectsTable &= b == '(' || b == '.';
                position++;
            }
        }

        private void scanWord() throws Statement.MalformedException {
            int start = position;
            while (position < end && (isLetter(bytes[position]) || bytes[position] >= '0' && bytes[position] <= '9'
                    || bytes[position] == '$')) {
                position++;
            }
            String text = text(start, position);
            String upper = text.toUpperCase(Locale.ROOT);
            if (position < end && bytes[position] == '\'' && (upper.equals("E") || upper.equals("B") || upper.equals("X")
                    || upper.equals("N"))) {
                scanStringLiteral(upper.equals("E"));
                return;
            }
            if (firstWord == null) {
                firstWord = upper;
            }
            boolean qualified = position < end && bytes[position] == '.' || start > 0 && bytes[start - 1] == '.';
            // FOR SHARE locks rows as FOR UPDATE does, and SELECT ... INTO creates a table
            writes |= !qualified && (WRITE_KEYWORDS.contains(upper) || upper.equals("SHARE") && previousWord.matches("FOR|KEY")
                || upper.equals("INTO") && "SELECT".equals(firstWord));
            if (TABLE_PREFIX_KEYWORDS.contains(upper) && !qualified) {
                expectsTable = true;
            } else {
                addTableIfExpected(text.toLowerCase(Locale.ROOT));
            }
            previousWord = upper;
        }

        /** Adds the table unless the tokens before it call for another kind of name; a schema name is skipped. */
        private void addTableIfExpected(String name) {
            if (!expectsTable || NON_TABLE_KEYWORDS.contains(name.toUpperCase(Locale.ROOT))) {
                return;
            }
            if (position < end && bytes[position] == '.') {
                position++; // a schema name: the table name follows
                return;
            }
            expectsTable = false;
            if (tables.size() < MAX_TABLES && name.length() <= MAX_NAME_LENGTH) {
                tables.add(name);
            }
        }

        private String text(int start, int stop) {
            return new String(bytes, start, stop - start, StandardCharsets.UTF_8);
        }

        /** Scans a string literal; a doubled quote is part of the value and doesn't end it. */
        private void scanStringLiteral(boolean backslashEscapes) throws Statement.MalformedException {
            int start = ++position;
            while (position < end && bytes[position] != 0) {
                if (backslashEscapes && bytes[position] == '\\') {
                    position++;
                } else if (bytes[position] == '\'') {
                    if (position + 1 >= end || bytes[position + 1] != '\'') {
                        firstLiteral = firstLiteral == null ? text(start, position) : firstLiteral;
                        position++;
                        return;
                    }
                    position++;
                }
                position++;
            }
            throw new Statement.MalformedException("a quoted value does not end");
        }

        private String scanQuotedIdentifier() throws Statement.MalformedException {
            int start = ++position;
            while (position < end && bytes[position] != 0) {
                if (bytes[position] == '"') {
                    if (position + 1 >= end || bytes[position + 1] != '"') {
                        return text(start, position++);
                    }
                    position++;
                }
                position++;
            }
            throw new Statement.MalformedException("a quoted name does not end");
        }

        /** Skips a dollar-quoted string if one begins here; false for anything else, such as a parameter like $1. */
        private boolean skipDollarQuoted() throws Statement.MalformedException {
            int tagEnd = position + 1;
            while (tagEnd < end && (isLetter(bytes[tagEnd])
                    || tagEnd > position + 1 && bytes[tagEnd] >= '0' && bytes[tagEnd] <= '9')) {
                tagEnd++;
            }
            if (tagEnd >= end || bytes[tagEnd] != '$') {
                return false;
            }
            int delimiterLength = tagEnd + 1 - position;
            for (int close = tagEnd + 1; close + delimiterLength <= end; close++) {
                if (java.util.Arrays.equals(bytes, position, position + delimiterLength, bytes, close, close + delimiterLength)) {
                    position = close + delimiterLength;
                    return true;
                }
            }
            throw new Statement.MalformedException("a quoted value does not end");
        }

        /** Skips a white space character or a comment if one begins here. Block comments nest. */
        private boolean skipBlankOrComment() throws Statement.MalformedException {
            byte b = bytes[position];
            byte next = position + 1 < end ? bytes[position + 1] : 0;
            if (b == ' ' || b >= '\t' && b <= '\r') {
                position++;
                return true;
            }
            if (b == '-' && next == '-') {
                while (position < end && bytes[position] != '\n' && bytes[position] != '\r') {
                    position++;
                }
                return true;
            }
            if (b != '/' || next != '*') {
                return false;
            }
            int depth = 0;
            do {
                if (position + 1 >= end) {
                    throw new Statement.MalformedException("the comment does not end");
                }
                boolean opens = bytes[position] == '/' && bytes[position + 1] == '*';
                boolean closes = bytes[position] == '*' && bytes[position + 1] == '/';
                depth += opens ? 1 : closes ? -1 : 0;
                position += opens || closes ? 2 : 1;
            } while (depth > 0);
            return true;
        }

        private static boolean isLetter(byte b) {
            return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b < 0;
        }
    }
}
