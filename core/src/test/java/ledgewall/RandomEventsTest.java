package ledgewall;

import static ledgewall.PolicyHarness.MS;
import static ledgewall.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ledgewall.RoutingPolicy.*;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the policy meets its constraints under seeded random events, which are valid but in arbitrary order. */
class RandomEventsTest {
    private static final List<String> MEMBER_IDS = List.of("a", "b", "c", "d", "e", "f");
    private static final int MAX_ATTEMPTS = 4;

    private static final class TrackedRequest {
        final Arrival arrival;
        final long deadline;
        final List<String> sentTo = new ArrayList<>();
        int endedAttempts;
        boolean mayHaveExecuted;
        boolean finished;

        TrackedRequest(Arrival arrival, long deadline) {
            this.arrival = arrival;
            this.deadline = deadline;
        }

        boolean hasAttemptInFlight() {
            return endedAttempts < sentTo.size();
        }
    }

    private RetrySafety writeSafety;
    private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<String, Phase> phases = new LinkedHashMap<>();
    private final Map<String, Boolean> probesInFlight = new LinkedHashMap<>();

    @ParameterizedTest
    @CsvSource({"1,AT_MOST_ONCE,REFUSES", "2,AT_MOST_ONCE,SERVES", "3,DEDUPLICATED,WAITS", "4,IDEMPOTENT,REFUSES",
        "5,AT_MOST_ONCE,WAITS", "6,DEDUPLICATED,SERVES"})
    void constraintsHoldUnderRandomEvents(long seed, RetrySafety writeSafety, StaleReadHandling staleReads) {
        this.writeSafety = writeSafety;
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness harness = new PolicyHarness(PolicyHarness.settings(writeSafety, staleReads, seed % 2 == 0));
        MEMBER_IDS.forEach(id -> phases.put(id, Phase.SERVING));
        checkActions(harness, harness.process(new MemberList(ListKind.CACHED,
            MEMBER_IDS.stream().map(id -> listing(id, Phase.SERVING, 0)).toList())));
        for (int step = 0; step < 6_000; step++) {
            harness.now += 5 * MS;
            checkActions(harness, harness.process(new TimerFired(0)));
            List<Event> events = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                Event event = randomEvent(random, harness);
                if (event != null) {
                    events.add(event);
                }
            }
            checkActions(harness, harness.process(events.toArray(Event[]::new)));
        }
        for (long end = harness.now + 3 * SECOND; harness.now < end; harness.now += 5 * MS) {
            checkActions(harness, harness.process(new TimerFired(0)));
        }
        requests.values().forEach(r -> assertTrue(r.finished, () -> "no answer to " + r.arrival));
        assertTrue(requests.size() > 500);
    }

    private static Listing listing(String id, Phase phase, long startedAt) {
        return new Listing(id, MEMBER_IDS.indexOf(id) / 3, 0, 0, phase, 1, false, startedAt);
    }

    private Event randomEvent(SplittableRandom random, PolicyHarness harness) {
        String member = MEMBER_IDS.get(random.nextInt(MEMBER_IDS.size()));
        int kind = random.nextInt(20);
        if (kind < 6) {
            int requestClass = random.nextInt(3);
            Arrival arrival = new Arrival(requests.size() + 1, requestClass, 0, random.nextInt(2), 5,
                random.nextLong(50, 2_000) * MS, RoutingPolicy.NONE, random.nextInt(4) == 0);
            requests.put(arrival.request(), new TrackedRequest(arrival, harness.now + arrival.timeLeft()));
            return arrival;
        } else if (kind < 14) {
            return randomOutcome(random, harness.now);
        } else if (kind < 18) {
            if (!probesInFlight.getOrDefault(member, false)) {
                return null;
            }
            probesInFlight.put(member, false);
            Result result = random.nextInt(5) == 0 ? Result.NOT_CONNECTED : Result.OK;
            Role role = random.nextInt(3) == 0 ? Role.PRIMARY : Role.REPLICA;
            return new ProbeResult(member, result, MS, result != Result.OK ? null
                : new Report(harness.now - random.nextLong(2_000) * MS, role, Double.NaN, Double.NaN));
        } else if (kind == 18) {
            Phase phase = random.nextInt(3) > 0 ? Phase.SERVING : random.nextBoolean() ? Phase.DRAINING : Phase.GONE;
            phases.put(member, phase);
            return new MemberList(ListKind.DELTA, List.of(listing(member, phase, harness.now)));
        }
        return new MemberList(ListKind.FAILED, List.of());
    }

    private Event randomOutcome(SplittableRandom random, long now) {
        List<TrackedRequest> inFlight = requests.values().stream().filter(TrackedRequest::hasAttemptInFlight).toList();
        if (inFlight.isEmpty()) {
            return null;
        }
        TrackedRequest request = inFlight.get(random.nextInt(inFlight.size()));
        Result result = Result.values()[random.nextInt(Result.values().length)];
        int attempt = request.endedAttempts++;
        request.mayHaveExecuted |= List.of(Result.OK, Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CANCELLED)
            .contains(result);
        request.finished |= result == Result.OK;
        Role role = result == Result.OK || result == Result.MISDIRECTED ? Role.values()[random.nextInt(3)] : Role.UNKNOWN;
        return new Outcome(request.arrival.request(), attempt, request.sentTo.get(attempt), result,
            random.nextLong(400) * MS, request.finished, role, role == Role.UNKNOWN ? RoutingPolicy.NONE : now, null);
    }

    private void checkActions(PolicyHarness harness, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                TrackedRequest request = unfinished(send.request());
                assertFalse(request.hasAttemptInFlight(), "two attempts in flight at once");
                assertEquals(Phase.SERVING, phases.get(send.member()));
                assertEquals(request.arrival.group(), MEMBER_IDS.indexOf(send.member()) / 3);
                assertTrue(send.timeout() > 0 && harness.now + send.timeout() <= request.deadline);
                assertFalse(isAtMostOnceWrite(request) && request.mayHaveExecuted, "an at-most-once write was sent again");
                request.sentTo.add(send.member());
                assertTrue(request.sentTo.size() <= MAX_ATTEMPTS);
            } else if (action instanceof Refuse refuse) {
                TrackedRequest request = unfinished(refuse.request());
                boolean mayBeExecuted = request.mayHaveExecuted || request.hasAttemptInFlight();
                assertFalse(!isIdempotent(request) && mayBeExecuted, "refused a request that may have been executed");
                finish(harness, request);
            } else if (action instanceof Fail fail) {
                finish(harness, unfinished(fail.request()));
            } else if (action instanceof Cancel cancel) {
                assertTrue(cancel.attempt() < requests.get(cancel.request()).sentTo.size());
            } else if (action instanceof Probe probe) {
                probesInFlight.put(probe.member(), true);
            }
        }
    }

    private TrackedRequest unfinished(long id) {
        TrackedRequest request = requests.get(id);
        assertNotNull(request);
        assertFalse(request.finished, "acted on a finished request");
        return request;
    }

    private static void finish(PolicyHarness harness, TrackedRequest request) {
        request.finished = true;
        assertTrue(harness.now <= request.deadline, "answered after the deadline");
    }

    private boolean isAtMostOnceWrite(TrackedRequest request) {
        return request.arrival.requestClass() == PolicyHarness.WRITE && writeSafety == RetrySafety.AT_MOST_ONCE;
    }

    private boolean isIdempotent(TrackedRequest request) {
        return request.arrival.requestClass() != PolicyHarness.WRITE || writeSafety == RetrySafety.IDEMPOTENT;
    }
}
