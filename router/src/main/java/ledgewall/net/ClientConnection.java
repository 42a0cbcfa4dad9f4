package ledgewall.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import ledgewall.pg.ClientMessage;
import ledgewall.pg.Frame;
import ledgewall.pg.FrameReader;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.SqlState;
import ledgewall.pg.Statement;
import org.apache.mina.core.session.IoSession;

/** A client's connection: its commands are answered one by one, in their order. */
final class ClientConnection implements Endpoint {
    /** A statement with a value of 64 KiB in hexadecimal digits, and room beside it. */
    private static final int LONGEST_MESSAGE = 192 * 1024;
    /** Commands in hand from which on the next ones wait, and nothing more is read, until some are answered. */
    private static final int MOST_PIPELINED = 64;

    /**
     * A connection is owed an error or its end within 3 s of saying nothing of use; a sweep finds it up to 0.25 s late,
     * and connecting took its time.
     */
    private static final long UNTIL_ASKED = Clock.millis(2_300);
    /** Reads that wait for the loop, from which on no more is read: no flood outruns the loop or fills its queue. */
    private static final int MOST_READS_WAITING = 4;
    /** Encryption is asked for once each way at most. */
    private static final int MOST_DECLINED = 2;
    /** Commands that are none, after which a client is no usual one. */
    private static final int MOST_FAULTS = 8;

    /** Who sends a request. */
    record Client(String user, String database, String address) { }

    /** What becomes of a new connection. */
    enum Admission {
        /** Its requests are taken. */
        SERVED,
        /** There is no room for its requests: each is refused, and the connection ends after the first. */
        REFUSED,
        /** There is no room for it: clients hold all that clients may hold. */
        CLOSED
    }

    /** What takes requests in. */
    interface Owner {
        /** Takes a connection in, or says that there is no room for it. */
        Admission admit(ClientConnection connection);

        /** Answers a request for which there is no room. */
        void refuse(Slot slot);

        ClientRequest take(Statement statement, Slot slot, long at, Client client);

        /** Whether statements are taken that bring no comment; the same for as long as the router runs. */
        boolean takesPlain();

        /** The client of this request has gone. */
        void lapsed(ClientRequest request);

        void left(ClientConnection connection);

        /** A command has come whole. */
        void asked(ClientConnection connection);

        /** Nothing is in hand any more. */
        void idle(ClientConnection connection);
    }

    private final Wiring wiring;
    private final Owner owner;
    private final FrameReader frames = FrameReader.ofClient(LONGEST_MESSAGE);
    private final Deque<Slot> slots = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final AtomicInteger readsWaiting = new AtomicInteger();
    private IoSession session;
    private Client client = new Client("", "", "");
    private Admission admission = Admission.CLOSED;
    private boolean closed;
    private boolean skipping;
    private boolean closing;
    private boolean closesAfterAnswer;
    private boolean broken;
    private boolean taking;
    private int partial;
    private int taken;
    private int unsent;
    private boolean asked;
    private int faults;
    private int declined;
    private long openedAt;
    private long idleSince;
    private long partialSince;

    /** A command that has come, and when, but is not in hand yet. */
    private record Waiting(ClientMessage message, long at) {
        int size() {
            return message instanceof ClientMessage.Query query ? query.statement().size() : 0;
        }
    }

    /** The place of one command's answer. */
    final class Slot {
        private ClientRequest request;
        private byte[] message;
        private int size;
        private boolean last;
        private boolean refused;

        void fill(byte[] answer) {
            message = answer;
            flush();
        }
    }

    ClientConnection(Wiring wiring, Owner owner) {
        this.wiring = wiring;
        this.owner = owner;
    }

    @Override
    public void opened(IoSession opened) {
        session = opened;
        openedAt = wiring.loop().now();
        admission = owner.admit(this);
        if (admission == Admission.CLOSED) {
            close();
        }
    }

    @Override
    public void written(int bytes) {
        unsent -= bytes;
        takeWaiting();
    }

    @Override
    public Runnable receive(ByteBuffer bytes, long at, IoSession from) {
        if (readsWaiting.incrementAndGet() >= MOST_READS_WAITING) {
            from.suspendRead(); // the loop takes it up again once it has come so far
        }
        Runnable taken = parse(bytes, at);
        return () -> {
            readsWaiting.decrementAndGet();
            taken.run();
            if (!closed && closing && isUnused()) {
                closeOnFlush(); // it had come too late to keep, and was no command
            } else if (!closed) {
                readOn();
            }
        };
    }

