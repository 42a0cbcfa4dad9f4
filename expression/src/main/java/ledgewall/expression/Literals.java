package ledgewall.expression;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** What stands between quotes, with its escapes taken for what they mean. */
final class Literals {
    private static final int HEX = 16;
    private static final int OCTAL = 8;

    private Literals() {
    }

    static String string(String token, Position at) throws ExpressionException {
        if (token.startsWith("r")) {
            return token.substring(2, token.length() - 1);
        }
        StringBuilder text = new StringBuilder();
        int[] place = {1};
        while (place[0] < token.length() - 1) {
            char c = token.charAt(place[0]++);
            if (c == '\\') {
                text.appendCodePoint(escape(token, place, at));
            } else {
                text.append(c);
            }
        }
        return text.toString();
    }

    /** In UTF-8; an escape of two hexadecimal or three octal digits is one byte. */
    static Bytes bytes(String token, Position at) throws ExpressionException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int[] place = {2};
        while (place[0] < token.length() - 1) {
            int start = place[0];
            int c = token.codePointAt(place[0]);
            place[0] += Character.charCount(c);
            boolean escaped = c == '\\';
            int value = escaped ? escape(token, place, at) : c;
            char kind = escaped ? token.charAt(start + 1) : ' ';
            if (kind == 'x' || kind >= '0' && kind <= '3') {
                bytes.write(value);
            } else {
                bytes.writeBytes(new String(Character.toChars(value)).getBytes(StandardCharsets.UTF_8));
            }
        }
        return Bytes.wrap(bytes.toByteArray());
    }

    private static int escape(String token, int[] place, Position at) throws ExpressionException {
        char c = token.charAt(place[0]++);
        int simple = "abfnrtv\\'\"`?".indexOf(c);
        if (simple >= 0) {
            return "\u0007\b\f\n\r\t\u000b\\'\"`?".charAt(simple);
        }
        if (c >= '0' && c <= '3') {
            place[0]--;
            return digits(token, place, 3, OCTAL, at);
        }
        int count = c == 'x' ? 2 : c == 'u' ? 4 : c == 'U' ? 8 : 0;
        if (count == 0) {
            throw new ExpressionException(at, "unknown escape \\" + c);
        }
        int value = digits(token, place, count, HEX, at);
        if (!Character.isValidCodePoint(value) || value >= Character.MIN_SURROGATE && value <= Character.MAX_SURROGATE) {
            throw new ExpressionException(at, "an escape that is no character");
        }
        return value;
    }

    private static int digits(String token, int[] place, int count, int radix, Position at) throws ExpressionException {
        int end = place[0] + count;
        String digits = end < token.length() ? token.substring(place[0], end) : "";
        if (digits.isEmpty() || !digits.chars().allMatch(d -> Character.digit(d, radix) >= 0 && d < 128)) {
            throw new ExpressionException(at, "an escape of " + count + " digits lacks some");
        }
        place[0] = end;
        return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(digits, radix));
    }
}
