package ledgewall.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Need;
import ledgewall.pg.MessageWriter;
import ledgewall.pg.Reply;
import ledgewall.pg.SqlState;
import ledgewall.pg.Statement;
import ledgewall.settings.Vocabulary;

/** Takes requests in, tells the policy of them, and gives each its one answer. */
final class Desk implements ClientConnection.Owner, Attempt.Listener {
    /** A day: no client waits longer, and much longer would not fit the clock. */
    private static final long LONGEST_WAIT_MILLIS = 24L * 3_600 * 1_000;

    private final Wiring wiring;
    private final RoutingPolicy.Settings settings;
    private final Members members;
    private final Vocabulary vocabulary;
    private final Names tenants;
    private final long answerSlack;
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private long lastNumber;
    private boolean draining;

    Desk(Wiring wiring, RouterConfig config, Members members) {
        this.wiring = wiring;
        this.settings = config.settings();
        this.members = members;
        this.vocabulary = config.vocabulary();
        this.tenants = new Names(vocabulary.tenants());
        this.answerSlack = config.transport().answerSlack();
    }

    @Override
    public boolean admit(ClientConnection connection) {
        if (!wiring.descriptors().roomForTraffic() && !members.closeOldestIdle()) {
            wiring.counters().add(Counters.Count.CLIENTS_TURNED_AWAY);
            return false;
        }
        wiring.descriptors().take();
        wiring.counters().add(Counters.Count.CLIENTS);
        clients.add(connection);
        if (draining) {
            connection.closeAfterNextAnswer();
        }
        return true;
    }

    @Override
    public void left(ClientConnection connection) {
        wiring.descriptors().release();
        clients.remove(connection);
    }

    @Override
    public ClientRequest take(Statement statement, ClientConnection.Slot slot, long at) {
        wiring.counters().add(Counters.Count.REQUESTS);
        long deadline = at + Clock.millis(Math.min(statement.waitMillis(), LONGEST_WAIT_MILLIS));
        ClientRequest request = new ClientRequest(++lastNumber, statement, deadline, slot);
        int index = vocabulary.classes().indexOf(statement.className());
        if (index < 0) {
            wiring.counters().add(Counters.Count.BAD_QUERIES);
            request.answer(withReady(MessageWriter.error(SqlState.SYNTAX_ERROR, "unknown class")));
            return request;
        }
        requests.put(request.number(), request);
        request.watch(wiring.loop().at(deadline + answerSlack, () -> overdue(request)));
        wiring.loop().tell(arrival(request, index));
        return request;
    }

    private RoutingPolicy.Arrival arrival(ClientRequest request, int index) {
        Statement statement = request.statement();
        Need need = settings.classes().get(index).need();
        boolean sessions = need == Need.WRITE || need == Need.SESSION;
        long writtenAt = Clock.ofUnixMillis(statement.writtenAtMillis());
        boolean token = need == Need.SESSION && settings.data().tokensCarried() && writtenAt != 0;
        long now = wiring.loop().now();
        return new RoutingPolicy.Arrival(
            request.number(), index, statement.tenant().isEmpty() ? 0 : tenants.index(statement.tenant()),
            statement.group(), sessions ? statement.sessionKey() : RoutingPolicy.NONE, request.deadline() - now,
            token ? Math.max(0, now - writtenAt) : RoutingPolicy.NONE, statement.retry());
    }

    /** The policy has left a request without an answer for too long: the client is told so. */
    private void overdue(ClientRequest request) {
        if (request.answer(failure("no answer in time"))) {
            wiring.counters().add(Counters.Count.OVERDUE);
            wiring.loop().tell(new RoutingPolicy.Lapsed(request.number()));
            forgetIfOver(request);
        }
    }

    @Override
    public void lapsed(ClientRequest request) {
        if (request.isOver()) {
            return;
        }
        request.end();
        wiring.counters().add(Counters.Count.LAPSED);
        wiring.loop().tell(new RoutingPolicy.Lapsed(request.number()));
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
        Attempt attempt = new Attempt(request, send.member(), now, timeout, this);
        Members.Host host = members.host(send.member());
        boolean second = request.hasOpenAttempt() && !settings.limits().parallelTries();
        request.attempts().add(attempt);
        wiring.counters().add(Counters.Count.ATTEMPTS);
        if (request.isOver() || timeout <= 0 || second || host == null
                || request.attempts().size() > settings.limits().maxAttempts()) {
            attempt.ended(Ending.NEVER_SENT, new Reply(), now);
        } else if (!host.requests().hasIdle() && !wiring.descriptors().roomForTraffic()
                && !members.closeOldestIdle()) {
            attempt.ended(Ending.NO_DESCRIPTOR, new Reply(), now);
        } else {
            EventLoop.Timer timer = wiring.loop().in(timeout,
                () -> attempt.giveUp(Ending.TIMED_OUT, wiring.loop().now()));
            attempt.carriedBy(host.requests().run(attempt), timer);
        }
    }

    void refuse(RoutingPolicy.Refuse refuse) {
        String detail = refuse.retryAfter() > 0 ? Long.toString(Clock.toMillis(refuse.retryAfter())) : null;
        byte[] error = MessageWriter.error(SqlState.TOO_MANY_CONNECTIONS, "refused: trying again is harmless", detail);
        answer(refuse.request(), withReady(error), Counters.Count.REFUSED);
    }

    void fail(RoutingPolicy.Fail fail) {
        answer(fail.request(), failure("the request failed"), Counters.Count.FAILED);
    }

    private void answer(long number, byte[] message, Counters.Count count) {
        ClientRequest request = requests.get(number);
        if (request != null && request.answer(message)) {
            wiring.counters().add(count);
            forgetIfOver(request);
        }
    }

    void cancel(RoutingPolicy.Cancel cancel) {
        ClientRequest request = requests.get(cancel.request());
        if (request != null && cancel.attempt() < request.attempts().size()) {
            request.attempts().get(cancel.attempt()).giveUp(Ending.GIVEN_UP, wiring.loop().now());
        }
    }

    // ---- What becomes of attempts

    @Override
    public void served(Attempt attempt, Reply reply) {
        if (attempt.request().answer(withReady(reply.answer()))) {
            wiring.counters().add(Counters.Count.SERVED);
        }
    }

    @Override
    public void ended(Attempt attempt, Ending ending, Reply reply, long at) {
        ClientRequest request = attempt.request();
        wiring.counters().addEnding(ending);
        wiring.loop().tell(new RoutingPolicy.Outcome(
            request.number(), attempt.number(), attempt.member(), ending.result(), Math.max(0, at - attempt.sentAt()),
            request.isOver(), Notes.role(reply), Notes.position(reply), Notes.report(reply)));
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

    /** From now on connections close once nothing of theirs is in hand; new ones after their first answer. */
    void drain() {
        draining = true;
        closeIdleClients();
    }

    /** No more clients come: those that are left close once nothing of theirs is in hand. */
    void closeIdleClients() {
        new ArrayList<>(clients).forEach(ClientConnection::closeAfterAnswers);
    }

    boolean hasClients() {
        return !clients.isEmpty();
    }

    void closeClients() {
        new ArrayList<>(clients).forEach(ClientConnection::close);
    }
}
