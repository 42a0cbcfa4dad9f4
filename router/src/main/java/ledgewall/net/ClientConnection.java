package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import ledgewall.pg.ClientMessage;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.SqlState;
import ledgewall.pg.Statement;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's connection. Commands may be pipelined; their answers are written in the order of the commands. */
final class ClientConnection implements Endpoint, InputScheduler.Source {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /** Longest message, in bytes: a statement with a value of 64 KiB in hexadecimal digits, and room for the rest of it. */
    private static final int MAX_MESSAGE_BYTES = 192 * 1024;
    /** Unanswered commands at which further ones are queued until some are answered. */
    private static final int MAX_PIPELINED_COMMANDS = 64;
    /** Memory for queued commands, in bytes as {@link CommandQueue#heapBytes()} counts them, at which they are refused. */
    private static final int MAX_QUEUED_BYTES = 512 * 1024;
    /** What a submitted request takes of the heap beside its bytes: its fields, its timer, its attempts, the policy's state. */
    private static final int REQUEST_BYTES = 1_536;
    private static final int ANSWER_SLOT_BYTES = 48;
    /** Answers that wait for an earlier command's at which that command's request, and all others, are given up. */
    private static final int MAX_WAITING_ANSWERS = 4_096;

    /**
     * Time within which a client has to send a complete command. A client that sends none has to get an error, or see its
     * connection closed, within 3 s; the sweep detects it up to 0.25 s late, and connecting takes part of the 3 s too.
     */
    private static final long COMMAND_TIMEOUT_NANOS = Clock.millisToNanos(2_300);
    /** A client asks for encryption at most once by SSLRequest and once by GSSENCRequest. */
    private static final int MAX_ENCRYPTION_REQUESTS = 2;
    /** Invalid commands at which the connection ends: no ordinary client sends so many. */
    private static final int MAX_INVALID_COMMANDS = 8;

    private final RouterContext context;
    private final RequestHandler requestHandler;
    private final ClientInput input;
    private final Deque<AnswerSlot> answerSlots = new ArrayDeque<>();
    private final CommandQueue queuedCommands = new CommandQueue();
    private final IncompleteMessage incompleteMessage = new IncompleteMessage();
    private final InputScheduler.Quota quota;
    private final RequestIds.Share idShare = new RequestIds.Share();
    /** Answers that are ready, in order; written together at the end of a turn's commands. */
    private final AnswerWriter answerWriter;
    private IoSession session;
    private RequestHandler.ClientIdentity client = new RequestHandler.ClientIdentity("", "", "");
    /** Null until the event loop has heard of the connection. */
    private RequestHandler.Admission admission;
    private boolean closed;
    private boolean skipsUntilSync;
    private boolean closing;
    /** Whether the close has to wait for what the client sent while the router had suspended reading. */
    private boolean readsPutOff;
    private boolean closesAfterNextAnswer;
    /** The error with which the connection ends, or null. */
    private String failure;
    private boolean processingQueue;
    /** Size of the statements whose answers have not been written. */
    private int statementBytesInHand;
    private int readBufferSize;
    /** Submitted requests without an answer. */
    private int requestsInHand;
    /** Whether the client has ended its sending. */
    private boolean inputEnded;
    /** Whether a close waits for a pass of the I/O thread, by {@link #closeOnceAllIsRead}. */
    private boolean awaitingReads;
    /** Size of the answers that wait for an earlier command's. */
    private int waitingAnswerBytes;
    private boolean commandReceived;
    private int invalidCommands;
    private int encryptionRequests;
    private long openedAt;
    private long idleSince;

    /** One command's place in the order of answers, and its answer once there is one. */
    final class AnswerSlot {
        private ClientRequest request;
        private byte[] answer;
        private int statementBytes;
        private boolean closesConnection;
        private boolean refused;
        private boolean inHand;

        /** The ids that requests of this slot's connection hold. */
        RequestIds.Share idShare() {
            return idShare;
        }

        void complete(byte[] message) {
            setAnswer(message);
            flush();
        }

        private void setAnswer(byte[] message) {
            answer = message;
            waitingAnswerBytes += message.length;
            if (inHand) {
                inHand = false;
                requestsInHand--;
            }
        }
    }

