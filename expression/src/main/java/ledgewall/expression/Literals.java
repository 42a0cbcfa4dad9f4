package ledgewall.expression;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Decodes string and bytes literals, including their escape sequences. */
final class Literals {
    private static final int HEX_RADIX = 16;
    private static final int OCTAL_RADIX = 8;

    private Literals() {
    }

    /** Decodes a string literal; a raw one, with the prefix {@code r}, has no escapes. */
    static String string(String token, Position position) throws ExpressionException {
        if (token.startsWith("r")) {
            return token.substring(2, token.length() - 1);
        }
        StringBuilder text = new StringBuilder();
        int[] cursor = {1};
        while (cursor[0] < token.length() - 1) {
            char c = token.charAt(cursor[0]++);
            if (c == '\\') {
                text.appendCodePoint(readEscape(token, cursor, position));
            } else {
                text.append(c);
            }
        }
        return text.toString();
    }

    /** Decodes a bytes literal: characters are encoded in UTF-8; an escape of two hex or three octal digits is one byte. */
    static Bytes bytes(String token, Position position) throws ExpressionException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int[] cursor = {2};
        while (cursor[0] < token.length() - 1) {
            int start = cursor[0];
            int c = token.codePointAt(cursor[0]);
            cursor[0] += Character.charCount(c);
            boolean escaped = c == '\\';
            int value = escaped ? readEscape(token, cursor, position) : c;
            char escapeType = escaped ? token.charAt(start + 1) : ' ';
            if (escapeType == 'x' || escapeType >= '0' && escapeType <= '3') {
                bytes.write(value);
            } else {
                bytes.writeBytes(new String(Character.toChars(value)).getBytes(StandardCharsets.UTF_8));
            }
        }
        return Bytes.wrap(bytes.toByteArray());
    }

    /** Reads an escape sequence after its backslash and advances the cursor; returns the code point. */
    private static int readEscape(String token, int[] cursor, Position position) throws ExpressionException {
        char c = token.charAt(cursor[0]++);
        int simpleEscape = "abfnrtv\\'\"`?".indexOf(c);
        if (simpleEscape >= 0) {
            return "\u0007\b\f\n\r\t\u000b\\'\"`?".charAt(simpleEscape);
        }
        if (c >= '0' && c <= '3') {
            cursor[0]--;
            return readDigits(token, cursor, 3, OCTAL_RADIX, position);
        }
        int digitCount = c == 'x' ? 2 : c == 'u' ? 4 : c == 'U' ? 8 : 0;
        if (digitCount == 0) {
            throw new ExpressionException(position, "unknown escape \\" + c);
        }
        int value = readDigits(token, cursor, digitCount, HEX_RADIX, position);
        if (!Character.isValidCodePoint(value) || value >= Character.MIN_SURROGATE && value <= Character.MAX_SURROGATE) {
            throw new ExpressionException(position, "the escape is not a valid character");
        }
        return value;
    }

    private static int readDigits(String token, int[] cursor, int digitCount, int radix, Position position)
            throws ExpressionException {
        int end = cursor[0] + digitCount;
        String digits = end < token.length() ? token.substring(cursor[0], end) : "";
        if (digits.isEmpty() || !digits.chars().allMatch(d -> Character.digit(d, radix) >= 0 && d < 128)) {
            throw new ExpressionException(position, "the escape needs " + digitCount + " digits");
        }
        cursor[0] = end;
        return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(digits, radix));
    }
}
