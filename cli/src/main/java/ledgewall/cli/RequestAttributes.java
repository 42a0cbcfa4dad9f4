package ledgewall.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import ledgewall.expression.Frame;
import ledgewall.expression.Schema;
import ledgewall.net.Classifier;

/** Fills a frame with the attributes of a PostgreSQL request. The frame is reused for each request. */
final class RequestAttributes {
    private final Schema schema;
    private final Frame frame;
    private final Schema.Attribute sqlText;
    private final Schema.Attribute sqlKeyword;
    private final Schema.Attribute sqlTables;
    private final Schema.Attribute sqlWrites;
    private final Schema.Attribute comment;
    private final Schema.Attribute user;
    private final Schema.Attribute database;
    private final Schema.Attribute peerAddress;
    private final Schema.Attribute listener;
    private final Schema.Attribute tlsName;
    private final Schema.Attribute now;

    RequestAttributes(Schema schema) {
        this.schema = schema;
        this.frame = new Frame(schema);
        this.sqlText = schema.attribute("sql.text");
        this.sqlKeyword = schema.attribute("sql.keyword");
        this.sqlTables = schema.attribute("sql.tables");
        this.sqlWrites = schema.attribute("sql.writes");
        this.comment = schema.attribute("comment");
        this.user = schema.attribute("user");
        this.database = schema.attribute("database");
        this.peerAddress = schema.attribute("peer.address");
        this.listener = schema.attribute("listener");
        this.tlsName = schema.attribute("tls.name");
        this.now = schema.attribute("now");
    }

    Schema schema() {
        return schema;
    }

    /** The frame, cleared and filled with the attributes of this request. */
    Frame fill(Classifier.Request request, String listenerName) {
        frame.clear();
        frame.set(sqlText, request.sql());
        frame.set(sqlKeyword, request.summary().keyword());
        frame.set(sqlTables, List.copyOf(request.summary().tables()));
        frame.set(sqlWrites, request.summary().writes());
        frame.set(comment, Map.copyOf(request.comment()));
        frame.set(user, request.user());
        frame.set(database, request.database());
        frame.set(peerAddress, request.address());
        frame.set(listener, listenerName);
        frame.set(tlsName, Optional.empty());
        frame.set(now, request.now());
        return frame;
    }
}
