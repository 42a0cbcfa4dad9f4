package ledgewall.simhost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Action;
import ledgewall.RoutingPolicy.Event;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;

/** Translates between the messages of the simulator's protocol and the policy's events and actions. */
final class Codec {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Values of the two low bits of {@code mark}, which hold the role of the answering member. */
    private static final int ROLE_PRIMARY = 1;
    private static final int ROLE_REPLICA = 2;

    private Codec() {
    }

    static List<RoutingPolicy.Listing> listings(Fields message) {
        return message.objects("elements").stream().map(Codec::listing).toList();
    }

    private static RoutingPolicy.Listing listing(Fields entry) {
        RoutingPolicy.Phase phase = switch (entry.text("phase", "IN")) {
            case "LAME" -> RoutingPolicy.Phase.DRAINING;
            case "OUT" -> RoutingPolicy.Phase.GONE;
            default -> RoutingPolicy.Phase.SERVING;
        };
        return new RoutingPolicy.Listing(
            entry.text("host"), entry.integer("shard", 0), (int) entry.integer("zone", 0),
            (int) entry.integer("classOfHost", 0), phase, entry.decimal("powerHint", 1),
            entry.decimal("isPrimary", 0) == 1, entry.integer("bornNs", 0));
    }

    static RoutingPolicy.ListKind listKind(Fields message) {
        String kind = message.text("kind");
        return switch (kind) {
            case "delta" -> RoutingPolicy.ListKind.DELTA;
            case "full" -> RoutingPolicy.ListKind.FULL;
            case "cached" -> RoutingPolicy.ListKind.CACHED;
            case "failed" -> RoutingPolicy.ListKind.FAILED;
            default -> throw new FormatException(message.location() + ": unknown list kind '" + kind + "'");
        };
    }

    /**
     * Converts a message to an event.
     *
     * @param originNs the time in nanoseconds that position 0 in the simulator's messages stands for
     * @return null if the type of message is unknown
     */
    static Event event(String type, Fields message, long originNs) {
        return switch (type) {
            case "ask" -> new RoutingPolicy.Arrival(
                message.integer("ticket"), (int) message.integer("lane"), (int) message.integer("party", 0),
                message.integer("dbNo"), message.integer("session", RoutingPolicy.NONE),
                message.integer("graceNs"), nanosSinceWrite(message.decimal("wroteMsAgo", 0)),
                message.flag("isRetry", false));
            case "verdict" -> outcome(message, originNs);
            case "headers" -> new RoutingPolicy.AnswerStarted(
                message.integer("ticket"), (int) message.integer("leg"), message.text("host"));
            case "lapsed" -> new RoutingPolicy.Abandoned(message.integer("ticket"));
            case "echo" -> new RoutingPolicy.ProbeResult(
                message.text("host"), result(message), message.integer("elapsedNs", 0), report(message, originNs));
            case "message" -> new RoutingPolicy.PeerMessage(
                (int) message.integer("author"), content(message));
            case "tickDue" -> new RoutingPolicy.TimerFired(message.integer("handle"));
            default -> null;
        };
    }

    /** Nanoseconds since the write, or {@link RoutingPolicy#NONE} if the message carries none. */
    private static long nanosSinceWrite(double millis) {
        return millis <= 0 ? RoutingPolicy.NONE : (long) Math.floor(millis * NANOS_PER_MILLI);
    }

    private static Event outcome(Fields message, long originNs) {
        long mark = message.integer("mark", 0); // role in the two low bits, position in milliseconds above them
        long positionMs = mark >> 2;
        return new RoutingPolicy.Outcome(
            message.integer("ticket"), (int) message.integer("leg"), message.text("host"), result(message),
            message.integer("elapsedNs", 0), message.flag("complete", false), role(mark & 3),
            positionMs == 0 ? RoutingPolicy.NONE : originNs + positionMs * NANOS_PER_MILLI, report(message, originNs));
    }

    private static RoutingPolicy.Role role(long roleBits) {
        if (roleBits == ROLE_PRIMARY) {
            return RoutingPolicy.Role.PRIMARY;
        }
        return roleBits == ROLE_REPLICA ? RoutingPolicy.Role.REPLICA : RoutingPolicy.Role.UNKNOWN;
    }

