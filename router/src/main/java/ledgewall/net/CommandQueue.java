package ledgewall.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import ledgewall.pg.ClientMessage;

/** A client's commands that wait for earlier ones to be answered, or for their turn. Counts the memory that they take. */
final class CommandQueue {
    private final Deque<Command> commands = new ArrayDeque<>();
    private int heapBytes;
    private int requestCount;

    /** A command, and when it was received. */
    record Command(ClientMessage message, long receivedAt) {
        private static final int COMMAND_BYTES = 64;
        /** A statement's fields and names beside its bytes. */
        private static final int STATEMENT_BYTES = 320;

        boolean isRequest() {
            return message instanceof ClientMessage.Query;
        }

        private int heapBytes() {
            return message instanceof ClientMessage.Query query ? COMMAND_BYTES + STATEMENT_BYTES + query.statement().size()
                : COMMAND_BYTES;
        }
    }

    void addAll(List<ClientMessage> messages, long receivedAt) {
        for (ClientMessage message : messages) {
            Command command = new Command(message, receivedAt);
            commands.add(command);
            heapBytes += command.heapBytes();
            requestCount += command.isRequest() ? 1 : 0;
        }
    }

    Command peek() {
        return commands.peek();
    }

    Command poll() {
        Command command = commands.poll();
        heapBytes -= command.heapBytes();
        requestCount -= command.isRequest() ? 1 : 0;
        return command;
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Whether a request is among the commands. */
    boolean holdsRequests() {
        return requestCount > 0;
    }

    /** About how much of the heap the commands take. */
    int heapBytes() {
        return heapBytes;
    }

    void clear() {
        commands.clear();
        heapBytes = 0;
        requestCount = 0;
    }
}