    ClientConnection(RouterContext context, RequestHandler requestHandler) {
        this.context = context;
        this.requestHandler = requestHandler;
        this.input = new ClientInput(MAX_MESSAGE_BYTES, requestHandler.acceptsUncommentedStatements(),
            context.bufferedBytes());
        this.answerWriter = new AnswerWriter(context);
        this.quota = context.loop().inputScheduler().new Quota();
    }

    @Override
    public void opened(IoSession newSession) {
        session = newSession;
        answerWriter.open(session);
        openedAt = context.loop().now();
        admission = requestHandler.admit(this);
    }

    @Override
    public void written(int bytes) {
        answerWriter.written(bytes);
        if (closed) {
            context.bufferedBytes().set(this, answerWriter.unsentBytes());
        } else {
            processQueued();
        }
    }

    @Override
    public ReadGate readGate() {
        return input.readGate();
    }

    @Override
    public Runnable receive(ByteBuffer bytes, long receivedAt, IoSession from) {
        ClientInput.Read read = input.receive(bytes, receivedAt, from);
        return () -> {
            input.processed(read);
            if (!closed) {
                process(read);
            }
            if (!closed) {
                continueAfterRead();
            }
        };
    }

    private void process(ClientInput.Read read) {
        readBufferSize = read.bufferSize();
        incompleteMessage.update(read.partialBytes(), !read.messages().isEmpty(), read.receivedAt());
        queuedCommands.addAll(read.messages(), read.receivedAt());
        if (failure != null) {
            refuseQueuedCommands();
            return;
        }
        if (read.endsSession()) {
            inputEnded(read.receivedAt()); // at once, not in its turn: its client has left
            return;
        }
        processQueued();
        if (queuedCommands.heapBytes() > MAX_QUEUED_BYTES) {
            shedQueuedCommands();
        }
        if (read.violation() != null) {
            failConnection(read.violation());
        }
    }

    private void continueAfterRead() {
        if (failure != null) {
            closeWithFailure();
        } else if (closing && isQuiescent()) {
            closeIfAllIsRead(); // the close waited for this read, which held no complete command
        } else {
            updateReading();
        }
    }

    /**
     * Processes queued commands while there is capacity, and leaves to later turns what is more than the connection's share of
     * this one; reading resumes only once none is queued.
     */
    @Override
    public void processQueued() {
        if (processingQueue) {
            return; // called again by an answer that a command got at once
        }
        processingQueue = true;
        while (!closed && !queuedCommands.isEmpty() && hasCapacity()) {
            if (!quota.take(queuedCommands.peek().isRequest())) {
                context.loop().inputScheduler().defer(this);
                break;
            }
            CommandQueue.Command command = queuedCommands.poll();
            process(command.message(), command.receivedAt());
        }
        processingQueue = false;
        writeAnswers();
        if (closed) {
            return;
        }
        updateReading();
    }

    /**
     * Frees memory of a queue that has grown too long while reading must go on: queued requests are refused. What a connection
     * may process in one turn suffices for what a client pipelines that waits for answers; if it does not, or if too many
     * answers wait for an earlier one, the requests in hand are given up, and reading may be suspended.
     */
    private void shedQueuedCommands() {
        if (closed || requestsInHand == 0) {
            return; // reading is suspended until the queue is processed
        }
        context.counters().add(Counters.Count.QUEUES_SHED);
        LOG.debug("event=queue_shed bytes={} in_hand={} waiting={}", queuedCommands.heapBytes(), requestsInHand,
            answerSlots.size());
        while (!closed && queuedCommands.heapBytes() > MAX_QUEUED_BYTES && quota.take(false)) {
            refuseNextCommand();
        }
        if (queuedCommands.heapBytes() > MAX_QUEUED_BYTES || answerSlots.size() > MAX_WAITING_ANSWERS) {
            giveUpRequests();
        }
        processQueued();
    }

    /** Answers the requests in hand at once: as refused those of which nothing was sent, the others as failed. */
    private void giveUpRequests() {
        for (AnswerSlot slot : List.copyOf(answerSlots)) {
            if (slot.inHand) {
                requestHandler.giveUp(slot.request);
            }
        }
    }

    private void writeAnswers() {
        if (!closed) {
            answerWriter.flush();
        }
    }