    private static RoutingPolicy.Result result(Fields message) {
        String result = message.text("result");
        return switch (result) {
            case "GOOD" -> RoutingPolicy.Result.OK;
            case "BAD" -> RoutingPolicy.Result.ERROR;
            case "FULL" -> RoutingPolicy.Result.REJECTED;
            case "LATE" -> RoutingPolicy.Result.TIMED_OUT;
            case "NOCONN" -> RoutingPolicy.Result.NOT_CONNECTED;
            case "RST" -> RoutingPolicy.Result.RESET;
            case "CXL" -> RoutingPolicy.Result.CANCELLED;
            case "NOP" -> RoutingPolicy.Result.NEVER_SENT;
            case "MISS" -> RoutingPolicy.Result.MISDIRECTED;
            default -> throw new FormatException(message.location() + ": unknown result '" + result + "'");
        };
    }

    /** Reads a member's report: {@code x0} is its position in seconds, {@code x1} is 1 for a primary and 0 for a replica. */
    private static RoutingPolicy.Report report(Fields message, long originNs) {
        if (!message.has("report")) {
            return null;
        }
        Fields report = message.object("report");
        RoutingPolicy.Role role = RoutingPolicy.Role.UNKNOWN;
        if (report.has("x1")) {
            role = report.decimal("x1", 0) == 1 ? RoutingPolicy.Role.PRIMARY : RoutingPolicy.Role.REPLICA;
        }
        long position = report.has("x0")
            ? originNs + (long) Math.floor(report.decimal("x0", 0) * NANOS_PER_SECOND) : RoutingPolicy.NONE;
        return new RoutingPolicy.Report(
            position, role, report.decimal("util", Double.NaN), report.decimal("queue", Double.NaN));
    }

    private static byte[] content(Fields message) {
        try {
            return Base64.getDecoder().decode(message.text("octets", ""));
        } catch (IllegalArgumentException e) {
            throw new FormatException(message.location() + ": 'octets' is no base64");
        }
    }

    /** Writes an action as a JSON object. */
    static void write(JsonGenerator out, int instanceId, Action action) throws IOException {
        out.writeStartObject();
        if (action instanceof RoutingPolicy.Send send) {
            writeHeader(out, "place", instanceId);
            out.writeNumberField("ticket", send.request());
            out.writeNumberField("giveUpAfterNs", send.timeout());
            out.writeStringField("host", send.member());
        } else if (action instanceof RoutingPolicy.Refuse refuse) {
            writeHeader(out, "overloadReply", instanceId);
            out.writeNumberField("ticket", refuse.request());
            out.writeNumberField("pauseNs", refuse.retryAfter());
        } else if (action instanceof RoutingPolicy.Fail fail) {
            writeHeader(out, "reportFailure", instanceId);
            out.writeNumberField("ticket", fail.request());
        } else if (action instanceof RoutingPolicy.Cancel cancel) {
            writeHeader(out, "dropAttempt", instanceId);
            out.writeNumberField("ticket", cancel.request());
            out.writeNumberField("leg", cancel.attempt());
        } else if (action instanceof RoutingPolicy.Probe probe) {
            writeHeader(out, "poll", instanceId);
            out.writeStringField("host", probe.member());
        } else if (action instanceof RoutingPolicy.SetTimer timer) {
            writeHeader(out, "after", instanceId);
            out.writeNumberField("whenNs", timer.at());
            out.writeNumberField("handle", timer.handle());
        } else if (action instanceof RoutingPolicy.Subscribe) {
            writeHeader(out, "keepInformed", instanceId);
            out.writeBooleanField("active", true);
        } else if (action instanceof RoutingPolicy.FetchList) {
            writeHeader(out, "getList", instanceId);
        } else if (action instanceof RoutingPolicy.Disconnect disconnect) {
            writeHeader(out, "dropConns", instanceId);
            out.writeStringField("host", disconnect.member());
        } else if (action instanceof RoutingPolicy.SendToPeer message) {
            writeHeader(out, "notify", instanceId);
            if (message.peer() == RoutingPolicy.NONE) {
                out.writeStringField("whom", "*");
            } else {
                out.writeNumberField("whom", message.peer());
            }
            out.writeStringField("octets", Base64.getEncoder().encodeToString(message.content()));
        } else if (action instanceof RoutingPolicy.LogMessage logMessage) {
            writeHeader(out, "trace", instanceId);
            out.writeStringField("line", logMessage.text());
        } else {
            throw new IllegalStateException("no wire form for " + action);
        }
        out.writeEndObject();
    }

    private static void writeHeader(JsonGenerator out, String type, int instanceId) throws IOException {
        out.writeStringField("what", type);
        out.writeNumberField("who", instanceId);
    }
}
