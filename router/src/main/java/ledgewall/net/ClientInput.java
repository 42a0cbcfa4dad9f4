package ledgewall.net;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.pg.ClientMessage;
import ledgewall.pg.Frame;
import ledgewall.pg.FrameReader;
import ledgewall.pg.ProtocolException;
import org.apache.mina.core.session.IoSession;

/**
 * What a client sends, on its way from the I/O thread, which parses it, to the event loop. Reading is suspended while much of it
 * waits, so that a client that sends fast can neither outrun the loop nor fill its queue.
 */
final class ClientInput {
    /** Reads that wait for the event loop at which reading is suspended. */
    private static final int MAX_QUEUED_READS = 4;
    /** Commands in those reads at which reading is suspended: a read can hold thousands of short ones. */
    private static final int MAX_QUEUED_COMMANDS = 2 * InputScheduler.COMMANDS_PER_CONNECTION;

    private final boolean acceptsUncommentedStatements;
    private final BufferedBytes bufferedBytes;
    private final FrameReader frameReader;
    private final ReadGate readGate = new ReadGate();
    private final AtomicInteger queuedReads = new AtomicInteger();
    private final AtomicInteger queuedCommands = new AtomicInteger();
    /** Used by the event loop only. */
    private long processedReads;

    ClientInput(int maxMessageBytes, boolean acceptsUncommentedStatements, BufferedBytes bufferedBytes) {
        this.bufferedBytes = bufferedBytes;
        this.frameReader = FrameReader.ofClient(maxMessageBytes);
        this.acceptsUncommentedStatements = acceptsUncommentedStatements;
    }

    /**
     * One read.
     *
     * @param messages the messages that it completes
     * @param partialBytes how many bytes of the message after them have been received
     * @param bufferSize the size of the buffer for that message
     * @param violation the reason for which the bytes behind the messages cannot be parsed, or null
     * @param size the number of bytes read
     */
    record Read(List<ClientMessage> messages, int partialBytes, int bufferSize, String violation, int size, long receivedAt) {
        /** Whether the client ends its session with this read. */
        boolean endsSession() {
            return !messages.isEmpty() && messages.get(messages.size() - 1) instanceof ClientMessage.Terminate;
        }
    }

    /** Called on the I/O thread: parses what has been read, and counts it until the event loop has processed it. */
    Read receive(ByteBuffer bytes, long receivedAt, IoSession session) {
        Read read = parse(bytes, receivedAt);
        int commands = queuedCommands.addAndGet(read.messages().size());
        bufferedBytes.addUnprocessed(read.size());
        if (queuedReads.incrementAndGet() >= MAX_QUEUED_READS || commands >= MAX_QUEUED_COMMANDS || read.violation() != null
                || bufferedBytes.isMuchUnprocessed()) {
            session.suspendRead(); // resumed by the event loop once it has processed enough of it
        }
        readGate.delivered();
        return read;
    }

    private Read parse(ByteBuffer bytes, long receivedAt) {
        int size = bytes.remaining();
        List<ClientMessage> messages = new ArrayList<>();
        try {
            List<Frame> frames = new ArrayList<>();
            try {
                frameReader.feed(bytes, frames::add);
            } finally {
                for (Frame frame : frames) {
                    messages.add(ClientMessage.parse(frame, acceptsUncommentedStatements));
                }
            }
        } catch (ProtocolException e) {
            return new Read(messages, 0, frameReader.capacity(), e.getMessage(), size, receivedAt);
        }
        return new Read(messages, frameReader.bufferedBytes(), frameReader.capacity(), null, size, receivedAt);
    }

    /** Called on the event loop, which is about to process a read. */
    void processed(Read read) {
        queuedReads.decrementAndGet();
        queuedCommands.addAndGet(-read.messages().size());
        bufferedBytes.addUnprocessed(-read.size());
        processedReads++;
    }

    /** Whether a read waits for the event loop. Its bytes have been acknowledged, so that requests in it have to be answered. */
    boolean hasQueuedReads() {
        return queuedReads.get() > 0;
    }

    /** Whether another read may wait for the event loop. */
    boolean hasCapacity() {
        return queuedReads.get() < MAX_QUEUED_READS;
    }

    /** The number of reads that the event loop has processed. */
    long processedReads() {
        return processedReads;
    }

    /** What the I/O thread has to pass in order to read. */
    ReadGate readGate() {
        return readGate;
    }

    /** Has the I/O thread read nothing more. */
    void stop() {
        readGate.close();
    }

    /** Has the I/O thread read nothing more, unless something has been read that the event loop has not processed. */
    boolean stopIfAllIsProcessed() {
        return readGate.closeIf(() -> !hasQueuedReads());
    }

    /** Whether everything that has been read has been processed. */
    boolean isProcessed() {
        return !hasQueuedReads() && !readGate.isDelivering();
    }
}
