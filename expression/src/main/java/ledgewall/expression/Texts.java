package ledgewall.expression;

import com.dynatrace.hash4j.hashing.Hashing;
import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.IPAddressStringParameters;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Between texts and other values. What cannot be converted is an {@link ErrorKind}. */
final class Texts {
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000 * MILLISECOND;
    static final long MINUTE = 60 * SECOND;
    static final long HOUR = 60 * MINUTE;
    static final long DAY = 24 * HOUR;
    /** No number, time or address that is one is longer; nothing longer is looked at. */
    private static final int LONGEST = 64;
    private static final Pattern NUMBER = Pattern.compile("[+-]?([0-9]+(\\.[0-9]*)?|\\.[0-9]+)([eE][+-]?[0-9]+)?");
    private static final Pattern INTEGER = Pattern.compile("[+-]?[0-9]+");
    private static final Pattern SPAN = Pattern.compile("([0-9]{1,19}(?:\\.[0-9]{1,9})?)(h|ms|m|s|us|ns)");
    private static final IPAddressStringParameters PLAIN = new IPAddressStringParameters.Builder()
        .allowEmpty(false).allowAll(false).allowSingleSegment(false).allowWildcardedSeparator(false).allowMask(false)
        .setRangeOptions(inet.ipaddr.AddressStringParameters.RangeParameters.NO_RANGE)
        .getIPv4AddressParametersBuilder().allow_inet_aton(false).getParentBuilder()
        .getIPv6AddressParametersBuilder().allowZone(false).getParentBuilder().toParams();

    private Texts() {
    }

    static Object toInt(String text) {
        if (text.length() > LONGEST || !INTEGER.matches(text)) {
            return ErrorKind.BAD_CONVERSION;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return ErrorKind.OVERFLOW;
        }
    }

    static Object toDouble(String text) {
        return text.length() > LONGEST || !NUMBER.matches(text) ? ErrorKind.BAD_CONVERSION : (Object) Double.parseDouble(text);
    }

    /** Numbers with units, one after the other, a sign before them all. */
    static Object toDuration(String text) {
        int sign = text.startsWith("-") ? 1 : 0;
        if (text.length() > LONGEST || text.length() == sign) {
            return ErrorKind.BAD_CONVERSION;
        }
        BigDecimal sum = BigDecimal.ZERO;
        Matcher part = SPAN.matcher(text);
        for (int at = sign; at < text.length(); at = part.end()) {
            if (!part.find(at) || part.start() != at) {
                return ErrorKind.BAD_CONVERSION;
            }
            sum = sum.add(new BigDecimal(part.group(1)).multiply(BigDecimal.valueOf(unit(part.group(2)))));
        }
        BigDecimal nanos = (sign == 1 ? sum.negate() : sum).setScale(0, java.math.RoundingMode.DOWN);
        return nanos.compareTo(BigDecimal.valueOf(Long.MIN_VALUE)) < 0 || nanos.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0
            ? ErrorKind.OVERFLOW : (Object) nanos.longValue();
    }

    private static long unit(String name) {
        return switch (name) {
            case "h" -> HOUR;
            case "m" -> MINUTE;
            case "s" -> SECOND;
            case "ms" -> MILLISECOND;
            case "us" -> 1_000;
            default -> 1;
        };
    }

    static Object toTimestamp(String text) {
        if (text.length() > LONGEST) {
            return ErrorKind.BAD_CONVERSION;
        }
        try {
            Instant at = DateTimeFormatter.ISO_OFFSET_DATE_TIME.parse(text, Instant::from);
            return Math.addExact(Math.multiplyExact(at.getEpochSecond(), SECOND), at.getNano());
        } catch (DateTimeException e) {
            return ErrorKind.BAD_CONVERSION;
        } catch (ArithmeticException e) {
            return ErrorKind.OVERFLOW;
        }
    }

    static String duration(long nanos) {
        return BigDecimal.valueOf(nanos).movePointLeft(9).stripTrailingZeros().toPlainString() + "s";
    }

    private static Instant instant(long nanos) {
        return Instant.ofEpochSecond(Math.floorDiv(nanos, SECOND), Math.floorMod(nanos, SECOND));
    }

    static String timestamp(long nanos) {
        return instant(nanos).toString();
    }

    static long year(long nanos) {
        return instant(nanos).atOffset(ZoneOffset.UTC).getYear();
    }

    static Object decode(Bytes bytes) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes.array())).toString();
        } catch (CharacterCodingException e) {
            return ErrorKind.BAD_CONVERSION;
        }
    }

    static Object encode(String text) {
        try {
            ByteBuffer encoded = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            byte[] bytes = new byte[encoded.remaining()];
            encoded.get(bytes);
            return Bytes.wrap(bytes);
        } catch (CharacterCodingException e) {
            return ErrorKind.BAD_CONVERSION;
        }
    }

    /** XXH3 of a string's UTF-16 characters, of bytes, or of an integer's eight bytes, the lowest first. */
    static long hash(Object value) {
        if (value instanceof String text) {
            return Hashing.xxh3_64().hashCharsToLong(text);
        }
        byte[] bytes = value instanceof Bytes held ? held.array()
            : ByteBuffer.allocate(Long.BYTES).order(java.nio.ByteOrder.LITTLE_ENDIAN).putLong((Long) value).array();
        return Hashing.xxh3_64().hashBytesToLong(bytes);
    }

    /** An address range, or null if the text is none. */
    static IPAddress range(String text) {
        return address(text);
    }

    private static IPAddress address(String text) {
        return text.length() > LONGEST ? null : new IPAddressString(text, PLAIN).getAddress();
    }

    /** Whether an address lies in a range, which has been read at load. */
    static Object inRange(String text, Object range) {
        IPAddress address = text.indexOf('/') >= 0 ? null : address(text);
        return address == null ? ErrorKind.BAD_CONVERSION : (Object) ((IPAddress) range).toPrefixBlock().contains(address);
    }
}
