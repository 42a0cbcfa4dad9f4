package ledgewall.pg;

/** Walks over a statement's text: finds its first quoted value and makes sure that it is one statement. */
final class SqlScanner {
    private final byte[] bytes;
    private final int end;
    private int at;

    /** Makes a number of a piece of the bytes. */
    interface Hash {
        long of(byte[] bytes, int start, int end);
    }

    private SqlScanner(byte[] bytes, int start, int end) {
        this.bytes = bytes;
        this.at = start;
        this.end = end;
    }

    /** The hash of the first quoted value, or 0 where there is none. */
    static long scan(byte[] bytes, int start, int end, Hash hash) throws Statement.Malformed {
        return new SqlScanner(bytes, start, end).scan(hash);
    }

    private long scan(Hash hash) throws Statement.Malformed {
        long key = 0;
        boolean quoted = false;
        boolean ended = false;
        while (at < end) {
            byte b = bytes[at];
            if (skipComment() || b == ' ' || b >= '\t' && b <= '\r') {
                at++;
                continue;
            }
            if (b == 0) {
                throw new Statement.Malformed("a zero byte within a query");
            } else if (b == ';') {
                ended = true;
            } else if (ended) {
                throw new Statement.Malformed("a query holds more than one statement");
            } else if (b == '\'' || b == '"') {
                int start = at + 1;
                skipQuoted(b, b == '\'' && at > 0 && (bytes[at - 1] | 0x20) == 'e');
                if (b == '\'' && !quoted) {
                    quoted = true;
                    key = hash.of(bytes, start, at);
                }
            }
            at++;
        }
        return key;
    }

    /** Stands on the closing quote afterwards; a doubled quote is part of the value. */
    private void skipQuoted(byte quote, boolean escapes) throws Statement.Malformed {
        at++;
        while (at < end && bytes[at] != 0) {
            if (escapes && bytes[at] == '\\') {
                at++;
            } else if (bytes[at] == quote) {
                if (at + 1 >= end || bytes[at + 1] != quote) {
                    return;
                }
                at++;
            }
            at++;
        }
        throw new Statement.Malformed("a quoted value does not end");
    }

    /** Stands on a comment's last byte afterwards, if one begins here. */
    private boolean skipComment() {
        if (at + 1 < end && bytes[at] == '-' && bytes[at + 1] == '-') {
            while (at < end && bytes[at] != '\n') {
                at++;
            }
            return true;
        }
        if (at + 1 < end && bytes[at] == '/' && bytes[at + 1] == '*') {
            at += 2;
            while (at + 1 < end && !(bytes[at] == '*' && bytes[at + 1] == '/')) {
                at++;
            }
            at++;
            return true;
        }
        return false;
    }
}
