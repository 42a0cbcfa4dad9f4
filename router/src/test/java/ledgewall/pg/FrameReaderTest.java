package ledgewall.pg;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;

class FrameReaderTest {
    private static final int MAX_LENGTH = 4096;

    private static List<Frame> read(FrameReader reader, byte[]... pieces) throws ProtocolException {
        List<Frame> frames = new ArrayList<>();
        for (byte[] piece : pieces) {
            reader.feed(ByteBuffer.wrap(piece), frames::add);
        }
        return frames;
    }

    @Test
    void splitsTheStreamIntoTheSameMessagesAtEveryPieceBoundary() throws ProtocolException {
        byte[] startup = Wire.startup("user", "u");
        byte[] query = Wire.query("SELECT 1");
        byte[] terminate = Wire.message('X');
        byte[] all = Wire.join(Wire.untypedPacket(80877103), startup, query, terminate);
        for (int cut = 0; cut <= all.length; cut++) {
            byte[] head = java.util.Arrays.copyOf(all, cut);
            byte[] tail = java.util.Arrays.copyOfRange(all, cut, all.length);
            FrameReader reader = FrameReader.ofClient(MAX_LENGTH);
            List<Frame> frames = read(reader, head, tail);
            assertEquals(4, frames.size(), "cut at " + cut);
            assertArrayEquals(startup, frames.get(1).bytes());
            assertEquals('Q', frames.get(2).type());
            assertArrayEquals(query, frames.get(2).bytes());
            assertEquals('X', frames.get(3).type());
            assertEquals(0, reader.bufferedBytes());
        }
    }

    @Test
    void readsMessagesThatArriveByteByByte() throws ProtocolException {
        byte[] all = Wire.join(Wire.startupReply(), Wire.row(new byte[900]), Wire.ready());
        FrameReader reader = FrameReader.ofHost(MAX_LENGTH);
        List<Frame> frames = new ArrayList<>();
        for (byte b : all) {
            reader.feed(ByteBuffer.wrap(new byte[] {b}), frames::add);
        }
        assertEquals("RSZTDCZ", frames.stream().map(f -> String.valueOf(f.type())).reduce("", String::concat));
    }

    @Test
    void rejectsInvalidLengths() {
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(MAX_LENGTH), Wire.join(new byte[] {'Q'}, Wire.int32(3))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(MAX_LENGTH), Wire.join(new byte[] {'Q'}, Wire.int32(-1))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(MAX_LENGTH), Wire.join(new byte[] {'D'}, Wire.int32(MAX_LENGTH + 1))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofClient(1 << 20), Wire.int32(10_001))); // above the limit before startup
    }

    @Test
    void buffersOnlyReceivedBytesOfAnAnnouncedMessage() throws ProtocolException {
        FrameReader reader = FrameReader.ofClient(1 << 20);
        read(reader, Wire.startup("user", "u"), Wire.join(new byte[] {'Q'}, Wire.int32(1 << 20), new byte[10]));
        assertEquals(15, reader.bufferedBytes());
    }

    @Test
    void rejectsAnUnknownOrUnexpectedTypeAtItsHeader() throws ProtocolException {
        FrameReader client = FrameReader.ofClient(MAX_LENGTH);
        read(client, Wire.startup("user", "u"));
        assertThrows(ProtocolException.class, () -> read(client, Wire.join(new byte[] {'z'}, Wire.int32(100))));
        FrameReader host = FrameReader.ofHost(MAX_LENGTH);
        read(host, Wire.startupReply(), Wire.rowDescription());
        assertThrows(ProtocolException.class, () -> read(host, Wire.join(new byte[] {'C'}, Wire.int32(20))));
    }

    @Test
    void randomBytesYieldFramesOrAProtocolException() {
        Random random = new Random(5);
        int rejected = 0;
        for (int iteration = 0; iteration < 2_000; iteration++) {
            byte[] randomBytes = new byte[random.nextInt(200)];
            random.nextBytes(randomBytes);
            FrameReader reader = iteration % 2 == 0 ? FrameReader.ofClient(MAX_LENGTH) : FrameReader.ofHost(MAX_LENGTH);
            try {
                read(reader, randomBytes);
                assertTrue(reader.bufferedBytes() <= MAX_LENGTH);
            } catch (ProtocolException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 1_000, "most random input announces a length out of bounds, rejected: " + rejected);
    }
}
