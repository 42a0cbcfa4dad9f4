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

/**
 * The configuration of one router.
 *
 * @param name the router's name in log lines
 * @param listen the address on which clients connect
 * @param discovery the address of the discovery service
 * @param seed for all random choices of this router
 * @param descriptorLimit how many file descriptors the router may use
 * @param peerListen the address on which datagrams from other routers are received, or null
 * @param peers the addresses of all routers, this one included; a router's index in the list is its number
 * @param allPeersAddress the address that reaches all routers, or null
 * @param knownList the list of members known before the start
 * @param settings what the routing policy is configured with
 * @param vocabulary the names of classes, tenants, zones and kinds
 * @param transport timeouts and other limits of connections
 */
public record RouterConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int descriptorLimit,
                           InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress allPeersAddress,
                           ListUpdate knownList, RoutingPolicy.Settings settings, Vocabulary vocabulary,
                           TransportLimits transport) {
    private static final int HEX_RADIX = 16;
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;
    private static final int MAX_PORT = 65535;

    /** Reads the configuration file; throws a {@link FormatException} that describes the fault if it is invalid. */
    public static RouterConfig read(Path file) throws IOException {
        return parse(Files.readAllBytes(file), file.getFileName().toString());
    }

    static RouterConfig parse(byte[] json, String source) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new FormatException(source + ": no JSON object");
            }
            return fromFields(Fields.read(parser, source));
        } catch (JsonProcessingException e) {
            throw new FormatException(source + ": no JSON: " + e.getOriginalMessage());
        }
    }

    private static RouterConfig fromFields(Fields fields) {
        if (!fields.has("settings")) {
            throw new FormatException(fields.location() + ": lacks 'settings'");
        }
        Fields settings = fields.object("settings");
        ListUpdate knownList = fields.has("known") ? ListParser.fromFields(fields.object("known"))
            : new ListUpdate(0, true, List.of());
        List<InetSocketAddress> peers = fields.elements("peers").stream()
            .map(peer -> parseAddress(fields.location(), "peers", peer.toString())).toList();
        validateFleetSize(settings, peers.size());
        validateMinimum(1, fields.object("limits"), "sockets", DEFAULT_DESCRIPTOR_LIMIT);
        Fields ceilings = settings.object("ceilings");
        validateMinimum(1, ceilings, "maxAttempts", 1);
        validateMinimum(0, ceilings, "connectTimeoutNs", 0);
        validateMinimum(0, ceilings, "connIdleNs", 0);
        return new RouterConfig(
            fields.text("name", "router"), requiredAddress(fields, "listen"), requiredAddress(fields, "discovery"),
            seed(fields), (int) fields.object("limits").integer("sockets", DEFAULT_DESCRIPTOR_LIMIT),
            optionalAddress(fields, "peer_listen"), peers, optionalAddress(fields, "peers_all"), knownList,
            SettingsReader.settings(settings), SettingsReader.vocabulary(settings),
            SettingsReader.transportLimits(settings));
    }

    /** Checks the numbers that determine each router's share of fleet-wide limits; a missing one is an error too. */
    private static void validateFleetSize(Fields settings, int peers) {
        long routers = settings.integer("peersTotal");
        long rank = settings.integer("rank");
        if (routers < 1 || routers > Integer.MAX_VALUE) {
            throw new FormatException(settings.location() + ": 'peersTotal' must be 1 or more, not " + routers);
        }
        if (rank < 0 || rank >= routers) {
            throw new FormatException(settings.location() + ": 'rank' must be between 0 and " + (routers - 1) + ", not " + rank);
        }
        if (peers > 0 && peers != routers) {
            throw new FormatException(settings.location() + ": 'peersTotal' is " + routers + ", but 'peers' lists " + peers);
        }
    }

    private static void validateMinimum(long minimum, Fields fields, String name, long defaultValue) {
        long value = fields.integer(name, defaultValue);
        if (value < minimum) {
            throw new FormatException(fields.location() + ": '" + name + "' must be " + minimum + " or more, not " + value);
        }
    }

    /**
     * This configuration with those values of another that may change while a router runs (the address of discovery) or
     * that differ at each start (the seed and the known list).
     */
    RouterConfig withReloadable(RouterConfig other) {
        return new RouterConfig(name, listen, other.discovery, other.seed, descriptorLimit, peerListen, peers, allPeersAddress,
            other.knownList, settings, vocabulary, transport);
    }

    private static long seed(Fields fields) {
        String text = fields.text("seed", "0");
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new FormatException(fields.location() + ": 'seed' is not a hexadecimal number");
        }
    }

    private static InetSocketAddress requiredAddress(Fields fields, String name) {
        return parseAddress(fields.location(), name, fields.text(name));
    }

    private static InetSocketAddress optionalAddress(Fields fields, String name) {
        return fields.has(name) ? parseAddress(fields.location(), name, fields.text(name)) : null;
    }

    /** Parses an IPv4 address and port; host names are rejected, since none are looked up. */
    static InetSocketAddress parseAddress(String source, String name, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT && text.substring(0, colon).matches("[0-9.]+")) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new FormatException(source + ": '" + name + "' is not an address and port: " + text);
    }
}
