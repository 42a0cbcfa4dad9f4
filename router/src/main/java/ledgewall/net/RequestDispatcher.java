package ledgewall.net;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Consistency;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.Reply;
import ledgewall.pg.SqlState;
import ledgewall.pg.Statement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes requests in, tells the policy of them, and gives each its one answer. */
final class RequestDispatcher implements ClientConnection.Owner, Attempt.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);
    /** A day: no client waits longer, and much longer would not fit the clock. */
    private static final long LONGEST_WAIT_MILLIS = 24L * 3_600 * 1_000;
    /**
     * A busy client asks again soon after an answer: what has not by now may have to make room, the longest idle first,
     * where clients hold more connections than they may for requests. Others come with a request in hand, and would find
     * none left.
     */
    private static final long UNUSED = Clock.millis(50);
    /** A usual client writes as soon as it is connected, but may be slow to be read. */
    private static final long SILENT = Clock.millis(200);
    /** Ids remembered at most: some megabytes. */
    private static final int MOST_IDS = 16_384;

    private final Wiring wiring;
    private final RoutingPolicy.Settings settings;
    private final Members members;
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;
    private final long answerSlack;
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** Those that have not sent a whole request yet, the oldest first; each leaves with its first or at its end. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    /** Those with nothing in hand, the longest idle first; each leaves with its next request or at its end. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Ids that were open until lately, and until when another use of one is none of a usual client's. */
    private final Map<String, Long> ids = new LinkedHashMap<>();
    private long lastNumber;
    private boolean draining;
    private Classifier classifier;
    private final boolean takesPlain;

    RequestDispatcher(Wiring wiring, RouterConfig config, Members members, Classifier classifier) {
        this.classifier = classifier;
        this.takesPlain = classifier != null;
        this.wiring = wiring;
        this.settings = config.settings();
        this.members = members;
        this.classes = indexes(config.vocabulary().classes());
        this.tenants = indexes(config.vocabulary().tenants());
        this.answerSlack = config.transport().answerSlack();
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.putIfAbsent(names.get(i), i);
        }
        return indexes;
    }

    @Override
    public ClientConnection.Admission admit(ClientConnection connection) {
        if (clients.size() >= wiring.descriptors().softClientLimit()) {
            closeAClient();
        }
        boolean full = clients.size() >= wiring.descriptors().clientLimit();
        boolean room = full ? closeAClient() : wiring.descriptors().hasRoomForTraffic() || makeRoom();
        if (!room) {
            wiring.counters().add(Counters.Count.CLIENTS_TURNED_AWAY);
            LOG.debug("event=client_turned_away full={} clients={} held={}", full, clients.size(), wiring.descriptors().held());
        }
        if (full && !room) {
            return ClientConnection.Admission.CLOSED;
        }
        wiring.descriptors().acquire();
        wiring.counters().add(Counters.Count.CLIENTS);
        clients.add(connection);
        silent.add(connection);
        if (draining || !room) {
            connection.closeAfterNextAnswer();
        }
        return room ? ClientConnection.Admission.SERVED : ClientConnection.Admission.REFUSED;
    }

    @Override
    public void refuse(ClientConnection.Slot slot) {
        wiring.counters().add(Counters.Count.REQUESTS);
        wiring.counters().add(Counters.Count.REFUSED);
        slot.fill(refusal(0));
    }

    @Override
    public void left(ClientConnection connection) {
        wiring.descriptors().release();
        clients.remove(connection);
        silent.remove(connection);
        idle.remove(connection);
    }

    @Override
    public void asked(ClientConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
    }

    @Override
    public void idle(ClientConnection connection) {
        idle.add(connection);
    }

    /** Frees a descriptor: the silent go first, then clients long idle, then connections to hosts. */
    private boolean makeRoom() {
        return closeAClient() || wiring.idle().closeOldest();
    }

    /** Clients wait to be accepted, and too many sockets are open: what is of least use is closed. */
    void makeRoomForClients() {
        if (!wiring.descriptors().hasRoomForTraffic()) {
            makeRoom();
        }
    }

    private boolean closeAClient() {
        long now = wiring.loop().now();
        return closeFirst(silent, c -> c.openedAt() <= now - SILENT, Counters.Count.SILENT_CLIENTS)
            || closeFirst(idle, c -> c.idleSince() <= now - UNUSED, Counters.Count.IDLE_CLIENTS_CLOSED);
    }

    private boolean closeFirst(Collection<ClientConnection> from, Predicate<ClientConnection> ripe, Counters.Count count) {
        Iterator<ClientConnection> first = from.iterator();
        ClientConnection oldest = first.hasNext() ? first.next() : null;
        if (oldest == null || !ripe.test(oldest)) {
            return false;
        }
        wiring.counters().add(count);
        LOG.debug("event=client_closed why={} clients={} held={}", count, clients.size(), wiring.descriptors().held());
        oldest.closeUnlessAnswering();
        return true;
    }

    /** Ends what says nothing or only half a request for too long, what idles in too great number, and old ids. */
    void sweep() {
        long now = wiring.loop().now();
        for (ClientConnection connection : List.copyOf(clients)) {
            connection.endIfStuck(now);
        }
        while (clients.size() > wiring.descriptors().softClientLimit() && closeAClient()) {
            continue; // until they fit, or the others are all in use
        }
        while (!wiring.descriptors().hasRoomForTraffic() && makeRoom()) {
            continue; // until there is room for the next, or all are in use
        }
        Iterator<Long> ends = ids.values().iterator();
        while (ends.hasNext() && ends.next() <= now) {
            ends.remove(); // the oldest first: a later one waits for those before it, as far as there is room
        }
    }

    /** Has another classifier say what requests are from now on; those in hand keep what was said. */
    void classifyBy(Classifier other) {
        classifier = other;
    }

    @Override
    public boolean takesPlain() {
        return takesPlain;
    }

    @Override
    public ClientRequest take(Statement statement, ClientConnection.Slot slot, long at, ClientConnection.Client client) {
        if (classifier == null || statement.hasRoutingComment() && !classifier.overridesComments()) {
            return take(statement, slot, at, (Runnable) null);
        }
        Classifier.Answer answer = classifier.classify(new Classifier.Request(statement.text(), statement.summary(),
            statement.commentFields(), client.user(), client.database(), client.address(), wiring.clock().now()));
        if (answer instanceof Classifier.Known known) {
            return take(statement.withClassification(known.as(), "r" + (lastNumber + 1)), slot, at, known.over());
        }
        wiring.counters().add(Counters.Count.REQUESTS);
        ClientRequest request = new ClientRequest(++lastNumber, statement, at, slot);
        if (answer instanceof Classifier.Limited limited) {
            wiring.counters().add(Counters.Count.LIMITED);
            wiring.counters().add(Counters.Count.REFUSED);
            request.answer(refusal(limited.retryAfter()));
        } else {
            wiring.counters().add(Counters.Count.BAD_QUERIES);
            request.answer(withReady(MessageWriter.error(SqlState.SYNTAX_ERROR, ((Classifier.Unknown) answer).reason())));
        }
        return request;
    }

    private ClientRequest take(Statement statement, ClientConnection.Slot slot, long at, Runnable over) {
        wiring.counters().add(Counters.Count.REQUESTS);
        long deadline = at + Clock.millis(Math.min(statement.timeoutMillis(), LONGEST_WAIT_MILLIS));
        ClientRequest request = new ClientRequest(++lastNumber, statement, deadline, slot);
        request.whenOver(over);
        int index = classes.getOrDefault(statement.className(), -1);
        String wrong = index < 0 ? "unknown class" : statement.timeoutMillis() == 0 ? "no time to answer in"
            : !members.knowsGroup(statement.group()) ? "unknown cluster"
            : ids.getOrDefault(statement.id(), Long.MIN_VALUE) > wiring.loop().now() ? "this id is in use" : null;
        if (wrong != null) {
            wiring.counters().add(Counters.Count.BAD_QUERIES);
            request.answer(withReady(MessageWriter.error(SqlState.SYNTAX_ERROR, wrong)));
            return request;
        }
        LOG.debug("event=request id={} number={} class={} group={} left_ms={}", statement.id(), request.number(),
            statement.className(), statement.group(), Clock.toMillis(deadline - wiring.loop().now()));
        remember(statement.id(), deadline + answerSlack);
        requests.put(request.number(), request);
        request.watch(wiring.loop().at(deadline + answerSlack, () -> overdue(request)));
        wiring.loop().tell(arrival(request, index));
        return request;
    }

    private void remember(String id, long until) {
        ids.remove(id);
        ids.put(id, until);
        if (ids.size() > MOST_IDS) {
            ids.remove(ids.keySet().iterator().next());
        }
    }

    private RoutingPolicy.Arrival arrival(ClientRequest request, int index) {
        Statement statement = request.statement();
        Consistency need = settings.classes().get(index).consistency();
        boolean sessions = need == Consistency.WRITE || need == Consistency.SESSION;
        long writtenAt = Clock.ofUnixMillis(statement.lastWriteMillis());
        boolean token = need == Consistency.SESSION && settings.replication().requestsCarryTokens() && writtenAt != 0;
        long now = wiring.loop().now();
        return new RoutingPolicy.Arrival(
            request.number(), index, tenant(statement.tenant()),
            statement.group(), sessions ? statement.sessionKey() : RoutingPolicy.NONE, request.deadline() - now,
            token ? Math.max(0, now - writtenAt) : RoutingPolicy.NONE, statement.isRetry());
    }

    /** Tenants that the settings don't list share the index behind theirs: whoever makes names up gets no memory. */
    private int tenant(String name) {
        return name.isEmpty() ? 0 : tenants.getOrDefault(name, settings.tenants().size());
    }

    /** The policy has left a request without an answer for too long: the client is told so. */
    private void overdue(ClientRequest request) {
        if (request.answer(failure("no answer in time"))) {
            wiring.counters().add(Counters.Count.OVERDUE);
            log(request, "overdue");
            wiring.loop().tell(new RoutingPolicy.Abandoned(request.number()));
            forgetIfOver(request);
        }
    }

    @Override
    public void lapsed(ClientRequest request) {
        if (request.isOver()) {
            return;
        }
        request.end();
        if (request.attempts().isEmpty()) {
            ids.remove(request.statement().id()); // its client may ask once more on another connection
        }
        wiring.counters().add(Counters.Count.LAPSED);
        log(request, "client_gone");
        wiring.loop().tell(new RoutingPolicy.Abandoned(request.number()));
        forgetIfOver(request);
    }

    // ---- What the policy asks for

    void send(RoutingPolicy.Send send) {
        ClientRequest request = requests.get(send.request());
        if (request == null) {
            return;
        }
        long now = wiring.loop().now();
        long left = request.deadline() - now;
        long timeout = send.timeout() == 0 ? left : Math.min(send.timeout(), left);
        int index = classes.getOrDefault(request.statement().className(), 0);
        boolean repeatable = settings.classes().get(index).retrySafety() == RoutingPolicy.RetrySafety.IDEMPOTENT;
        Attempt attempt = new Attempt(request, send.member(), now, timeout, repeatable, this);
        HostPool host = members.pool(send.member());
        boolean second = request.hasOpenAttempt() && !settings.limits().parallelAttempts();
        request.attempts().add(attempt);
        wiring.counters().add(Counters.Count.ATTEMPTS);
        if (request.isOver() || timeout <= 0 || second || host == null
                || request.attempts().size() > settings.limits().maxAttempts()) {
            attempt.ended(AttemptOutcome.NEVER_SENT, new Reply(), now);
        } else if (!host.hasIdleFor(attempt) && !wiring.descriptors().hasRoomForTraffic() && !makeRoom()) {
            attempt.ended(AttemptOutcome.NO_DESCRIPTOR, new Reply(), now);
        } else {
            EventLoop.Timer timer = wiring.loop().in(timeout,
                () -> attempt.giveUp(AttemptOutcome.TIMED_OUT, wiring.loop().now()));
            attempt.carriedBy(host.execute(attempt), timer);
        }
    }

    void refuse(RoutingPolicy.Refuse refuse) {
        answer(refuse.request(), refusal(refuse.retryAfter()), Counters.Count.REFUSED);
    }

    private static void log(ClientRequest request, String how) {
        LOG.debug("event=request_ended id={} how={} attempts={}", request.statement().id(), how, request.attempts().size());
    }

    private static byte[] refusal(long retryAfter) {
        String detail = retryAfter > 0 ? Long.toString(Clock.toMillis(retryAfter)) : null;
        return withReady(MessageWriter.error(SqlState.TOO_MANY_CONNECTIONS, "refused: trying again is harmless", detail));
    }

    void fail(RoutingPolicy.Fail fail) {
        answer(fail.request(), failure("the request failed"), Counters.Count.FAILED);
    }

    private void answer(long number, byte[] message, Counters.Count count) {
        ClientRequest request = requests.get(number);
        if (request != null && request.answer(message)) {
            wiring.counters().add(count);
            log(request, count.name().toLowerCase(Locale.ROOT));
            forgetIfOver(request);
        }
    }

    void cancel(RoutingPolicy.Cancel cancel) {
        ClientRequest request = requests.get(cancel.request());
        if (request != null && cancel.attempt() < request.attempts().size()) {
            request.attempts().get(cancel.attempt()).giveUp(AttemptOutcome.GIVEN_UP, wiring.loop().now());
        }
    }

    // ---- What becomes of attempts

    @Override
    public void served(Attempt attempt, Reply reply) {
        if (attempt.request().answer(withReady(reply.resultMessages()))) {
            wiring.counters().add(Counters.Count.SERVED);
        }
    }

    @Override
    public void ended(Attempt attempt, AttemptOutcome ending, Reply reply, long at) {
        ClientRequest request = attempt.request();
        wiring.counters().addEnding(ending);
        LOG.debug("event=attempt_ended id={} attempt={} member={} ending={} ms={}", request.statement().id(), attempt.number(),
            attempt.member(), ending, Clock.toMillis(Math.max(0, at - attempt.sentAt())));
        if (ending == AttemptOutcome.BAD_STATEMENT && request.answer(
                withReady(MessageWriter.error(SqlState.SYNTAX_ERROR, "no member could use this statement")))) {
            wiring.counters().add(Counters.Count.BAD_QUERIES);
        }
        wiring.loop().tell(new RoutingPolicy.Outcome(
            request.number(), attempt.number(), attempt.member(), ending.result(), Math.max(0, at - attempt.sentAt()),
            request.isOver(), HostReports.role(reply), HostReports.position(reply, at), HostReports.report(reply, at)));
        forgetIfOver(request);
    }

    private void forgetIfOver(ClientRequest request) {
        if (request.isOver() && !request.hasOpenAttempt()) {
            requests.remove(request.number());
        }
    }

    private static byte[] failure(String text) {
        return withReady(MessageWriter.error(SqlState.CONNECTION_FAILURE, text));
    }

    private static byte[] withReady(byte[] message) {
        return MessageWriter.join(message, MessageWriter.readyForQuery());
    }

    // ---- The end

    /** What is open now, for whoever asks. */
    String view() {
        return clients.size() + " clients (" + silent.size() + " silent, " + idle.size() + " idle), "
            + requests.size() + " requests in hand, " + ids.size() + " ids remembered";
    }

    String sizes() {
        return "requests " + requests.size() + ", clients " + clients.size() + ", ids " + ids.size();
    }

    /** From now on connections close once nothing of theirs is in hand; new ones after their first answer. */
    void drain() {
        draining = true;
        new ArrayList<>(clients).forEach(ClientConnection::closeAfterAnswers);
    }

    /** Whatever has no answer yet fails. */
    void failAll() {
        for (ClientRequest request : List.copyOf(requests.values())) {
            if (request.answer(failure("the router stops"))) {
                wiring.counters().add(Counters.Count.FAILED);
            }
        }
    }

    boolean hasClients() {
        return !clients.isEmpty();
    }

    void closeClients() {
        new ArrayList<>(clients).forEach(ClientConnection::close);
    }
}
