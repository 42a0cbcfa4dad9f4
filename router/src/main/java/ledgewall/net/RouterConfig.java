package ledgewall.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.discovery.ListParser;
import ledgewall.discovery.ListUpdate;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;
import ledgewall.settings.SettingsReader;
import ledgewall.settings.TransportLimits;
import ledgewall.settings.Vocabulary;

/** All that one router is told before it starts. Addresses that are absent are null. */
public record RouterConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                           InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress peersAll,
                           ListUpdate known, RoutingPolicy.Settings settings, Vocabulary vocabulary,
                           TransportLimits transport) {
    private static final int HEX = 16;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int LAST_PORT = 65535;

    /** Reads the configuration file; what is wrong with it is told by a {@link FormatException}. */
    public static RouterConfig read(Path file) throws IOException {
        return parse(Files.readAllBytes(file), file.getFileName().toString());
    }

    static RouterConfig parse(byte[] json, String where) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new FormatException(where + ": no JSON object");
            }
            return of(Fields.read(parser, where));
        } catch (JsonProcessingException e) {
            throw new FormatException(where + ": no JSON: " + e.getOriginalMessage());
        }
    }

    private static RouterConfig of(Fields fields) {
        if (!fields.has("settings")) {
            throw new FormatException(fields.location() + ": lacks 'settings'");
        }
        Fields settings = fields.object("settings");
        ListUpdate known = fields.has("known") ? ListParser.fromFields(fields.object("known"))
            : new ListUpdate(0, true, List.of());
        List<InetSocketAddress> peers = fields.elements("peers").stream()
            .map(peer -> address(fields.location(), "peers", peer.toString())).toList();
        checkFleet(settings, peers.size());
        atLeast(1, fields.object("limits"), "sockets", DEFAULT_SOCKETS);
        Fields ceilings = settings.object("ceilings");
        atLeast(1, ceilings, "maxAttempts", 1);
        atLeast(0, ceilings, "connectTimeoutNs", 0);
        atLeast(0, ceilings, "connIdleNs", 0);
        return new RouterConfig(
            fields.text("name", "router"), required(fields, "listen"), required(fields, "discovery"),
            seed(fields), (int) fields.object("limits").integer("sockets", DEFAULT_SOCKETS),
            optional(fields, "peer_listen"), peers, optional(fields, "peers_all"), known,
            SettingsReader.settings(settings), SettingsReader.vocabulary(settings),
            SettingsReader.transportLimits(settings));
    }

    /** Shares of the fleet's sums go by these numbers: one that is missing or cannot be is told, never guessed. */
    private static void checkFleet(Fields settings, int peers) {
        long routers = settings.integer("peersTotal");
        long rank = settings.integer("rank");
        if (routers < 1 || routers > Integer.MAX_VALUE) {
            throw new FormatException(settings.location() + ": 'peersTotal' has to be 1 or more, not " + routers);
        }
        if (rank < 0 || rank >= routers) {
            throw new FormatException(settings.location() + ": 'rank' has to be from 0 to " + (routers - 1) + ", not " + rank);
        }
        if (peers > 0 && peers != routers) {
            throw new FormatException(settings.location() + ": 'peersTotal' is " + routers + ", but 'peers' names " + peers);
        }
    }

    private static void atLeast(long least, Fields fields, String name, long otherwise) {
        long value = fields.integer(name, otherwise);
        if (value < least) {
            throw new FormatException(fields.location() + ": '" + name + "' has to be " + least + " or more, not " + value);
        }
    }

    /** This configuration, with what of another may change while a router runs and what each start has anew. */
    RouterConfig withDiscovery(RouterConfig other) {
        return new RouterConfig(name, listen, other.discovery, other.seed, sockets, peerListen, peers, peersAll,
            other.known, settings, vocabulary, transport);
    }

    private static long seed(Fields fields) {
        String text = fields.text("seed", "0");
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw new FormatException(fields.location() + ": 'seed' is no hexadecimal number");
        }
    }

    private static InetSocketAddress required(Fields fields, String name) {
        return address(fields.location(), name, fields.text(name));
    }

    private static InetSocketAddress optional(Fields fields, String name) {
        return fields.has(name) ? address(fields.location(), name, fields.text(name)) : null;
    }

    /** An address and port as text; names are not looked up. */
    static InetSocketAddress address(String where, String name, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= LAST_PORT && text.substring(0, colon).matches("[0-9.]+")) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new FormatException(where + ": '" + name + "' is no address and port: " + text);
    }
}
