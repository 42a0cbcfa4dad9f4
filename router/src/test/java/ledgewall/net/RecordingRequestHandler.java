package ledgewall.net;

import java.util.ArrayList;
import java.util.List;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.Statement;

/** Admits one connection, records what it submits and whether it has closed; tests answer the recorded slots. */
final class RecordingRequestHandler implements RequestHandler {
    private final List<ClientConnection.AnswerSlot> slots = new ArrayList<>();
    private int refusedCount;
    private int abandonedCount;
    private boolean closed;

    /** The slots of all submitted requests, in their order. */
    List<ClientConnection.AnswerSlot> slots() {
        return slots;
    }

    int refusedCount() {
        return refusedCount;
    }

    int abandonedCount() {
        return abandonedCount;
    }

    boolean isClosed() {
        return closed;
    }

    @Override
    public RequestHandler.Admission admit(ClientConnection client) {
        return RequestHandler.Admission.SERVED;
    }

    @Override
    public void refuse(ClientConnection.AnswerSlot slot) {
        refusedCount++;
        slot.complete(MessageWriter.readyForQuery());
    }

    @Override
    public void giveUp(ClientRequest request) {
        throw new AssertionError("too few bytes are buffered for that");
    }

    @Override
    public ClientRequest submit(Statement statement, ClientConnection.AnswerSlot slot, long receivedAt,
                                RequestHandler.ClientIdentity from) {
        slots.add(slot);
        return new ClientRequest(slots.size(), statement, receivedAt, slot);
    }

    @Override
    public boolean acceptsUncommentedStatements() {
        return false;
    }

    @Override
    public void requestAbandoned(ClientRequest request) {
        abandonedCount++;
    }

    @Override
    public void connectionClosed(ClientConnection client) {
        closed = true;
    }

    @Override
    public void commandReceived(ClientConnection client) {
        // not needed by these tests
    }

    @Override
    public void connectionIdle(ClientConnection client) {
        // not needed by these tests
    }
}
