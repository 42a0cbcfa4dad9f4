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

/** Keeps the rules under seeded random events, legal but in no sensible order. */
class RandomEventsTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f");
    private static final int MOST_ATTEMPTS = 4;

    private static final class Ticket {
        final Arrival arrival;
        final long deadline;
        final List<String> members = new ArrayList<>();
        int answered;
        boolean mayHaveRun;
        boolean over;

        Ticket(Arrival arrival, long deadline) {
            this.arrival = arrival;
            this.deadline = deadline;
        }

        boolean out() {
            return answered < members.size();
        }
    }

    private Effect writes;
    private final Map<Long, Ticket> tickets = new LinkedHashMap<>();
    private final Map<String, Phase> phases = new LinkedHashMap<>();
    private final Map<String, Boolean> probed = new LinkedHashMap<>();

    @ParameterizedTest
    @CsvSource({"1,AT_MOST_ONCE,REFUSES", "2,AT_MOST_ONCE,ANSWERS", "3,DEDUPLICATED,WAITS", "4,IDEMPOTENT,REFUSES",
        "5,AT_MOST_ONCE,WAITS", "6,DEDUPLICATED,ANSWERS"})
    void theRulesHold(long seed, Effect writes, Behind behind) {
        this.writes = writes;
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness bench = new PolicyHarness(PolicyHarness.settings(writes, behind, seed % 2 == 0));
        NAMES.forEach(name -> phases.put(name, Phase.SERVING));
        check(bench, bench.feed(new MemberList(ListKind.REMEMBERED,
            NAMES.stream().map(name -> listing(name, Phase.SERVING, 0)).toList())));
        for (int step = 0; step < 6_000; step++) {
            bench.now += 5 * MS;
            check(bench, bench.feed(new TimerDue(0)));
            List<Event> events = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                Event event = next(random, bench);
                if (event != null) {
                    events.add(event);
                }
            }
            check(bench, bench.feed(events.toArray(Event[]::new)));
        }
        for (long end = bench.now + 3 * SECOND; bench.now < end; bench.now += 5 * MS) {
            check(bench, bench.feed(new TimerDue(0)));
        }
        tickets.values().forEach(t -> assertTrue(t.over, () -> "no answer to " + t.arrival));
        assertTrue(tickets.size() > 500);
    }

    private static Listing listing(String name, Phase phase, long born) {
        return new Listing(name, NAMES.indexOf(name) / 3, 0, 0, phase, 1, false, born);
    }

    private Event next(SplittableRandom random, PolicyHarness bench) {
        String member = NAMES.get(random.nextInt(NAMES.size()));
        int kind = random.nextInt(20);
        if (kind < 6) {
            int requestClass = random.nextInt(3);
            Arrival arrival = new Arrival(tickets.size() + 1, requestClass, 0, random.nextInt(2), 5,
                random.nextLong(50, 2_000) * MS, RoutingPolicy.NONE, random.nextInt(4) == 0);
            tickets.put(arrival.request(), new Ticket(arrival, bench.now + arrival.timeLeft()));
            return arrival;
        } else if (kind < 14) {
            return outcome(random, bench.now);
        } else if (kind < 18) {
            if (!probed.getOrDefault(member, false)) {
                return null;
            }
            probed.put(member, false);
            Result result = random.nextInt(5) == 0 ? Result.NOT_CONNECTED : Result.OK;
            Role role = random.nextInt(3) == 0 ? Role.PRIMARY : Role.REPLICA;
            return new ProbeResult(member, result, MS, result != Result.OK ? null
                : new Report(bench.now - random.nextLong(2_000) * MS, role, Double.NaN, Double.NaN));
        } else if (kind == 18) {
            Phase phase = random.nextInt(3) > 0 ? Phase.SERVING : random.nextBoolean() ? Phase.DRAINING : Phase.GONE;
            phases.put(member, phase);
            return new MemberList(ListKind.CHANGES, List.of(listing(member, phase, bench.now)));
        }
        return new MemberList(ListKind.FAILED, List.of());
    }

    private Event outcome(SplittableRandom random, long now) {
        List<Ticket> out = tickets.values().stream().filter(Ticket::out).toList();
        if (out.isEmpty()) {
            return null;
        }
        Ticket ticket = out.get(random.nextInt(out.size()));
        Result result = Result.values()[random.nextInt(Result.values().length)];
        int attempt = ticket.answered++;
        ticket.mayHaveRun |= List.of(Result.OK, Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CANCELLED)
            .contains(result);
        ticket.over |= result == Result.OK;
        Role role = result == Result.OK || result == Result.MISSED ? Role.values()[random.nextInt(3)] : Role.UNKNOWN;
        return new Outcome(ticket.arrival.request(), attempt, ticket.members.get(attempt), result,
            random.nextLong(400) * MS, ticket.over, role, role == Role.UNKNOWN ? RoutingPolicy.NONE : now, null);
    }

    private void check(PolicyHarness bench, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                Ticket ticket = open(send.request());
                assertFalse(ticket.out(), "two attempts out together");
                assertEquals(Phase.SERVING, phases.get(send.member()));
                assertEquals(ticket.arrival.group(), NAMES.indexOf(send.member()) / 3);
                assertTrue(send.timeout() > 0 && bench.now + send.timeout() <= ticket.deadline);
                assertFalse(unsafe(ticket) && ticket.mayHaveRun, "an unsafe effect was sent again");
                ticket.members.add(send.member());
                assertTrue(ticket.members.size() <= MOST_ATTEMPTS);
            } else if (action instanceof Refuse refuse) {
                Ticket ticket = open(refuse.request());
                boolean mayRun = ticket.mayHaveRun || ticket.out();
                assertFalse(!repeatable(ticket) && mayRun, "refused what may have run");
                finish(bench, ticket);
            } else if (action instanceof Fail fail) {
                finish(bench, open(fail.request()));
            } else if (action instanceof Cancel cancel) {
                assertTrue(cancel.attempt() < tickets.get(cancel.request()).members.size());
            } else if (action instanceof Probe probe) {
                probed.put(probe.member(), true);
            }
        }
    }

    private Ticket open(long request) {
        Ticket ticket = tickets.get(request);
        assertNotNull(ticket);
        assertFalse(ticket.over, "acted on a request that had ended");
        return ticket;
    }

    private static void finish(PolicyHarness bench, Ticket ticket) {
        ticket.over = true;
        assertTrue(bench.now <= ticket.deadline, "answered too late");
    }

    private boolean unsafe(Ticket ticket) {
        return ticket.arrival.requestClass() == PolicyHarness.WRITE && writes == Effect.AT_MOST_ONCE;
    }

    private boolean repeatable(Ticket ticket) {
        return ticket.arrival.requestClass() != PolicyHarness.WRITE || writes == Effect.IDEMPOTENT;
    }
}
