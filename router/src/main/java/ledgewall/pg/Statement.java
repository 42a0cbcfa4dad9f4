package ledgewall.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * A query with the comment that goes before it. The bytes stay as they came; only what decisions need is taken
 * out, and only the digits of {@code d} are ever written anew.
 */
public final class Statement {
    /** As many digits as surely fit a long. */
    private static final int MOST_DIGITS = 15;
    private static final int LONGEST_NAME = 64;
    private static final int DELETE = 0x7f;
    /** Room for many times the fields that there are. */
    private static final int LONGEST_COMMENT = 2_048;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final byte[] frame;
    private final Map<String, Field> fields;
    /** What a comment says that is not whole: for whoever classifies the statement. */
    private final Map<String, String> loose;
    private final String id;
    private final String className;
    private final String tenant;
    private final boolean retry;
    private final long waitMillis;
    private final long group;
    private final long writtenAtMillis;
    private final long sessionKey;
    /** Of a statement that is to be classified; else null. */
    private final SqlSummary summary;

    /** Where a field's value stands in the message. */
    private record Field(String value, int start, int end) { }

    /** A query that is none for this router; the text is for its sender. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private Statement(byte[] frame, Map<String, Field> fields, int sqlStart) throws Malformed {
        this.frame = frame;
        this.fields = fields;
        this.loose = Map.of();
        this.id = plain("id", required("id"));
        this.className = plain("c", required("c"));
        this.tenant = fields.containsKey("t") ? plain("t", fields.get("t")) : "";
        this.retry = fields.containsKey("r") && fields.get("r").value().equals("1");
        this.summary = null;
        this.waitMillis = number("d", required("d"));
        this.group = number("cluster", required("cluster"));
        this.writtenAtMillis = fields.containsKey("after") ? number("after", fields.get("after")) : 0;
        this.sessionKey = SqlScanner.scan(frame, sqlStart, frame.length - 1, Statement::hash);
    }

    private Statement(Statement other, SqlSummary summary, String id, Classified as) {
        this.frame = other.frame;
        this.fields = other.fields;
        this.loose = other.loose;
        this.summary = summary;
        this.id = id;
        this.className = as.className();
        this.tenant = as.tenant();
        this.waitMillis = as.waitMillis();
        this.group = as.group();
        this.writtenAtMillis = other.writtenAtMillis;
        this.sessionKey = as.session() == null ? other.sessionKey : hash(as.session());
        this.retry = as.retry();
    }

    /** One whose fields nobody has told yet. */
    private Statement(byte[] frame, Map<String, String> loose, SqlSummary summary) {
        this.frame = frame;
        this.fields = Map.of(); // no field of it is this router's to write anew
        this.loose = loose;
        this.summary = summary;
        this.id = "";
        this.className = "";
        this.tenant = "";
        this.retry = false;
        this.waitMillis = 0;
        this.group = 0;
        this.writtenAtMillis = 0;
        this.sessionKey = summary.key() == null ? 0 : hash(summary.key());
    }

