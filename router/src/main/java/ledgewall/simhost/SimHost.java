package ledgewall.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ledgewall.RoutingPolicy;
import ledgewall.settings.Fields;
import ledgewall.settings.FormatException;
import ledgewall.settings.SettingsReader;

/**
 * Runs the router instances of a simulator, with one policy each. It reads batches of messages as lines of JSON, passes them
 * to the policies as events, and writes their actions back.
 */
public final class SimHost {
    private final JsonFactory json = new JsonFactory();
    private final RoutingPolicy.Factory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** Member lists by {@code rosterId}. */
    private final Map<Long, List<RoutingPolicy.Listing>> lists = new HashMap<>();

    /** A running instance, the time in nanoseconds that its position 0 stands for, and its events of the current batch. */
    private record Instance(RoutingPolicy policy, long originNs, List<RoutingPolicy.Event> events) { }

    public SimHost(RoutingPolicy.Factory factory) {
        this.factory = factory;
    }

    /** Writes one line of output for each line of input, until the input ends. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        long lineNumber = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            lineNumber++;
            out.write(reply(line, "line " + lineNumber).getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /**
     * Processes a batch and returns the reply, including its line break.
     *
     * @param location the location of the batch, for error messages
     * @throws FormatException if the batch is malformed; there is no partial reply
     */
    String reply(String line, String location) throws IOException {
        Map<Integer, Instance> affected = new LinkedHashMap<>();
        long now = readBatch(line, location, affected);
        StringWriter text = new StringWriter();
        try (JsonGenerator out = json.createGenerator(text)) {
            out.writeStartObject();
            out.writeArrayFieldStart("do");
            for (Map.Entry<Integer, Instance> entry : affected.entrySet()) {
                Instance instance = entry.getValue();
                List<RoutingPolicy.Event> events = List.copyOf(instance.events());
                instance.events().clear();
                for (RoutingPolicy.Action action : instance.policy().decide(now, events)) {
                    if (!(action instanceof RoutingPolicy.Forget)) { // this process holds no connections to release
                        Codec.write(out, entry.getKey(), action);
                    }
                }
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private long readBatch(String line, String location, Map<Integer, Instance> affected) throws IOException {
        Long now = null;
        List<Fields> messages = new ArrayList<>();
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new FormatException(location + ": no JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                if (name.equals("atTimeNs") && token == JsonToken.VALUE_NUMBER_INT) {
                    now = parser.getLongValue();
                } else if (name.equals("msgs") && token == JsonToken.START_ARRAY) {
                    readMessages(parser, location, messages);
                } else {
                    parser.skipChildren();
                }
            }
            if (parser.nextToken() != null) {
                throw new FormatException(location + ": more than one value");
            }
        } catch (JsonProcessingException e) {
            throw new FormatException(location + ": no JSON: " + e.getOriginalMessage());
        }
        if (now == null) {
            throw new FormatException(location + ": lacks 'atTimeNs'");
        }
        for (Fields message : messages) {
            handle(message, affected);
        }
        return now;
    }

    private static void readMessages(JsonParser parser, String location, List<Fields> messages) throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String messageLocation = location + ", msgs[" + messages.size() + "]";
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw new FormatException(messageLocation + ": no object");
            }
            messages.add(Fields.read(parser, messageLocation));
        }
    }

    private void handle(Fields message, Map<Integer, Instance> affected) {
        String type = message.text("what");
        switch (type) {
            case "defineList" -> lists.put(message.integer("rosterId"), Codec.listings(message));
            case "begin" -> {
                int instanceId = (int) message.integer("who");
                if (!message.has("info")) {
                    throw new FormatException(message.location() + ": lacks 'info'");
                }
                Fields info = message.object("info");
                RoutingPolicy policy = factory.create(SettingsReader.settings(info), message.integer("salt"));
                long originNs = info.object("domain").integer("originTimeNs", 0);
                Instance instance = new Instance(policy, originNs, new ArrayList<>());
                instances.put(instanceId, instance);
                affected.put(instanceId, instance);
            }
            case "teardown" -> {
                int instanceId = (int) message.integer("who");
                instances.remove(instanceId);
                affected.remove(instanceId);
            }
            default -> deliver(type, message, affected);
        }
    }

    private void deliver(String type, Fields message, Map<Integer, Instance> affected) {
        Instance instance = instances.get((int) message.integer("who", -1));
        RoutingPolicy.Event event = type.equals("directoryUpdate")
            ? memberList(message) : Codec.event(type, message, instance == null ? 0 : instance.originNs());
        if (event == null) {
            return; // unknown type of message
        }
        int instanceId = (int) message.integer("who");
        if (instance != null) { // otherwise the instance has been torn down
            instance.events().add(event);
            affected.put(instanceId, instance);
        }
    }

    private RoutingPolicy.MemberList memberList(Fields message) {
        RoutingPolicy.ListKind kind = Codec.listKind(message);
        if (kind == RoutingPolicy.ListKind.FAILED) {
            return new RoutingPolicy.MemberList(kind, List.of());
        }
        List<RoutingPolicy.Listing> listings = lists.get(message.integer("rosterId"));
        if (listings == null) {
            throw new FormatException(message.location() + ": 'rosterId' names a list never defined");
        }
        return new RoutingPolicy.MemberList(kind, listings);
    }
}
