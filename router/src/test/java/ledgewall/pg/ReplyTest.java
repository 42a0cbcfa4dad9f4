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
        reader.feed(ByteBuffer.wrap(Wire.welcome()), greeting -> { });
        reader.feed(ByteBuffer.wrap(Wire.join(parts)), frames::add);
        Reply reply = new Reply();
        for (Frame frame : frames) {
            reply.accept(frame);
        }
        return reply;
    }

    @Test
    void aRowIsPassedOnAsItCameWithoutWhatStandsBesideIt() throws ProtocolException {
        Reply reply = reply(Wire.set("mode", "read-only"), Wire.row(VALUE), Wire.message('N', Wire.text("Sn"), new byte[1]),
            Wire.set("wal_time", "7"), Wire.ready());
        assertTrue(reply.served() && reply.ready());
        assertArrayEquals(Wire.row(VALUE), reply.answer());
        assertEquals("read-only", reply.parameter("mode"));
        assertEquals("7", reply.parameter("wal_time"));
    }

    @Test
    void aRowWithoutItsCompletionIsNoAnswer() throws ProtocolException {
        assertFalse(reply(Wire.description(), Wire.dataRow(VALUE)).served());
    }

    @Test
    void anErrorTellsItsCode() throws ProtocolException {
        assertEquals("25006", reply(Wire.error("25006"), Wire.ready()).sqlState());
        assertEquals("XX000", reply(Wire.description(), Wire.error("XX000")).sqlState());
    }

    @Test
    void whatIsNoAnswerToOneQueryEndsTheConnection() {
        byte[][] wrong = {
            Wire.ready(), Wire.join(Wire.description(), Wire.description()), Wire.dataRow(VALUE),
            Wire.join(Wire.description(), Wire.dataRow(VALUE), Wire.dataRow(VALUE)),
            Wire.join(Wire.description(), Wire.message('C', Wire.text("SELECT 0"))),
            Wire.join(Wire.description(), Wire.message('D', Wire.int16(2), Wire.int32(0), Wire.int32(0))),
            Wire.join(Wire.description(), Wire.message('D', Wire.int16(1), Wire.int32(9), new byte[3])),
            Wire.join(Wire.description(), Wire.message('D', Wire.int16(1), Wire.int32(-5))),
            Wire.join(Wire.description(), Wire.dataRow(new byte[Reply.LONGEST_VALUE + 1])),
            Wire.message('T', Wire.int16(2)), Wire.message('T', Wire.int16(1), Wire.text("data")),
            Wire.message('I'), Wire.message('G'), Wire.message('E', new byte[1]), Wire.message('S', new byte[] {'a'}),
            Wire.join(Wire.row(VALUE), Wire.error("XX000"))};
        for (byte[] bytes : wrong) {
            assertThrows(ProtocolException.class, () -> reply(bytes));
        }
    }

    @Test
    void theLongestValueFits() throws ProtocolException {
        assertTrue(reply(Wire.row(new byte[Reply.LONGEST_VALUE])).served());
    }

    @Test
    void randomMessagesEndInAnswersOrInItsOwnException() {
        Random random = new Random(11);
        String types = "TDCESNIZ";
        int broken = 0;
        for (int round = 0; round < 5_000; round++) {
            byte[] body = new byte[random.nextInt(12)];
            random.nextBytes(body);
            try {
                reply(Wire.description(), Wire.message(types.charAt(random.nextInt(types.length())), body));
            } catch (ProtocolException e) {
                broken++;
            }
        }
        assertTrue(broken > 2_000, "most noise is no answer: " + broken);
    }

    @Test
    void aGreetingIsReadyOrTurnsAway() throws ProtocolException {
        Greeting greeting = new Greeting();
        greeting.accept(new Frame('R', Wire.message('R', Wire.int32(0))));
        assertFalse(greeting.ready());
        greeting.accept(new Frame('Z', Wire.ready()));
        assertTrue(greeting.ready());
        Greeting full = new Greeting();
        full.accept(new Frame('E', Wire.error("53300")));
        assertEquals("53300", full.sqlState());
        assertThrows(ProtocolException.class, () -> new Greeting().accept(new Frame('R', Wire.message('R', Wire.int32(5)))));
        assertThrows(ProtocolException.class, () -> new Greeting().accept(new Frame('T', Wire.description())));
    }
}