    private Runnable parse(ByteBuffer bytes, long at) {
        List<ClientMessage> messages = new ArrayList<>();
        try {
            List<Frame> received = new ArrayList<>();
            try {
                frames.feed(bytes, received::add);
            } finally {
                for (Frame frame : received) {
                    messages.add(ClientMessage.parse(frame, owner.takesPlain()));
                }
            }
        } catch (ProtocolException e) {
            return () -> {
                take(messages, 0, at);
                fatal(e.getMessage());
            };
        }
        int rest = frames.bufferedBytes();
        return () -> take(messages, rest, at);
    }

    private void take(List<ClientMessage> messages, int rest, long at) {
        if (closed || broken) {
            return;
        }
        partialSince = rest > 0 && (partial == 0 || !messages.isEmpty()) ? at : partialSince;
        partial = rest;
        for (ClientMessage message : messages) {
            Waiting next = new Waiting(message, at);
            waiting.add(next);
            taken += next.size();
        }
        takeWaiting();
    }

    /** Takes what waits as long as there is room for it; reads on only once nothing waits. */
    private void takeWaiting() {
        if (taking) {
            return; // an answer at once, from within
        }
        taking = true;
        while (!closed && !waiting.isEmpty() && hasRoom()) {
            Waiting next = waiting.poll();
            taken -= next.size();
            take(next.message(), next.at());
        }
        taking = false;
        if (closed) {
            return;
        }
        readOn();
    }

    /** Has more read, or no more, as there is room for it. */
    private void readOn() {
        hold();
        boolean reads = waiting.isEmpty() && hasRoom() && !closing && readsWaiting.get() < MOST_READS_WAITING;
        if (!closed && reads == session.isReadSuspended()) {
            if (reads) {
                session.resumeRead();
            } else {
                session.suspendRead();
            }
        }
    }

