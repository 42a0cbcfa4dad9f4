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

/**
 * Conversions between strings and other values, hashes of values, and address ranges. A conversion that fails returns an
 * {@link ErrorKind}. Durations and timestamps are in nanoseconds, timestamps since the Unix epoch.
 */
final class Texts {
    // units of time, in nanoseconds
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000 * MILLISECOND;
    static final long MINUTE = 60 * SECOND;
    static final long HOUR = 60 * MINUTE;
    static final long DAY = 24 * HOUR;
    /** Limit on the length of a number, time or address, in characters. Longer texts are rejected without being parsed. */
    private static final int MAX_CHARS = 64;
    private static final Pattern NUMBER = Pattern.compile("[+-]?([0-9]+(\\.[0-9]*)?|\\.[0-9]+)([eE][+-]?[0-9]+)?");
    private static final Pattern INTEGER = Pattern.compile("[+-]?[0-9]+");
    private static final Pattern DURATION_PART = Pattern.compile("([0-9]{1,19}(?:\\.[0-9]{1,9})?)(h|ms|m|s|us|ns)");
    private static final IPAddressStringParameters STRICT_ADDRESS = new IPAddressStringParameters.Builder()
        .allowEmpty(false).allowAll(false).allowSingleSegment(false).allowWildcardedSeparator(false).allowMask(false)
        .setRangeOptions(inet.ipaddr.AddressStringParameters.RangeParameters.NO_RANGE)
        .getIPv4AddressParametersBuilder().allow_inet_aton(false).getParentBuilder()
        .getIPv6AddressParametersBuilder().allowZone(false).getParentBuilder().toParams();

    private Texts() {
    }

    static Object toInt(String text) {
        if (text.length() > MAX_CHARS || !INTEGER.matches(text)) {
            return ErrorKind.BAD_CONVERSION;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return ErrorKind.OVERFLOW;
        }
    }

    static Object toDouble(String text) {
        return text.length() > MAX_CHARS || !NUMBER.matches(text) ? ErrorKind.BAD_CONVERSION : (Object) Double.parseDouble(text);
    }

    /** Parses a sequence of decimal numbers with units, such as 1h30m, with an optional minus sign in front of all of them. */
    static Object toDuration(String text) {
        int signLength = text.startsWith("-") ? 1 : 0;
        if (text.length() > MAX_CHARS || text.length() == signLength) {
            return ErrorKind.BAD_CONVERSION;
        }
        BigDecimal totalNanos = BigDecimal.ZERO;
        Matcher part = DURATION_PART.matcher(text);
        for (int offset = signLength; offset < text.length(); offset = part.end()) {
            if (!part.find(offset) || part.start() != offset) {
                return ErrorKind.BAD_CONVERSION;
            }
            totalNanos = totalNanos.add(new BigDecimal(part.group(1)).multiply(BigDecimal.valueOf(unitNanos(part.group(2)))));
        }
        BigDecimal nanos = (signLength == 1 ? totalNanos.negate() : totalNanos).setScale(0, java.math.RoundingMode.DOWN);
        return nanos.compareTo(BigDecimal.valueOf(Long.MIN_VALUE)) < 0 || nanos.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0
            ? ErrorKind.OVERFLOW : (Object) nanos.longValue();
    }

    private static long unitNanos(String unit) {
        return switch (unit) {
            case "h" -> HOUR;
            case "m" -> MINUTE;
            case "s" -> SECOND;
            case "ms" -> MILLISECOND;
            case "us" -> 1_000;
            default -> 1;
        };
    }

    static Object toTimestamp(String text) {
        if (text.length() > MAX_CHARS) {
            return ErrorKind.BAD_CONVERSION;
        }
        try {
            Instant instant = DateTimeFormatter.ISO_OFFSET_DATE_TIME.parse(text, Instant::from);
            return Math.addExact(Math.multiplyExact(instant.getEpochSecond(), SECOND), instant.getNano());
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

    /** Decodes UTF-8; malformed input is an error. */
    static Object decode(Bytes bytes) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes.array())).toString();
        } catch (CharacterCodingException e) {
            return ErrorKind.BAD_CONVERSION;
        }
    }

    /** Encodes to UTF-8; an unpaired surrogate is an error. */
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

    /** The 64-bit XXH3 hash of a string's UTF-16 code units, of bytes, or of an integer's eight bytes in little-endian order. */
    static long hash(Object value) {
        if (value instanceof String text) {
            return Hashing.xxh3_64().hashCharsToLong(text);
        }
        byte[] bytes = value instanceof Bytes content ? content.array()
            : ByteBuffer.allocate(Long.BYTES).order(java.nio.ByteOrder.LITTLE_ENDIAN).putLong((Long) value).array();
        return Hashing.xxh3_64().hashBytesToLong(bytes);
    }

    /** Parses an address range; null if the text is not one. */
    static IPAddress range(String text) {
        return parseAddress(text);
    }

    private static IPAddress parseAddress(String text) {
        return text.length() > MAX_CHARS ? null : new IPAddressString(text, STRICT_ADDRESS).getAddress();
    }

    /** Whether an address lies in a range that was parsed when the expression was loaded; an error if the text is no address. */
    static Object inRange(String text, Object range) {
        IPAddress address = text.indexOf('/') >= 0 ? null : parseAddress(text);
        return address == null ? ErrorKind.BAD_CONVERSION : (Object) ((IPAddress) range).toPrefixBlock().contains(address);
    }
}
