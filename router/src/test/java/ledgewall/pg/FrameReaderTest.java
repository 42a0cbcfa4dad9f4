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
    private static final int LONGEST = 4096;

    private static List<Frame> read(FrameReader reader, byte[]... pieces) throws ProtocolException {
        List<Frame> frames = new ArrayList<>();
        for (byte[] piece : pieces) {
            reader.feed(ByteBuffer.wrap(piece), frames::add);
        }
        return frames;
    }

    @Test
    void messagesComeOutTheSameWhereverTheyAreCut() throws ProtocolException {
        byte[] startup = Wire.startup("user", "u");
        byte[] query = Wire.query("SELECT 1");
        byte[] end = Wire.message('X');
        byte[] all = Wire.join(Wire.packet(80877103), startup, query, end);
        for (int cut = 0; cut <= all.length; cut++) {
            byte[] head = java.util.Arrays.copyOf(all, cut);
            byte[] tail = java.util.Arrays.copyOfRange(all, cut, all.length);
            FrameReader reader = FrameReader.ofClient(LONGEST);
            List<Frame> frames = read(reader, head, tail);
            assertEquals(4, frames.size(), "cut at " + cut);
            assertArrayEquals(startup, frames.get(1).bytes());
            assertEquals('Q', frames.get(2).type());
            assertArrayEquals(query, frames.get(2).bytes());
            assertEquals('X', frames.get(3).type());
            assertEquals(0, reader.held());
        }
    }

    @Test
    void aByteAtATimeIsEnough() throws ProtocolException {
        byte[] all = Wire.join(Wire.welcome(), Wire.row(new byte[900]), Wire.ready());
        FrameReader reader = FrameReader.ofHost(LONGEST);
        List<Frame> frames = new ArrayList<>();
        for (byte b : all) {
            reader.feed(ByteBuffer.wrap(new byte[] {b}), frames::add);
        }
        assertEquals("RSZTDCZ", frames.stream().map(f -> String.valueOf(f.type())).reduce("", String::concat));
    }

    @Test
    void lengthsThatCannotBeEndTheStream() {
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(LONGEST), Wire.join(new byte[] {'Q'}, Wire.int32(3))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(LONGEST), Wire.join(new byte[] {'Q'}, Wire.int32(-1))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofHost(LONGEST), Wire.join(new byte[] {'D'}, Wire.int32(LONGEST + 1))));
        assertThrows(ProtocolException.class,
            () -> read(FrameReader.ofClient(1 << 20), Wire.int32(10_001))); // before it has started
    }

    @Test
    void anAnnouncedLengthCostsNothingUntilItsBytesCome() throws ProtocolException {
        FrameReader reader = FrameReader.ofClient(1 << 20);
        read(reader, Wire.startup("user", "u"), Wire.join(new byte[] {'Q'}, Wire.int32(1 << 20), new byte[10]));
        assertEquals(15, reader.held());
    }

    @Test
    void aTypeThatIsNoneIsMetAtItsHeader() throws ProtocolException {
        FrameReader client = FrameReader.ofClient(LONGEST);
        read(client, Wire.startup("user", "u"));
        assertThrows(ProtocolException.class, () -> read(client, Wire.join(new byte[] {'z'}, Wire.int32(100))));
        FrameReader host = FrameReader.ofHost(LONGEST);
        read(host, Wire.welcome(), Wire.description());
        assertThrows(ProtocolException.class, () -> read(host, Wire.join(new byte[] {'C'}, Wire.int32(20))));
    }

    @Test
    void randomBytesEndInFramesOrInItsOwnException() {
        Random random = new Random(5);
        int refused = 0;
        for (int round = 0; round < 2_000; round++) {
            byte[] noise = new byte[random.nextInt(200)];
            random.nextBytes(noise);
            FrameReader reader = round % 2 == 0 ? FrameReader.ofClient(LONGEST) : FrameReader.ofHost(LONGEST);
            try {
                read(reader, noise);
                assertTrue(reader.held() <= LONGEST);
            } catch (ProtocolException e) {
                refused++;
            }
        }
        assertTrue(refused > 1_000, "most noise announces lengths out of bounds: " + refused);
    }
}