    /** Reads a whole Query message that need not bring the comment: where it brings none that will do, it is to be classified. */
    static Statement parseAny(byte[] frame) throws Malformed {
        SqlSummary summary = SqlSummary.of(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
        try {
            Statement whole = parse(frame);
            return new Statement(whole, summary, whole.id, new Classified(whole.className, whole.tenant, whole.group, null,
                whole.waitMillis, whole.retry));
        } catch (Malformed e) {
            return new Statement(frame, looseComment(frame), summary);
        }
    }

    /** Whether it brought the comment with all that a router needs. */
    public boolean isCommented() {
        return !id.isEmpty();
    }

    /** What it says about itself, where plain statements are taken. */
    public SqlSummary summary() {
        return summary;
    }

    /** The names and values of a comment before the statement, whatever it lacks; none where it cannot be read. */
    private static Map<String, String> looseComment(byte[] frame) {
        try {
            int at = skipSpace(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
            Map<String, String> values = new HashMap<>();
            if (startsWith(frame, at, "/*")) {
                fields(frame, at + 2, commentEnd(frame, at)).forEach((name, field) -> values.put(name, field.value()));
            }
            return values;
        } catch (Malformed e) {
            return Map.of();
        }
    }

    /** The fields of its comment. */
    public Map<String, String> comment() {
        Map<String, String> values = new HashMap<>(loose);
        fields.forEach((name, field) -> values.put(name, field.value()));
        return values;
    }

    /** Its text, as UTF-8 if it can be. */
    public String text() {
        return new String(frame, Frame.LENGTH_BYTES + 1, frame.length - Frame.LENGTH_BYTES - 2, StandardCharsets.UTF_8);
    }

    /** This statement with what a classifier says of it, under an id of its own or of the router's. */
    public Statement as(Classified classified, String routersId) {
        return new Statement(this, summary, id.isEmpty() ? routersId : id, classified);
    }

    /** Reads a whole Query message. */
    static Statement parse(byte[] frame) throws Malformed {
        int at = skipSpace(frame, Frame.LENGTH_BYTES + 1, frame.length - 1);
        if (!startsWith(frame, at, "/*")) {
            throw new Malformed("a statement needs the comment with its id, class, wait and cluster");
        }
        int close = commentEnd(frame, at);
        return new Statement(frame, fields(frame, at + 2, close), close + 2);
    }

    private static int commentEnd(byte[] frame, int at) throws Malformed {
        int close = at + 2;
        while (!startsWith(frame, close, "*/")) {
            if (close >= frame.length - 1 || close > at + LONGEST_COMMENT) {
                throw new Malformed("the comment does not end");
            }
            close++;
        }
        return close;
    }

    static boolean isEmpty(byte[] bytes, int start, int end) {
        int at = skipSpace(bytes, start, end);
        while (at < end && bytes[at] == ';') {
            at = skipSpace(bytes, at + 1, end);
        }
        return at == end;
    }

    private static Map<String, Field> fields(byte[] bytes, int start, int end) throws Malformed {
        Map<String, Field> fields = new HashMap<>();
        int at = start;
        while (at < end) {
            int stop = at;
            while (stop < end && bytes[stop] != ',') {
                stop++;
            }
            addField(bytes, at, stop, fields);
            at = stop + 1;
        }
        return fields;
    }

    private static void addField(byte[] bytes, int start, int end, Map<String, Field> fields) throws Malformed {
        int first = skipSpace(bytes, start, end);
        int last = end;
        while (last > first && isSpace(bytes[last - 1])) {
            last--;
        }
        int equals = first;
        while (equals < last && bytes[equals] != '=') {
            equals++;
        }
        if (equals == last) {
            return; // no name and value: passed over like an unknown name
        }
        String name = new String(bytes, first, equals - first, StandardCharsets.UTF_8);
        String value = new String(bytes, equals + 1, last - equals - 1, StandardCharsets.UTF_8);
        if (fields.put(name, new Field(value, equals + 1, last)) != null) {
            throw new Malformed("the comment names '" + name + "' twice");
        }
    }

    private Field required(String name) throws Malformed {
        Field field = fields.get(name);
        if (field == null || field.value().isEmpty()) {
            throw new Malformed("the comment lacks '" + name + "'");
        }
        return field;
    }

    /** Ids and names are short and of letters that can be seen: anything else is no usual client's. */
    private static String plain(String name, Field field) throws Malformed {
        String value = field.value();
        if (value.length() > LONGEST_NAME || !value.chars().allMatch(c -> c > ' ' && c < DELETE)) {
            throw new Malformed("'" + name + "' is no plain name");
        }
        return value;
    }

    private static long number(String name, Field field) throws Malformed {
        String value = field.value();
        if (value.isEmpty() || value.length() > MOST_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new Malformed("'" + name + "' is no number");
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

    public long waitMillis() {
        return waitMillis;
    }

    public long group() {
        return group;
    }

    /** Unix time of the session's last write, 0 where the client tells none. */
    public long writtenAtMillis() {
        return writtenAtMillis;
    }

    public boolean retry() {
        return retry;
    }

    /** A number that stands for the first quoted value, the key. */
    public long sessionKey() {
        return sessionKey;
    }

    /** Bytes of the whole message. */
    public int size() {
        return frame.length;
    }

    /** The whole message with another wait, if it tells one; all its other bytes are the client's. */
    public byte[] withWait(long millis) {
        Field wait = fields.get("d");
        if (wait == null) {
            return frame;
        }
        byte[] digits = Long.toString(millis).getBytes(StandardCharsets.US_ASCII);
        int size = frame.length - (wait.end() - wait.start()) + digits.length;
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(frame, 0, 1).putInt(size - 1);
        out.put(frame, out.position(), wait.start() - out.position()).put(digits);
        out.put(frame, wait.end(), frame.length - wait.end());
        return out.array();
    }

    private static long hash(byte[] bytes, int start, int end) {
        long hash = FNV_OFFSET;
        for (int at = start; at < end; at++) {
            hash = (hash ^ bytes[at] & 0xff) * FNV_PRIME;
        }
        return hash >>> 1; // never negative: negative numbers have meanings of their own
    }

    private static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return hash(bytes, 0, bytes.length);
    }

    private static boolean startsWith(byte[] bytes, int at, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (at + i >= bytes.length || bytes[at + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private static int skipSpace(byte[] bytes, int start, int end) {
        int at = start;
        while (at < end && isSpace(bytes[at])) {
            at++;
        }
        return at;
    }

    private static boolean isSpace(byte b) {
        return b == ' ' || b >= '\t' && b <= '\r';
    }
}