    /**
     * Suspends or resumes reading. While a request is in hand the router reads on, since only that tells it that the client has
     * left: the end of the stream lies behind all that the client has sent. Without one, reading depends on capacity.
     */
    private void updateReading() {
        updateBufferedBytes();
        if (closed) {
            return;
        }
        boolean takesCommands = queuedCommands.isEmpty() && hasCapacity() && (!closing || readsPutOff) && input.hasCapacity();
        boolean shouldRead = !inputEnded && failure == null && (takesCommands || requestsInHand > 0 && input.hasCapacity());
        if (takesCommands || clientTakesNoAnswers()) {
            incompleteMessage.resume(context.loop().now());
        } else {
            incompleteMessage.pause(context.loop().now());
        }
        if (shouldRead && session.isReadSuspended()) {
            session.resumeRead();
        } else if (!shouldRead && !session.isReadSuspended()) {
            context.counters().add(Counters.Count.READS_SUSPENDED);
            session.suspendRead();
        }
        if (takesCommands && closing && !awaitingReads) {
            closeOnceAllIsRead();
        }
    }

    /** Lets a close that waits for put-off reads go on once a whole pass of the I/O thread has found nothing more to read. */
    private void closeOnceAllIsRead() {
        awaitingReads = true;
        long readsBefore = input.processedReads();
        context.transport().afterPendingReads(() -> {
            awaitingReads = false;
            if (closed) {
                return;
            }
            if (input.processedReads() != readsBefore || session.isReadSuspended()) {
                updateReading(); // which comes here again
                return;
            }
            readsPutOff = false;
            closeWhenAnswered();
        });
    }

    /** Ends the connection once its commands are answered, and those that the client sent while the router did not read. */
    private void beginClosing() {
        if (!closing) {
            closing = true;
            readsPutOff = (session.isReadSuspended() || !queuedCommands.isEmpty()) && !clientTakesNoAnswers();
        }
    }