    private void take(ClientMessage message, long at) {
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            asked = true;
            owner.asked(this);
        }
        if (message instanceof ClientMessage.Query query && !skipping) {
            query(query.statement(), at);
        } else if (message instanceof ClientMessage.Startup startup) {
            start(startup);
        } else if (message instanceof ClientMessage.EncryptionRequest) {
            if (++declined > MOST_DECLINED) {
                fatal("encryption is not offered");
            } else {
                push(new byte[] {'N'});
            }
        } else if (message instanceof ClientMessage.CancelRequest || message instanceof ClientMessage.Terminate) {
            close();
        } else if (message instanceof ClientMessage.Sync) {
            skipping = false;
            push(MessageWriter.readyForQuery());
        } else if (message instanceof ClientMessage.ExtendedQuery && !skipping) {
            skipping = true;
            push(MessageWriter.error(SqlState.FEATURE_NOT_SUPPORTED, "the extended query protocol is not supported"));
        } else if (message instanceof ClientMessage.EmptyQuery && !skipping) {
            push(MessageWriter.join(MessageWriter.emptyQueryResponse(), MessageWriter.readyForQuery()));
        } else if (message instanceof ClientMessage.Rejected unserved && !skipping) {
            refuse(unserved.sqlState(), unserved.reason());
        } else if (message instanceof ClientMessage.ProtocolViolation fault) {
            last(fault.reason());
        }
    }

    /** The connection ends with this error, once all before it is answered. */
    private void last(String reason) {
        Slot slot = new Slot();
        slot.last = true;
        slots.add(slot);
        closing = true;
        slot.fill(MessageWriter.fatal(SqlState.PROTOCOL_VIOLATION, reason));
    }

    private void start(ClientMessage.Startup startup) {
        if (owner.takesPlain()) {
            Map<String, String> told = startup.parameters();
            String user = told.getOrDefault("user", "");
            String address = session.getRemoteAddress() instanceof InetSocketAddress from
                ? from.getAddress().getHostAddress() : "";
            client = new Client(user, told.getOrDefault("database", user), address);
        }
        push(startup.minorVersion() == 0 ? MessageWriter.startupReply()
            : MessageWriter.join(MessageWriter.negotiateProtocolVersion(), MessageWriter.startupReply()));
    }

    private void query(Statement statement, long at) {
        Slot slot = new Slot();
        slots.add(slot);
        if (admission == Admission.REFUSED) {
            slot.refused = true;
            owner.refuse(slot);
            return;
        }
        slot.size = statement.size();
        taken += slot.size;
        slot.request = owner.take(statement, slot, at, client);
    }

    /** An ordinary error to one command. */
    private void refuse(String sqlState, String reason) {
        wiring.counters().add(Counters.Count.BAD_QUERIES);
        if (++faults >= MOST_FAULTS) {
            fatal(reason);
        } else {
            push(MessageWriter.join(MessageWriter.error(sqlState, reason), MessageWriter.readyForQuery()));
        }
    }

    private void push(byte[] message) {
        Slot slot = new Slot();
        slots.add(slot);
        slot.fill(message);
    }

    /** What this client has in hand fails at once: its error is owed soon, however long attempts take. */
    private void fatal(String reason) {
        if (closed || broken) {
            return;
        }
        wiring.counters().add(Counters.Count.BAD_CLIENTS);
        broken = true;
        waiting.clear();
        for (Slot slot : List.copyOf(slots)) {
            if (slot.message == null) {
                owner.lapsed(slot.request);
                slot.message = MessageWriter.join(
                    MessageWriter.error(SqlState.CONNECTION_FAILURE, reason), MessageWriter.readyForQuery());
            }
        }
        last(reason);
    }

    /** Ends a connection that has not sent a whole request for too long: silent, or stuck in the middle of one. */
    void endIfStuck(long now) {
        if (!asked && now >= openedAt + UNTIL_ASKED || partial > 0 && now >= partialSince + UNTIL_ASKED) {
            wiring.counters().add(Counters.Count.SILENT_CLIENTS);
            fatal("no whole request in time");
        }
    }

    long openedAt() {
        return openedAt;
    }

    long idleSince() {
        return idleSince;
    }

    /** Writes the answers that are next in order. */
    private void flush() {
        while (!closed && !slots.isEmpty() && slots.peekFirst().message != null) {
            Slot slot = slots.pollFirst();
            taken -= slot.size;
            unsent += slot.message.length;
            wiring.transport().write(session, slot.message);
            closing |= closesAfterAnswer && (slot.request != null || slot.refused);
            if (slot.last) {
                closeOnFlush();
            }
        }
        if (!closed && slots.isEmpty() && waiting.isEmpty()) {
            if (closing && readsWaiting.get() == 0) {
                closeOnFlush();
            } else if (asked) {
                idleSince = wiring.loop().now();
                owner.idle(this);
            }
        }
        takeWaiting();
    }

    private boolean hasRoom() {
        return slots.size() < MOST_PIPELINED && unsent < LONGEST_MESSAGE;
    }

    /** Accounts for the bytes that this client makes the router hold. */
    private void hold() {
        if (!closed) {
            wiring.held().hold(this, partial + taken + unsent);
        }
    }

    /** Whether nothing of it is in hand, nor read and still on its way to the loop: what was read was taken. */
    private boolean isUnused() {
        return slots.isEmpty() && waiting.isEmpty() && readsWaiting.get() == 0;
    }

    /** Ends the connection after what it has in hand; at once if there is nothing. */
    void closeAfterAnswers() {
        closing = true;
        if (!closed && isUnused()) {
            closeOnFlush();
        } else {
            takeWaiting();
        }
    }

    /** Ends the connection to make room: at once, unless a request of it is in hand, which is answered first. */
    void closeUnlessAnswering() {
        if (isUnused()) {
            close();
        } else {
            closeAfterAnswers();
        }
    }

    /** Ends the connection after the next request that it answers. */
    void closeAfterNextAnswer() {
        closesAfterAnswer = true;
    }

    private void closeOnFlush() {
        session.closeOnFlush();
        gone();
    }

    /** Ends the connection at once. */
    void close() {
        if (!closed) {
            session.closeNow();
            gone();
        }
    }

    /** Ends a connection that makes the router hold too much. */
    void cutOff() {
        wiring.counters().add(Counters.Count.CUT_OFF);
        close();
    }

    @Override
    public void disconnected(long at) {
        gone();
    }

    private void gone() {
        if (closed) {
            return;
        }
        closed = true;
        wiring.held().release(this);
        for (Slot slot : slots) {
            if (slot.request != null) {
                owner.lapsed(slot.request);
            }
        }
        slots.clear();
        waiting.clear();
        if (admission != Admission.CLOSED) {
            owner.left(this);
        }
    }
}
