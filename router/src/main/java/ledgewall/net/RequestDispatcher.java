package ledgewall.net;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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

/** Accepts requests, reports them to the policy, carries out its decisions, and answers each request exactly once. */
final class RequestDispatcher implements RequestHandler, Attempt.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);
    /** One day: no client waits longer, and much larger values would overflow the clock's nanoseconds. */
    private static final long MAX_TIMEOUT_MILLIS = 24L * 3_600 * 1_000;
    /**
     * Idle time after which a client's connection may be evicted, the longest idle first, while clients hold more
     * connections than they may for requests: new clients arrive with a request, and would find no descriptor left. A busy
     * client sends its next request sooner than this after an answer.
     */
    private static final long MIN_IDLE_NANOS = Clock.millisToNanos(50);
    /**
     * Age at which a connection without a command may be evicted. An ordinary client sends its first command at once, but the
     * router may read it late.
     */
    private static final long MIN_SILENT_NANOS = Clock.millisToNanos(200);

    private final RouterContext context;
    private final RoutingPolicy.Settings settings;
    private final Members members;
    private final Map<String, Integer> classIndexes;
    private final Map<String, Integer> tenantIndexes;
    private final long answerSlackNanos;
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    /** Admitted clients. */
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /**
     * Clients that were turned away, the oldest first. What they had written by then may have been read, so that each stays
     * until its request is refused, or until nothing has come of it for {@link #MIN_SILENT_NANOS} (for {@link #MIN_IDLE_NANOS}
     * where other clients wait to be accepted). They use descriptors that are kept back for connections on their way in or
     * out, so that their number is bounded by what the acceptor accepts.
     */
    private final Set<ClientConnection> refusedClients = new LinkedHashSet<>();
    /** Clients that have not sent a complete command yet, the oldest first; removed at the first command or when closed. */
    private final Set<ClientConnection> silentClients = new LinkedHashSet<>();
    /** Clients without an unanswered command, the longest idle first; removed at the next command or when closed. */
    private final Set<ClientConnection> idleClients = new LinkedHashSet<>();
    private final RequestIds requestIds = new RequestIds();
    private long lastRequestNumber;
    private boolean draining;
    /** Whether the router is about to end: what it still receives is refused at once. */
    private boolean stopping;
    private Classifier classifier;
    private final boolean acceptsUncommentedStatements;

    RequestDispatcher(RouterContext context, RouterConfig config, Members members, Classifier classifier) {
        this.classifier = classifier;
        this.acceptsUncommentedStatements = classifier != null;
        this.context = context;
        this.settings = config.settings();
        this.members = members;
        this.classIndexes = indexByName(config.vocabulary().classes());
        this.tenantIndexes = indexByName(config.vocabulary().tenants());
        this.answerSlackNanos = config.transport().answerSlack();
    }

    private static Map<String, Integer> indexByName(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            indexes.putIfAbsent(names.get(i), i);
        }
        return indexes;
    }

    @Override
    public RequestHandler.Admission admit(ClientConnection connection) {
        context.counters().add(Counters.Count.CLIENTS);
        if (clients.size() >= context.descriptors().softClientLimit()) {
            evictClient();
        }
        boolean full = clients.size() >= context.descriptors().clientLimit();
        boolean admitted = full ? evictClient() : context.descriptors().hasRoomForTraffic() || freeDescriptor();
        if (!admitted) {
            context.counters().add(Counters.Count.CLIENTS_TURNED_AWAY);
            LOG.debug("event=client_turned_away full={} clients={} held={}", full, clients.size(), context.descriptors().held());
            refusedClients.add(connection);
            connection.closeAfterNextAnswer();
            return RequestHandler.Admission.REFUSED;
        }
        context.descriptors().acquire();
        clients.add(connection);
        silentClients.add(connection);
        if (draining) {
            connection.closeAfterNextAnswer();
        }
        return RequestHandler.Admission.SERVED;
    }

    @Override
    public void refuse(ClientConnection.AnswerSlot slot) {
        LOG.debug("event=request_refused why=not_submitted");
        context.counters().add(Counters.Count.REQUESTS);
        context.counters().add(Counters.Count.REFUSED);
        slot.complete(refusalMessage(0));
    }

    @Override
    public void connectionClosed(ClientConnection connection) {
        if (refusedClients.remove(connection)) {
            return;
        }
        context.descriptors().release();
        clients.remove(connection);
        silentClients.remove(connection);
        idleClients.remove(connection);
    }

    @Override
    public void commandReceived(ClientConnection connection) {
        silentClients.remove(connection);
        idleClients.remove(connection);
    }

    @Override
    public void connectionIdle(ClientConnection connection) {
        if (!refusedClients.contains(connection)) {
            idleClients.add(connection);
        }
    }

    /** Frees a descriptor: from clients without a command first, then from idle clients, then from idle connections to hosts. */
    private boolean freeDescriptor() {
        return evictClient() || context.idleConnections().closeOldest();
    }

    /** Called while clients wait to be accepted because too many sockets are open: closes the least useful connection. */
    void freeDescriptorForPendingClient() {
        if (!closeRefused(MIN_IDLE_NANOS) && !context.descriptors().hasRoomForTraffic()) {
            freeDescriptor();
        }
    }

    /** Closes clients that were turned away and have sent no request for the given time; returns whether there was one. */
    private boolean closeRefused(long silentNanos) {
        long openedBefore = context.loop().now() - silentNanos;
        return refusedClients.stream().takeWhile(client -> client.openedAt() <= openedBefore).toList().stream()
            .filter(ClientConnection::closeIfQuiescent).count() > 0;
    }

    /**
     * Closes the oldest client without a command, else the longest idle one. Returns false if none may be closed in this turn:
     * a caller that repeats the call until it returns false closes a client each time, and so comes to an end.
     */
    private boolean evictClient() {
        long now = context.loop().now();
        return evictFirst(silentClients, c -> c.openedAt() <= now - MIN_SILENT_NANOS, Counters.Count.SILENT_CLIENTS)
            || evictFirst(idleClients, c -> c.idleSince() <= now - MIN_IDLE_NANOS, Counters.Count.IDLE_CLIENTS_CLOSED);
    }

    /**
     * Closes the first client that is old enough. Clients with a read queued for the event loop are passed over: only a later
     * turn processes that read, which may hold a request.
     */
    private boolean evictFirst(Collection<ClientConnection> clientsByAge, Predicate<ClientConnection> isOldEnough,
                               Counters.Count count) {
        for (ClientConnection client : clientsByAge) {
            if (!isOldEnough.test(client)) {
                return false; // those behind it are younger still
            }
            if (client.closeIfQuiescent()) {
                context.counters().add(count);
                LOG.debug("event=client_closed why={} clients={} held={}", count, clients.size(), context.descriptors().held());
                return true;
            }
            context.counters().add(Counters.Count.EVICTIONS_PUT_OFF);
        }
        return false;
    }

    /** Fails stalled clients, evicts idle ones over the limit and expires reserved ids. */
    void sweep() {
        long now = context.loop().now();
        openConnections().forEach(connection -> connection.check(now));
        closeRefused(MIN_SILENT_NANOS);
        while (clients.size() > context.descriptors().softClientLimit() && evictClient()) {
            continue; // until the number is within the limit, or no other may be evicted
        }
        while (!context.descriptors().hasRoomForTraffic() && freeDescriptor()) {
            continue; // until a descriptor is free, or none can be freed
        }
        requestIds.expire(now);
    }

    /** Replaces the classifier; requests already classified are not classified again. */
    void setClassifier(Classifier newClassifier) {
        classifier = newClassifier;
    }

    @Override
    public boolean acceptsUncommentedStatements() {
        return acceptsUncommentedStatements;
    }

    @Override
    public ClientRequest submit(Statement statement, ClientConnection.AnswerSlot slot, long receivedAt,
                                RequestHandler.ClientIdentity client) {
        if (stopping) {
            ClientRequest request = new ClientRequest(++lastRequestNumber, statement, receivedAt, slot);
            refuse(request);
            return request;
        }
        if (classifier == null || statement.hasRoutingComment() && !classifier.overridesComments()) {
            return submit(statement, slot, receivedAt, (Runnable) null);
        }
        Classifier.Result result = classifier.classify(new Classifier.Request(statement.text(), statement.summary(),
            statement.commentFields(), client.user(), client.database(), client.address(), context.clock().now()));
        if (result instanceof Classifier.Known known) {
            return submit(statement.withClassification(known.classified(), "r" + (lastRequestNumber + 1)), slot,
                receivedAt, known.onEnd());
        }
        context.counters().add(Counters.Count.REQUESTS);
        ClientRequest request = new ClientRequest(++lastRequestNumber, statement, receivedAt, slot);
        if (result instanceof Classifier.Limited limited) {
            context.counters().add(Counters.Count.LIMITED);
            context.counters().add(Counters.Count.REFUSED);
            request.answer(refusalMessage(limited.retryAfterNanos()));
        } else {
            context.counters().add(Counters.Count.BAD_QUERIES);
            request.answer(withReadyForQuery(MessageWriter.error(SqlState.SYNTAX_ERROR, ((Classifier.Unknown) result).reason())));
        }
        return request;
    }

    private ClientRequest submit(Statement statement, ClientConnection.AnswerSlot slot, long receivedAt, Runnable onEnd) {
        context.counters().add(Counters.Count.REQUESTS);
        long deadline = receivedAt + Clock.millisToNanos(Math.min(statement.timeoutMillis(), MAX_TIMEOUT_MILLIS));
        ClientRequest request = new ClientRequest(++lastRequestNumber, statement, deadline, slot);
        request.onEnd(onEnd);
        int classIndex = classIndexes.getOrDefault(statement.className(), -1);
        String error = classIndex < 0 ? "unknown class" : statement.timeoutMillis() == 0 ? "no time to answer in"
            : !members.knowsGroup(statement.group()) ? "unknown cluster" : null;
        if (error != null) {
            reject(request, error);
            return request;
        }
        switch (requestIds.reserve(statement.id(), isIdempotent(classIndex), deadline + answerSlackNanos, slot.idShare(),
                context.loop().now())) {
            case IN_USE -> {
                reject(request, "this id is in use");
                return request;
            }
            case NO_CAPACITY -> {
                context.counters().add(Counters.Count.IDS_EXHAUSTED);
                LOG.debug("event=request_refused id={} why=ids_exhausted", statement.id());
                context.counters().add(Counters.Count.REFUSED);
                request.answer(refusalMessage(0));
                return request;
            }
            case RESERVED -> { }
        }
        LOG.debug("event=request id={} number={} class={} group={} left_ms={}", statement.id(), request.number(),
            statement.className(), statement.group(), Clock.nanosToMillis(deadline - context.loop().now()));
        requests.put(request.number(), request);
        request.setOverdueTimer(context.loop().runAt(deadline + answerSlackNanos, () -> failOverdue(request)));
        context.loop().postEvent(arrivalOf(request, classIndex));
        return request;
    }

    private void reject(ClientRequest request, String error) {
        context.counters().add(Counters.Count.BAD_QUERIES);
        request.answer(withReadyForQuery(MessageWriter.error(SqlState.SYNTAX_ERROR, error)));
    }

    private boolean isIdempotent(int classIndex) {
        return settings.classes().get(classIndex).retrySafety() == RoutingPolicy.RetrySafety.IDEMPOTENT;
    }

    private RoutingPolicy.Arrival arrivalOf(ClientRequest request, int classIndex) {
        Statement statement = request.statement();
        Consistency consistency = settings.classes().get(classIndex).consistency();
        boolean usesSession = consistency == Consistency.WRITE || consistency == Consistency.SESSION;
        long writtenAt = Clock.endOfUnixMilli(statement.lastWriteMillis());
        boolean hasToken = consistency == Consistency.SESSION && settings.replication().requestsCarryTokens() && writtenAt != 0;
        long now = context.loop().now();
        return new RoutingPolicy.Arrival(
            request.number(), classIndex, tenantIndex(statement.tenant()),
            statement.group(), usesSession ? statement.sessionKey() : RoutingPolicy.NONE, request.deadline() - now,
            hasToken ? Math.max(0, now - writtenAt) : RoutingPolicy.NONE, statement.isRetry());
    }

    /** All tenants that the settings don't list share one index after theirs, so that invented names take no memory. */
    private int tenantIndex(String name) {
        return name.isEmpty() ? 0 : tenantIndexes.getOrDefault(name, settings.tenants().size());
    }

    private void refuse(ClientRequest request) {
        context.counters().add(Counters.Count.REQUESTS);
        context.counters().add(Counters.Count.REFUSED);
        request.answer(refusalMessage(0));
    }

    @Override
    public void giveUp(ClientRequest request) {
        boolean neverSent = request.attempts().isEmpty();
        if (request.answer(neverSent ? refusalMessage(0) : failureMessage("too many requests wait"))) {
            context.counters().add(neverSent ? Counters.Count.REFUSED : Counters.Count.FAILED);
            logRequestEnd(request, "given_up");
            context.loop().postEvent(new RoutingPolicy.Abandoned(request.number()));
            removeIfComplete(request);
        }
    }

    /** Fails a request that the policy has left without an answer until after its deadline. */
    private void failOverdue(ClientRequest request) {
        if (request.answer(failureMessage("no answer in time"))) {
            context.counters().add(Counters.Count.OVERDUE);
            logRequestEnd(request, "overdue");
            context.loop().postEvent(new RoutingPolicy.Abandoned(request.number()));
            removeIfComplete(request);
        }
    }

    @Override
    public void requestAbandoned(ClientRequest request) {
        if (request.isEnded()) {
            return;
        }
        request.end();
        context.counters().add(Counters.Count.LAPSED);
        logRequestEnd(request, "client_gone");
        context.loop().postEvent(new RoutingPolicy.Abandoned(request.number()));
        removeIfComplete(request);
    }

    // ---- Actions of the policy

    void send(RoutingPolicy.Send send) {
        ClientRequest request = requests.get(send.request());
        if (request == null) {
            return;
        }
        long now = context.loop().now();
        long remainingNanos = request.deadline() - now;
        long timeoutNanos = send.timeout() == 0 ? remainingNanos : Math.min(send.timeout(), remainingNanos);
        int classIndex = classIndexes.getOrDefault(request.statement().className(), 0);
        Attempt attempt = new Attempt(request, send.member(), now, timeoutNanos, isIdempotent(classIndex), this);
        HostPool pool = members.pool(send.member());
        boolean forbiddenParallel = request.hasOpenAttempt() && !settings.limits().parallelAttempts();
        request.attempts().add(attempt);
        context.counters().add(Counters.Count.ATTEMPTS);
        if (request.isEnded() || timeoutNanos <= 0 || forbiddenParallel || pool == null
                || request.attempts().size() > settings.limits().maxAttempts()) {
            attempt.ended(AttemptOutcome.NEVER_SENT, new Reply(), now);
        } else if (!pool.hasIdleFor(attempt) && !context.descriptors().hasRoomForTraffic() && !freeDescriptor()) {
            attempt.ended(AttemptOutcome.NO_DESCRIPTOR, new Reply(), now);
        } else {
            EventLoop.Timer timer = context.loop().runAfter(timeoutNanos,
                () -> attempt.abort(AttemptOutcome.TIMED_OUT, context.loop().now()));
            attempt.attach(pool.execute(attempt), timer);
        }
    }

    void refuse(RoutingPolicy.Refuse refuse) {
        answer(refuse.request(), refusalMessage(refuse.retryAfter()), Counters.Count.REFUSED);
    }

    private static void logRequestEnd(ClientRequest request, String outcome) {
        LOG.debug("event=request_ended id={} how={} attempts={}", request.statement().id(), outcome, request.attempts().size());
    }

    private static byte[] refusalMessage(long retryAfterNanos) {
        String detail = retryAfterNanos > 0 ? Long.toString(Clock.nanosToMillis(retryAfterNanos)) : null;
        return withReadyForQuery(MessageWriter.error(SqlState.TOO_MANY_CONNECTIONS, "refused: trying again is harmless", detail));
    }

    void fail(RoutingPolicy.Fail fail) {
        answer(fail.request(), failureMessage("the request failed"), Counters.Count.FAILED);
    }

    private void answer(long number, byte[] message, Counters.Count count) {
        ClientRequest request = requests.get(number);
        if (request != null && request.answer(message)) {
            context.counters().add(count);
            logRequestEnd(request, count.name().toLowerCase(Locale.ROOT));
            removeIfComplete(request);
        }
    }

    void cancel(RoutingPolicy.Cancel cancel) {
        ClientRequest request = requests.get(cancel.request());
        if (request != null && cancel.attempt() < request.attempts().size()) {
            request.attempts().get(cancel.attempt()).abort(AttemptOutcome.GIVEN_UP, context.loop().now());
        }
    }

    // ---- Progress and results of attempts

    @Override
    public long latestWrite(Attempt attempt, long at) {
        return context.loop().confirmSend(at, attempt.request().number(), attempt.number());
    }

    @Override
    public void answerReceived(Attempt attempt, Reply reply) {
        if (consistencyOf(attempt.request()) == Consistency.WRITE) {
            context.loop().postEvent(new RoutingPolicy.WriteAnswered(attempt.request().number(), attempt.number()));
        }
        if (attempt.request().isEnded()) {
            return; // so that nobody has to free memory for an answer that nobody gets
        }
        byte[] answer = withReadyForQuery(reply.resultMessages());
        if (!context.bufferedBytes().hasRoomForAnswer(answer.length)) {
            replaceAnswer(attempt, answer.length);
        } else if (attempt.request().answer(answer)) {
            context.counters().add(Counters.Count.SERVED);
        }
    }

    /** Answers a request with an error in place of a member's answer, for which there is no memory. */
    private void replaceAnswer(Attempt attempt, int answerBytes) {
        boolean harmless = attempt.isIdempotent();
        if (attempt.request().answer(harmless ? refusalMessage(0) : failureMessage("too much of the router's memory is taken"))) {
            context.counters().add(Counters.Count.ANSWERS_REPLACED);
            context.counters().add(harmless ? Counters.Count.REFUSED : Counters.Count.FAILED);
            LOG.debug("event=answer_replaced id={} member={} bytes={} total={}", attempt.request().statement().id(),
                attempt.member(), answerBytes, context.bufferedBytes().totalBytes());
        }
    }

    @Override
    public void attemptEnded(Attempt attempt, AttemptOutcome outcome, Reply reply, long endedAt) {
        ClientRequest request = attempt.request();
        context.counters().addOutcome(outcome);
        LOG.debug("event=attempt_ended id={} attempt={} member={} ending={} ms={}", request.statement().id(), attempt.number(),
            attempt.member(), outcome, Clock.nanosToMillis(Math.max(0, endedAt - attempt.sentAt())));
        if (outcome == AttemptOutcome.BAD_STATEMENT && request.answer(
                withReadyForQuery(MessageWriter.error(SqlState.SYNTAX_ERROR, "no member could use this statement")))) {
            context.counters().add(Counters.Count.BAD_QUERIES);
        }
        // A host may report a position before a commit, and the commit's own behind it: only the end of the reply makes it final.
        long position = reply.ready() ? position(request, reply, endedAt) : RoutingPolicy.NONE;
        if (outcome == AttemptOutcome.SERVED) {
            countServed(attempt, HostReports.role(reply), position);
        }
        context.loop().postEvent(new RoutingPolicy.Outcome(
            request.number(), attempt.number(), attempt.member(), outcome.result(), Math.max(0, endedAt - attempt.sentAt()),
            request.isEnded(), HostReports.role(reply), position, HostReports.report(reply, endedAt)));
        removeIfComplete(request);
    }

    /** Counts what sessions cost the primary: how many of their reads it serves, and which writes leave their position open. */
    private void countServed(Attempt attempt, RoutingPolicy.Role role, long position) {
        Consistency consistency = consistencyOf(attempt.request());
        if (consistency == Consistency.SESSION) {
            context.counters().add(Counters.Count.SESSION_READS);
            context.counters().add(Counters.Count.SESSION_READS_AT_PRIMARY, role == RoutingPolicy.Role.PRIMARY ? 1 : 0);
        } else if (consistency == Consistency.WRITE && position == RoutingPolicy.NONE) {
            context.counters().add(Counters.Count.WRITES_WITHOUT_POSITION);
            LOG.debug("event=write_without_position id={} member={}", attempt.request().statement().id(), attempt.member());
        }
    }

    /** The position that a reply tells. A write's is rounded up, any other down: no member may seem to have what it lacks. */
    private long position(ClientRequest request, Reply reply, long at) {
        boolean isWrite = consistencyOf(request) == Consistency.WRITE;
        return isWrite ? HostReports.commitPosition(reply, at) : HostReports.position(reply, at);
    }

    private Consistency consistencyOf(ClientRequest request) {
        return settings.classes().get(classIndexes.get(request.statement().className())).consistency();
    }

    private void removeIfComplete(ClientRequest request) {
        boolean complete = request.isEnded() && !request.hasOpenAttempt();
        if (complete && requests.remove(request.number(), request) && request.attempts().isEmpty()) {
            requestIds.release(request.statement().id()); // the client may send it again on another connection
        }
    }

    private static byte[] failureMessage(String text) {
        return withReadyForQuery(MessageWriter.error(SqlState.CONNECTION_FAILURE, text));
    }

    private static byte[] withReadyForQuery(byte[] message) {
        return MessageWriter.join(message, MessageWriter.readyForQuery());
    }

    // ---- Status and shutdown

    /** A summary of the open connections and requests, for the log. */
    String summary() {
        return clients.size() + " clients (" + silentClients.size() + " silent, " + idleClients.size() + " idle), "
            + requests.size() + " requests in hand, " + requestIds.size() + " ids remembered";
    }

    /** The numbers of requests, clients and reserved ids, by which tests see that none are left over. */
    String sizes() {
        return "requests " + requests.size() + ", clients " + clients.size() + ", ids " + requestIds.size();
    }

    /** Closes each connection once its commands are answered; new ones close after their first answer. */
    void drain() {
        draining = true;
        openConnections().forEach(ClientConnection::closeWhenAnswered);
    }

    /** Fails every request that has no answer yet, and refuses those that are received from now on. */
    void failUnanswered() {
        stopping = true;
        for (ClientRequest request : List.copyOf(requests.values())) {
            if (request.answer(failureMessage("the router stops"))) {
                context.counters().add(Counters.Count.FAILED);
            }
        }
    }

    boolean hasClients() {
        return !clients.isEmpty() || !refusedClients.isEmpty();
    }

    /** Reads nothing more from clients: what they send from now on is left to be sent again elsewhere. */
    void stopReading() {
        openConnections().forEach(ClientConnection::stopReading);
    }

    void closeClients() {
        openConnections().forEach(ClientConnection::closeAfterAnswers);
    }

    /** A copy of all open connections: those served and those turned away. */
    private List<ClientConnection> openConnections() {
        List<ClientConnection> connections = new ArrayList<>(clients);
        connections.addAll(refusedClients);
        return connections;
    }
}
