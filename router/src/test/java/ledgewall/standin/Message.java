package ledgewall.standin;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One message read from a socket; its type is 0 for a packet without a type byte. */
public record Message(char type, byte[] body) {
    /** The next message, or null at the end of the stream. */
    public static Message read(DataInputStream in, boolean hasTypeByte) throws IOException {
        try {
            char type = hasTypeByte ? (char) in.readUnsignedByte() : 0;
            byte[] body = new byte[in.readInt() - 4];
            in.readFully(body);
            return new Message(type, body);
        } catch (EOFException e) {
            return null;
        }
    }

    /** The body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The value of a field of an ErrorResponse, or null. */
    public String field(char name) {
        List<String> fields = new ArrayList<>(List.of(text().split("\0")));
        return fields.stream().filter(f -> !f.isEmpty() && f.charAt(0) == name).map(f -> f.substring(1)).findFirst()
            .orElse(null);
    }
}
