package ledgewall.pg;

/** Scans SQL text: hashes its first string literal and checks that the text holds exactly one statement. */
final class SqlScanner {
    private final byte[] bytes;
    private final int end;
    private int position;

    /** Hashes a range of bytes. */
    interface RangeHash {
        long of(byte[] bytes, int start, int end);
    }

    private SqlScanner(byte[] bytes, int start, int end) {
        this.bytes = bytes;
        this.position = start;
        this.end = end;
    }

    /** The hash of the first string literal, or 0 if there is none. */
    static long scan(byte[] bytes, int start, int end, RangeHash rangeHash) throws Statement.MalformedException {
        return new SqlScanner(bytes, start, end).scan(rangeHash);
    }

    private long scan(RangeHash rangeHash) throws Statement.MalformedException {
        long firstLiteralHash = 0;
        boolean literalSeen = false;
        boolean terminated = false;
        while (position < end) {
            byte b = bytes[position];
            if (skipComment() || b == ' ' || b >= '\t' && b <= '\r') {
                position++;
                continue;
            }
            if (b == 0) {
                throw new Statement.MalformedException("a zero byte within a query");
            } else if (b == ';') {
                terminated = true;
            } else if (terminated) {
                throw new Statement.MalformedException("a query holds more than one statement");
            } else if (b == '\'' || b == '"') {
                int start = position + 1;
                skipQuoted(b, b == '\'' && position > 0 && (bytes[position - 1] | 0x20) == 'e');
                if (b == '\'' && !literalSeen) {
                    literalSeen = true;
                    firstLiteralHash = rangeHash.of(bytes, start, position);
                }
            }
            position++;
        }
        return firstLiteralHash;
    }

    /** Moves to the closing quote; a doubled quote is part of the value. */
    private void skipQuoted(byte quote, boolean backslashEscapes) throws Statement.MalformedException {
        position++;
        while (position < end && bytes[position] != 0) {
            if (backslashEscapes && bytes[position] == '\\') {
                position++;
            } else if (bytes[position] == quote) {
                if (position + 1 >= end || bytes[position + 1] != quote) {
                    return;
                }
                position++;
            }
            position++;
        }
        throw new Statement.MalformedException("a quoted value does not end");
    }

    /** Moves to the last byte of a comment if one begins here. */
    private boolean skipComment() {
        if (position + 1 < end && bytes[position] == '-' && bytes[position + 1] == '-') {
            while (position < end && bytes[position] != '\n') {
                position++;
            }
            return true;
        }
        if (position + 1 < end && bytes[position] == '/' && bytes[position + 1] == '*') {
            position += 2;
            while (position + 1 < end && !(bytes[position] == '*' && bytes[position + 1] == '/')) {
                position++;
            }
            position++;
            return true;
        }
        return false;
    }
}
