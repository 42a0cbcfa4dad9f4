package ledgewall.expression;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The attributes that expressions can read, each with its type and maximum size. Any of them can be absent from a request. */
public final class Schema {
    /**
     * An attribute of the schema.
     *
     * @param index its index in the schema and in frames
     * @param size the maximum size of its value
     * @param description text for the language reference
     */
    public record Attribute(int index, String name, Type type, Size size, String description) { }

    private final Map<String, Attribute> attributes = new LinkedHashMap<>();

    /** Adds an attribute. Its name can consist of several identifiers separated by dots. */
    public Schema with(String name, Type type, Size size, String description) {
        if (!name.matches("[A-Za-z_][A-Za-z0-9_]*(\\.[A-Za-z_][A-Za-z0-9_]*)*")) {
            throw new IllegalArgumentException("invalid attribute name: '" + name + "'");
        }
        if (attributes.putIfAbsent(name, new Attribute(attributes.size(), name, type, size, description)) != null) {
            throw new IllegalArgumentException("duplicate attribute: '" + name + "'");
        }
        return this;
    }

    public Attribute attribute(String name) {
        return attributes.get(name);
    }

    public List<Attribute> attributes() {
        return new ArrayList<>(attributes.values());
    }

    public Set<String> attributeNames() {
        return attributes.keySet();
    }

    public int attributeCount() {
        return attributes.size();
    }

    /** The attributes of requests in every supported protocol. Those that a protocol does not provide are absent. */
    public static Schema ofRequests() {
        Size identifierSize = Size.chars(128);
        Size pathSize = Size.chars(2_048);
        return new Schema()
            .with("method", Type.STRING, Size.chars(32), "an HTTP request's method")
            .with("path", Type.STRING, pathSize, "its path, without the query")
            .with("authority", Type.STRING, Size.chars(256), "its host")
            .with("headers", Type.mapOf(Type.STRING), Size.map(100, 128, Size.chars(1_024)), "its headers, names in lower case")
            .with("query", Type.mapOf(Type.STRING), Size.map(64, 128, Size.chars(1_024)),
                "its query parameters, the first of each")
            .with("sql.text", Type.STRING, Size.chars(16_384), "a statement's text, its comment included")
            .with("sql.keyword", Type.STRING, Size.chars(32), "its first word, in capitals")
            .with("sql.tables", Type.listOf(Type.STRING), Size.list(16, identifierSize),
                "the tables that it names, in lower case")
            .with("sql.writes", Type.BOOL, Size.ONE, "whether a word that changes data or locks rows stands outside its quotes")
            .with("comment", Type.mapOf(Type.STRING), Size.map(16, 32, Size.chars(256)), "the fields of its comment")
            .with("database", Type.STRING, identifierSize, "the database that its client named")
            .with("user", Type.STRING, identifierSize, "the user that its client named")
            .with("peer.address", Type.STRING, Size.chars(45), "its client's IP address")
            .with("listener", Type.STRING, identifierSize, "the name of the listener that took it in")
            .with("tls.name", Type.optionalOf(Type.STRING), new Size(1, Size.chars(256), 0),
                "the name its client's TLS greeting gave")
            .with("now", Type.TIMESTAMP, Size.ONE, "when it came");
    }
}
