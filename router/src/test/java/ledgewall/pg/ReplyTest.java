package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;

class ReplyTest {
    private static final byte[] VALUE = {0, 1, (byte) 0xff, 'Z'};

    private static Reply reply(byte[]... parts) throws ProtocolException {
        List<Frame> frames = new ArrayList<>();
        FrameReader reader = FrameReader.ofHost(100_000);
        reader.feed(ByteBuffer.wrap(Wire.startupReply()), frame -> { });
        reader.feed(ByteBuffer.wrap(Wire.join(parts)), frames::add);
        Reply reply = new Reply();
        for (Frame frame : frames) {
            reply.accept(frame);
        }
        return reply;
    }

    @Test
    void keepsTheResultUnchangedWithoutNoticesAndParameters() throws ProtocolException {
        Reply reply = reply(Wire.param("mode", "read-only"), Wire.row(VALUE), Wire.message('N', Wire.text("Sn"), new byte[1]),
            Wire.param("wal_time", "7"), Wire.ready());
        assertTrue(reply.succeeded() && reply.ready());
        assertArrayEquals(Wire.row(VALUE), reply.resultMessages());
        assertEquals("read-only", reply.parameter("mode"));
        assertEquals("7", reply.parameter("wal_time"));
    }

    @Test
    void aRowWithoutCommandCompleteIsNotSuccess() throws ProtocolException {
        assertFalse(reply(Wire.rowDescription(), Wire.dataRow(VALUE)).succeeded());
    }

    @Test
    void reportsTheSqlStateOfAnError() throws ProtocolException {
        assertEquals("25006", reply(Wire.error("25006"), Wire.ready()).sqlState());
        assertEquals("XX000", reply(Wire.rowDescription(), Wire.error("XX000")).sqlState());
    }

    @Test
    void rejectsWhatIsNotAReplyToOneQuery() {
        byte[][] invalidReplies = {
            Wire.ready(), Wire.join(Wire.rowDescription(), Wire.rowDescription()), Wire.dataRow(VALUE),
            Wire.join(Wire.rowDescription(), Wire.dataRow(VALUE), Wire.dataRow(VALUE)),
            Wire.join(Wire.rowDescription(), Wire.message('C', Wire.text("SELECT 0"))),
            Wire.join(Wire.rowDescription(), Wire.message('D', Wire.int16(2), Wire.int32(0), Wire.int32(0))),
            Wire.join(Wire.rowDescription(), Wire.message('D', Wire.int16(1), Wire.int32(9), new byte[3])),
            Wire.join(Wire.rowDescription(), Wire.message('D', Wire.int16(1), Wire.int32(-5))),
            Wire.join(Wire.rowDescription(), Wire.dataRow(new byte[Reply.MAX_VALUE_BYTES + 1])),
            Wire.message('T', Wire.int16(2)), Wire.message('T', Wire.int16(1), Wire.text("data")),
            Wire.message('I'), Wire.message('G'), Wire.message('E', new byte[1]), Wire.message('S', new byte[] {'a'}),
            Wire.join(Wire.row(VALUE), Wire.error("XX000"))};
        for (byte[] bytes : invalidReplies) {
            assertThrows(ProtocolException.class, () -> reply(bytes));
        }
    }

    @Test
    void acceptsAValueOfTheMaximumSize() throws ProtocolException {
        assertTrue(reply(Wire.row(new byte[Reply.MAX_VALUE_BYTES])).succeeded());
    }

    @Test
    void randomMessagesYieldAReplyOrAProtocolException() {
        Random random = new Random(11);
        String types = "TDCESNIZ";
        int rejected = 0;
        for (int iteration = 0; iteration < 5_000; iteration++) {
            byte[] body = new byte[random.nextInt(12)];
            random.nextBytes(body);
            try {
                reply(Wire.rowDescription(), Wire.message(types.charAt(random.nextInt(types.length())), body));
            } catch (ProtocolException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 2_000, "most random messages are no valid reply, rejected: " + rejected);
    }

    @Test
    void aStartupReplyEndsInReadyForQueryOrAnError() throws ProtocolException {
        StartupReply startupReply = new StartupReply();
        startupReply.accept(new Frame('R', Wire.message('R', Wire.int32(0))));
        assertFalse(startupReply.ready());
        startupReply.accept(new Frame('Z', Wire.ready()));
        assertTrue(startupReply.ready());
        StartupReply rejection = new StartupReply();
        rejection.accept(new Frame('E', Wire.error("53300")));
        assertEquals("53300", rejection.sqlState());
        assertThrows(ProtocolException.class, () -> new StartupReply().accept(new Frame('R', Wire.message('R', Wire.int32(5)))));
        assertThrows(ProtocolException.class, () -> new StartupReply().accept(new Frame('T', Wire.rowDescription())));
    }
}