    private void process(ClientMessage message, long receivedAt) {
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            commandReceived = true;
            requestHandler.commandReceived(this);
        }
        if (message instanceof ClientMessage.Query query && !skipsUntilSync) {
            handleQuery(query.statement(), receivedAt);
        } else if (message instanceof ClientMessage.Startup startup) {
            handleStartup(startup);
        } else if (message instanceof ClientMessage.EncryptionRequest) {
            if (++encryptionRequests > MAX_ENCRYPTION_REQUESTS) {
                failConnection("encryption is not offered");
            } else {
                respond(new byte[] {'N'});
            }
        } else if (message instanceof ClientMessage.CancelRequest || message instanceof ClientMessage.Terminate) {
            inputEnded(receivedAt);
        } else if (message instanceof ClientMessage.Sync) {
            skipsUntilSync = false;
            respond(MessageWriter.readyForQuery());
        } else if (message instanceof ClientMessage.ExtendedQuery && !skipsUntilSync) {
            skipsUntilSync = true;
            respond(MessageWriter.error(SqlState.FEATURE_NOT_SUPPORTED, "the extended query protocol is not supported"));
        } else if (message instanceof ClientMessage.EmptyQuery && !skipsUntilSync) {
            respond(MessageWriter.join(MessageWriter.emptyQueryResponse(), MessageWriter.readyForQuery()));
        } else if (message instanceof ClientMessage.Rejected rejected && !skipsUntilSync) {
            rejectCommand(rejected.sqlState(), rejected.reason());
        } else if (message instanceof ClientMessage.ProtocolViolation violation) {
            closeWithError(violation.reason());
        }
    }

    /** Ends the connection with this error once all commands before it are answered. */
    private void closeWithError(String reason) {
        AnswerSlot slot = new AnswerSlot();
        slot.closesConnection = true;
        answerSlots.add(slot);
        closing = true;
        slot.complete(MessageWriter.fatal(SqlState.PROTOCOL_VIOLATION, reason));
    }

    private void handleStartup(ClientMessage.Startup startup) {
        if (requestHandler.acceptsUncommentedStatements()) {
            Map<String, String> parameters = startup.parameters();
            String user = parameters.getOrDefault("user", "");
            String address = session.getRemoteAddress() instanceof InetSocketAddress from
                ? from.getAddress().getHostAddress() : "";
            client = new RequestHandler.ClientIdentity(user, parameters.getOrDefault("database", user), address);
        }
        respond(startup.minorVersion() == 0 ? MessageWriter.startupReply()
            : MessageWriter.join(MessageWriter.negotiateProtocolVersion(), MessageWriter.startupReply()));
    }

    private void handleQuery(Statement statement, long receivedAt) {
        AnswerSlot slot = new AnswerSlot();
        answerSlots.add(slot);
        if (admission == RequestHandler.Admission.REFUSED) {
            slot.refused = true;
            requestHandler.refuse(slot);
            return;
        }
        slot.statementBytes = statement.size();
        statementBytesInHand += slot.statementBytes;
        slot.inHand = true;
        requestsInHand++;
        slot.request = requestHandler.submit(statement, slot, receivedAt, client);
    }

    /** Answers one command with an error that leaves the connection open, unless there were too many. */
    private void rejectCommand(String sqlState, String reason) {
        context.counters().add(Counters.Count.BAD_QUERIES);
        if (++invalidCommands >= MAX_INVALID_COMMANDS) {
            failConnection(reason);
        } else {
            respond(MessageWriter.join(MessageWriter.error(sqlState, reason), MessageWriter.readyForQuery()));
        }
    }

    private void respond(byte[] message) {
        AnswerSlot slot = new AnswerSlot();
        answerSlots.add(slot);
        slot.complete(message);
    }

    /**
     * Fails the connection. Its unanswered requests fail at once rather than when their attempts end: the error has to reach
     * the client soon, however long attempts take.
     */
    private void failConnection(String reason) {
        if (closed || failure != null) {
            return;
        }
        context.counters().add(Counters.Count.BAD_CLIENTS);
        LOG.debug("event=client_failed reason=\"{}\" in_hand={} queued_bytes={}", reason, requestsInHand,
            queuedCommands.heapBytes());
        failure = reason;
        context.bufferedBytes().remove(this); // what it holds is about to be freed: others' is to be shed next
        input.stop();
        abandonRequests(reason);
        refuseQueuedCommands();
        closeWithFailure();
    }

    /** Ends a connection that has failed, once the requests that had been read by then are refused. */
    private void closeWithFailure() {
        if (input.isProcessed()) {
            closeWithError(failure);
        }
    }

    /** Ends the requests in hand, each with an error. */
    private void abandonRequests(String reason) {
        for (AnswerSlot slot : List.copyOf(answerSlots)) {
            if (slot.answer == null) {
                requestHandler.requestAbandoned(slot.request);
                slot.setAnswer(MessageWriter.join(
                    MessageWriter.error(SqlState.CONNECTION_FAILURE, reason), MessageWriter.readyForQuery()));
            }
        }
    }

    /** Answers the commands that have been received but not submitted, requests as refused: they have had no effect. */
    private void refuseQueuedCommands() {
        boolean outerProcessing = processingQueue;
        processingQueue = true; // so that the places of those that are answered are not taken by those to be refused
        while (!closed && !queuedCommands.isEmpty()) {
            refuseNextCommand();
        }
        processingQueue = outerProcessing;
        if (!processingQueue) {
            writeAnswers();
        }
    }

    private void refuseNextCommand() {
        CommandQueue.Command command = queuedCommands.poll();
        if (command.isRequest() && !skipsUntilSync) {
            AnswerSlot slot = new AnswerSlot();
            answerSlots.add(slot);
            slot.refused = true;
            requestHandler.refuse(slot);
        } else {
            process(command.message(), command.receivedAt());
        }
    }

    /**
     * The client has ended its sending, which cannot be told from a close until something is written. It counts as having left:
     * no attempt may begin after that. What is in hand and queued is answered all the same, should it still listen.
     */
    @Override
    public void inputEnded(long endedAt) {
        if (closed || inputEnded) {
            return;
        }
        LOG.debug("event=client_left in_hand={} queued_bytes={}", requestsInHand, queuedCommands.heapBytes());
        inputEnded = true;
        closing = true;
        readsPutOff = false;
        abandonRequests("the client has ended its connection");
        refuseQueuedCommands();
        if (!closed) {
            flush();
        }
        if (!closed) {
            closeOnFlush();
        }
    }

    /**
     * Fails a connection that has sent no command, or only part of a message, for too long. The time in which the router
     * itself did not read does not count.
     */
    void failIfStalled(long now) {
        if (closed || incompleteMessage.isPaused() || input.hasQueuedReads()) {
            return;
        }
        boolean overdue = !commandReceived && now >= openedAt + COMMAND_TIMEOUT_NANOS
            || incompleteMessage.isOverdue(now, COMMAND_TIMEOUT_NANOS);
        if (overdue && !hasUnreadBytes()) {
            context.counters().add(Counters.Count.SILENT_CLIENTS);
            failConnection("no whole request in time");
        }
    }

    /** Fails the connection if it has stalled, and looks at whether the client takes its answers. To be called regularly. */
    void check(long now) {
        answerWriter.observeProgress();
        failIfStalled(now);
    }

    /** When the connection was opened, by the router's clock in nanoseconds. */
    long openedAt() {
        return openedAt;
    }

    /** When its last answer was written, by the router's clock in nanoseconds. */
    long idleSince() {
        return idleSince;
    }

    /** Writes the answers that are ready, in order, up to the first that is not. */
    private void flush() {
        while (!closed && !answerSlots.isEmpty() && answerSlots.peekFirst().answer != null) {
            AnswerSlot slot = answerSlots.pollFirst();
            statementBytesInHand -= slot.statementBytes;
            waitingAnswerBytes -= slot.answer.length;
            answerWriter.add(slot.answer);
            if (closesAfterNextAnswer && (slot.request != null || slot.refused)) {
                beginClosing();
            }
            if (slot.closesConnection) {
                closeOnFlush();
            }
        }
        if (!closed && answerSlots.isEmpty() && queuedCommands.isEmpty()) {
            if (closing && !readsPutOff && !input.hasQueuedReads()) {
                closeIfAllIsRead();
            } else if (commandReceived && !closing) {
                idleSince = context.loop().now();
                requestHandler.connectionIdle(this);
            }
        }
        processQueued();
    }

    private boolean hasCapacity() {
        return answerSlots.size() < MAX_PIPELINED_COMMANDS && !clientTakesNoAnswers();
    }

    /** Whether so many answers wait to be sent that the router processes nothing more of this client. */
    private boolean clientTakesNoAnswers() {
        return answerWriter.unsentBytes() >= MAX_MESSAGE_BYTES;
    }

    /** Updates the count of the memory that is taken for this client. */
    private void updateBufferedBytes() {
        if (!closed && failure == null) {
            context.bufferedBytes().set(this, inputBytes() + requestsInHand * REQUEST_BYTES
                + answerSlots.size() * ANSWER_SLOT_BYTES + waitingAnswerBytes + answerWriter.unsentBytes());
        }
    }

    /**
     * Whether no command is unanswered, and no read is queued for the event loop or put off. Data in a queued read has been
     * acknowledged by the kernel, so that requests in it have to be answered.
     */
    private boolean isQuiescent() {
        return answerSlots.isEmpty() && queuedCommands.isEmpty() && !input.hasQueuedReads() && !readsPutOff;
    }

    /** Closes the connection once its commands are answered; at once if there are none. */
    void closeWhenAnswered() {
        beginClosing();
        if (!closed && isQuiescent()) {
            closeIfAllIsRead();
        } else {
            processQueued();
        }
    }

    /**
     * Closes the connection to free its descriptor; true if it is closed. It stays open while a command is unanswered, a read is
     * queued, or an answer is not sent yet, unless the client takes nothing.
     */
    boolean closeIfQuiescent() {
        boolean answersTaken = answerWriter.unsentBytes() == 0 || answerWriter.isStalled();
        if (isQuiescent() && answersTaken && stopReadingIfAllIsRead()) {
            close();
        }
        return closed;
    }

    /** Whether the kernel holds bytes that the client has sent. */
    boolean hasUnreadBytes() {
        return Transport.hasUnreadBytes(session);
    }

    /** Closes the connection unless the client has sent something that has not been read; then once that is answered. */
    private void closeIfAllIsRead() {
        if (stopReadingIfAllIsRead()) {
            closeOnFlush();
        } else {
            readsPutOff = true;
            updateReading();
        }
    }

    /** Has the I/O thread read nothing more; returns false, and lets it read on, if the client has sent something meanwhile. */
    private boolean stopReadingIfAllIsRead() {
        return !hasUnreadBytes() && input.stopIfAllIsProcessed();
    }

    /** Closes the connection after the next request that is answered on it. */
    void closeAfterNextAnswer() {
        closesAfterNextAnswer = true;
    }

    private void closeOnFlush() {
        input.stop();
        writeAnswers();
        session.closeOnFlush();
        handleClosed();
    }

    /** Reads nothing more: what has been read is answered, the rest is left to be sent again on another connection. */
    void stopReading() {
        input.stop();
    }

    /** Closes the connection once its answers are written; requests that have none yet are abandoned. */
    void closeAfterAnswers() {
        if (!closed) {
            closeOnFlush();
        }
    }

    /** Closes the connection at once, without writing what is pending. */
    void close() {
        if (!closed) {
            input.stop();
            session.closeNow();
            handleClosed();
            context.bufferedBytes().remove(this);
        }
    }

    /** Whether its client takes nothing of the answers that are on their way to it. */
    boolean isStalled() {
        return answerWriter.isStalled();
    }

    /**
     * Whether memory of the connection can be freed without taking an answer from a client that takes its answers: by answering
     * its requests at once, by ending it if all that it holds are commands, whole or in part, or because it is stalled.
     */
    boolean canFreeMemory() {
        boolean holdsInput = incompleteMessage.bytes() > 0 || !queuedCommands.isEmpty();
        boolean holdsOnlyInput = !closed && holdsInput && answerWriter.unsentBytes() == 0;
        return holdsRequests() || holdsOnlyInput || isStalled();
    }

    /** The memory of commands, whole or in part, that can be freed without taking an answer from the client. */
    int freeableInputBytes() {
        boolean closesOverAnswers = !holdsRequests() && answerWriter.unsentBytes() > 0;
        return closed || closesOverAnswers ? 0 : inputBytes();
    }

    private int inputBytes() {
        return readBufferSize + queuedCommands.heapBytes() + statementBytesInHand;
    }

    private boolean holdsRequests() {
        return requestsInHand > 0 || queuedCommands.holdsRequests();
    }

    /**
     * Frees the memory of a connection for which too many bytes are buffered: its requests, which wait because of the router or
     * of hosts, are answered at once. It is closed only if it holds none, so that its client reads or writes too slowly.
     */
    void shedBufferedBytes() {
        if (!holdsRequests()) {
            cutOff();
            return;
        }
        context.counters().add(Counters.Count.SHED_FOR_MEMORY);
        LOG.debug("event=memory_shed in_hand={} queued_bytes={} total={}", requestsInHand, queuedCommands.heapBytes(),
            context.bufferedBytes().totalBytes());
        refuseQueuedCommands();
        giveUpRequests();
        updateBufferedBytes();
    }

    /** Ends a connection that holds no request; one that is on its way from the I/O thread is refused first. */
    private void cutOff() {
        context.counters().add(Counters.Count.CUT_OFF);
        LOG.debug("event=client_cut_off unsent_bytes={} stalled={} total={}", answerWriter.unsentBytes(), isStalled(),
            context.bufferedBytes().totalBytes());
        if (closed) {
            session.closeNow();
            context.bufferedBytes().remove(this);
        } else if (isStalled()) {
            close(); // an error would wait behind the answers
        } else {
            failConnection("too much of the router's memory is taken");
        }
    }

    @Override
    public void disconnected(long endedAt) {
        handleClosed();
        context.bufferedBytes().remove(this);
    }

    private void handleClosed() {
        if (closed) {
            return;
        }
        closed = true;
        context.loop().inputScheduler().remove(this);
        for (AnswerSlot slot : answerSlots) {
            if (slot.request != null) {
                requestHandler.requestAbandoned(slot.request);
            }
        }
        answerSlots.clear();
        queuedCommands.clear();
        requestsInHand = 0;
        answerWriter.dropPending();
        context.bufferedBytes().set(this, answerWriter.unsentBytes()); // until the last answers are written
        if (admission != null) {
            requestHandler.connectionClosed(this);
        }
    }
}
