package ledgewall.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * A query with the routing comment that precedes its SQL, which holds fields such as
 * {@code id=9b1f,c=basket,d=480,cluster=2}. The message's bytes stay as received, and only what routing needs is parsed; only
 * the digits of {@code d}, the milliseconds that the client waits for its answer, are ever rewritten.
 */
public final class Statement {
    /** So many digits always fit in a long. */
    private static final int MAX_DIGITS = 15;
    private static final int MAX_NAME_LENGTH = 64;
    /** The first character above the printable ones of ASCII. */
    private static final int DELETE = 0x7f;
    /** Leaves room for many times the fields that are defined. */
    private static final int MAX_COMMENT_BYTES = 2_048;
    private static final String[] ROUTING_FIELDS = {"id", "c", "d", "t", "r", "cluster", "after"};
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final byte[] frame;
    /** The field {@code d}, or null: of the other fields only the values are kept, since a client may send hundreds of them. */
    private final Field timeout;
    private final String id;
    private final String className;
    private final String tenant;
    private final boolean isRetry;
    private final long timeoutMillis;
    private final long group;
    private final long lastWriteMillis;
    private final long sessionKey;
    /** Null unless statements without a complete routing comment are accepted. */
    private final SqlSummary summary;

    /** A field's value and its position in the message, as indexes of bytes. */
    private record Field(String value, int start, int end) { }

    /** The query cannot be routed; the message is sent to the client. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    private Statement(byte[] frame, Map<String, Field> fields, int sqlStart) throws MalformedException {
        this.frame = frame;
        this.timeout = required("d", fields);
        this.id = printableName("id", required("id", fields));
        this.className = printableName("c", required("c", fields));
        this.tenant = fields.containsKey("t") ? printableName("t", fields.get("t")) : "";
        this.isRetry = fields.containsKey("r") && fields.get("r").value().equals("1");
        this.summary = null;
        this.timeoutMillis = number("d", timeout);
        this.group = number("cluster", required("cluster", fields));
        this.lastWriteMillis = fields.containsKey("after") ? number("after", fields.get("after")) : 0;
        this.sessionKey = SqlScanner.scan(frame, sqlStart, frame.length - 1, Statement::hash);
    }

    private Statement(Statement other, SqlSummary summary, String id, Classification classification) {
        this.frame = other.frame;
        this.timeout = other.timeout;
        this.summary = summary;
        this.id = id;
        this.className = classification.className();
        this.tenant = classification.tenant();
        this.timeoutMillis = classification.timeoutMillis();
        this.group = classification.group();
        this.lastWriteMillis = other.lastWriteMillis;
        this.sessionKey = classification.sessionKey() == null ? other.sessionKey : hash(classification.sessionKey());
        this.isRetry = classification.isRetry();
    }

    /** A statement that still has to be classified. */
    private Statement(byte[] frame, SqlSummary summary) {
        this.frame = frame;
        this.timeout = null; // so that withTimeout rewrites nothing
        this.summary = summary;
        this.id = "";
        this.className = "";
        this.tenant = "";
        this.isRetry = false;
        this.timeoutMillis = 0;
        this.group = 0;
        this.lastWriteMillis = 0;
        this.sessionKey = summary.firstLiteral() == null ? 0 : hash(summary.firstLiteral());
    }

