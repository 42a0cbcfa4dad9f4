package ledgewall.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Frame;
import ledgewall.expression.Schema;
import ledgewall.net.Classifier;

/** Gives a frame what is known of a PostgreSQL request. */
final class Attributes {
    private final Schema schema;
    private final Frame frame;
    private final Schema.Attribute text;
    private final Schema.Attribute keyword;
    private final Schema.Attribute tables;
    private final Schema.Attribute writes;
    private final Schema.Attribute comment;
    private final Schema.Attribute user;
    private final Schema.Attribute database;
    private final Schema.Attribute address;
    private final Schema.Attribute listener;
    private final Schema.Attribute tls;
    private final Schema.Attribute now;

    Attributes(Schema schema) {
        this.schema = schema;
        this.frame = new Frame(schema);
        this.text = schema.attribute("sql.text");
        this.keyword = schema.attribute("sql.keyword");
        this.tables = schema.attribute("sql.tables");
        this.writes = schema.attribute("sql.writes");
        this.comment = schema.attribute("comment");
        this.user = schema.attribute("user");
        this.database = schema.attribute("database");
        this.address = schema.attribute("peer.address");
        this.listener = schema.attribute("listener");
        this.tls = schema.attribute("tls.name");
        this.now = schema.attribute("now");
    }

    Schema schema() {
        return schema;
    }

    /** The frame, filled for this request and for none before it. */
    Frame of(Classifier.Request request, String name) {
        frame.clear();
        frame.set(text, request.sql());
        frame.set(keyword, request.summary().keyword());
        frame.set(tables, List.copyOf(request.summary().tables()));
        frame.set(writes, request.summary().writes());
        frame.set(comment, Map.copyOf(request.comment()));
        frame.set(user, request.user());
        frame.set(database, request.database());
        frame.set(address, request.address());
        frame.set(listener, name);
        frame.set(tls, Optional.empty());
        frame.set(now, request.now());
        return frame;
    }
}