    /** Parses a whole Query message; a statement without a complete routing comment still has to be classified. */
    static Statement parseWithOptionalComment(byte[] frame) throws MalformedException {
        SqlSummary summary = SqlSummary.of(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
        try {
            Statement complete = parse(frame);
            return new Statement(complete, summary, complete.id, new Classification(complete.className,
                complete.tenant, complete.group, null, complete.timeoutMillis, complete.isRetry));
        } catch (MalformedException e) {
            return new Statement(frame, summary);
        }
    }

    /** Whether the statement has a complete routing comment; false until a statement without one is classified. */
    public boolean hasRoutingComment() {
        return !id.isEmpty();
    }

    /** Facts derived from the SQL text; null where only statements with a complete routing comment are accepted. */
    public SqlSummary summary() {
        return summary;
    }

    /** The fields of a comment that precedes the SQL, even if required ones are missing; empty if it cannot be parsed. */
    private static Map<String, String> commentValues(byte[] frame) {
        try {
            int position = skipSpace(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
            Map<String, String> values = new HashMap<>();
            if (startsWith(frame, position, "/*")) {
                fields(frame, position + 2, commentEnd(frame, position), true)
                    .forEach((name, field) -> values.put(name, field.value()));
            }
            return values;
        } catch (MalformedException e) {
            return Map.of();
        }
    }

    /** The names and values of the fields in its comment, even if it is incomplete. */
    public Map<String, String> commentFields() {
        return commentValues(frame);
    }

    /** Its SQL text with the comment, decoded as UTF-8. */
    public String text() {
        return new String(frame, Frame.LENGTH_BYTES + 1, frame.length - Frame.LENGTH_BYTES - 2, StandardCharsets.UTF_8);
    }

    /** This statement with a classifier's result; {@code fallbackId} is its id if it lacks a complete comment. */
    public Statement withClassification(Classification classification, String fallbackId) {
        return new Statement(this, summary, id.isEmpty() ? fallbackId : id, classification);
    }

    /** Parses a whole Query message, which needs a complete routing comment. */
    static Statement parse(byte[] frame) throws MalformedException {
        int position = skipSpace(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
        if (!startsWith(frame, position, "/*")) {
            throw new MalformedException("a statement needs the comment with its id, class, wait and cluster");
        }
        int close = commentEnd(frame, position);
        return new Statement(frame, fields(frame, position + 2, close, false), close + 2);
    }

    private static int commentEnd(byte[] frame, int position) throws MalformedException {
        int close = position + 2;
        while (!startsWith(frame, close, "*/")) {
            if (close >= frame.length - 1 || close > position + MAX_COMMENT_BYTES) {
                throw new MalformedException("the comment does not end");
            }
            close++;
        }
        return close;
    }

    static boolean isEmpty(byte[] bytes, int start, int end) {
        int position = skipSpace(bytes, start, end);
        while (position < end && bytes[position] == ';') {
            position = skipSpace(bytes, position + 1, end);
        }
        return position == end;
    }

    /** The fields between two positions: all, or only those that routing needs, however many others a client invents. */
    private static Map<String, Field> fields(byte[] bytes, int start, int end, boolean all) throws MalformedException {
        Map<String, Field> fields = new HashMap<>();
        int position = start;
        while (position < end) {
            int stop = position;
            while (stop < end && bytes[stop] != ',') {
                stop++;
            }
            addField(bytes, position, stop, all, fields);
            position = stop + 1;
        }
        return fields;
    }

    private static void addField(byte[] bytes, int start, int end, boolean all, Map<String, Field> fields)
            throws MalformedException {
        int first = skipSpace(bytes, start, end);
        int last = end;
        while (last > first && isSpace(bytes[last - 1])) {
            last--;
        }
        int equals = first;
        while (equals < last && bytes[equals] != '=') {
            equals++;
        }
        if (equals == last || !all && !isRoutingField(bytes, first, equals)) {
            return; // what is no name=value pair is ignored like an unknown name
        }
        String name = new String(bytes, first, equals - first, StandardCharsets.UTF_8);
        String value = new String(bytes, equals + 1, last - equals - 1, StandardCharsets.UTF_8);
        if (fields.put(name, new Field(value, equals + 1, last)) != null) {
            throw new MalformedException("the comment names '" + name + "' twice");
        }
    }

    private static boolean isRoutingField(byte[] bytes, int start, int end) {
        for (String name : ROUTING_FIELDS) {
            if (name.length() == end - start && startsWith(bytes, start, name)) {
                return true;
            }
        }
        return false;
    }

    private static Field required(String name, Map<String, Field> fields) throws MalformedException {
        Field field = fields.get(name);
        if (field == null || field.value().isEmpty()) {
            throw new MalformedException("the comment lacks '" + name + "'");
        }
        return field;
    }

    /** The field's value, which has to be short printable ASCII without spaces: no usual client sends other ids and names. */
    private static String printableName(String name, Field field) throws MalformedException {
        String value = field.value();
        if (value.length() > MAX_NAME_LENGTH || !value.chars().allMatch(c -> c > ' ' && c < DELETE)) {
            throw new MalformedException("'" + name + "' is no plain name");
        }
        return value;
    }

    private static long number(String name, Field field) throws MalformedException {
        String value = field.value();
        if (value.isEmpty() || value.length() > MAX_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedException("'" + name + "' is no number");
        }
        return Long.parseLong(value);
    }

    public String id() {
        return id;
    }

    public String className() {
        return className;
    }

    /** The tenant's name, empty where the comment names none. */
    public String tenant() {
        return tenant;
    }

    /** How long the client waits for its answer. */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /** The number of the group that holds the data: field {@code cluster}. */
    public long group() {
        return group;
    }

    /** Unix time of the session's last write, 0 if the client doesn't report one. */
    public long lastWriteMillis() {
        return lastWriteMillis;
    }

    /** Whether the client repeats a request that failed before. */
    public boolean isRetry() {
        return isRetry;
    }

    /** A hash of the session's key: the first string literal unless a classifier named another key; 0 if there is none. */
    public long sessionKey() {
        return sessionKey;
    }

    /** Size of the whole message in bytes. */
    public int size() {
        return frame.length;
    }

    /** The whole message with another value of {@code d}, if it has that field; all other bytes stay as received. */
    public byte[] withTimeout(long millis) {
        if (timeout == null) {
            return frame;
        }
        byte[] digits = Long.toString(millis).getBytes(StandardCharsets.US_ASCII);
        int size = frame.length - (timeout.end() - timeout.start()) + digits.length;
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(frame, 0, 1).putInt(size - 1);
        out.put(frame, out.position(), timeout.start() - out.position()).put(digits);
        out.put(frame, timeout.end(), frame.length - timeout.end());
        return out.array();
    }

    private static long hash(byte[] bytes, int start, int end) {
        long hash = FNV_OFFSET;
        for (int position = start; position < end; position++) {
            hash = (hash ^ bytes[position] & 0xff) * FNV_PRIME;
        }
        return hash >>> 1; // never negative: the policy uses negative keys as special values
    }

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return hash(bytes, 0, bytes.length);
    }

    private static boolean startsWith(byte[] bytes, int position, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (position + i >= bytes.length || bytes[position + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static int skipSpace(byte[] bytes, int start, int end) {
        int position = start;
        while (position < end && isSpace(bytes[position])) {
            position++;
        }
        return position;
    }

    private static boolean isSpace(byte b) {
        return b == ' ' || b >= '\t' && b <= '\r';
    }
}
