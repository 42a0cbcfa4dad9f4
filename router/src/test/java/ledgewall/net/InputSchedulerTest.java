package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a turn of the event loop processes of the clients' commands does not grow with their number. */
class InputSchedulerTest {
    private final Counters counters = new Counters();
    private final InputScheduler scheduler = new InputScheduler(counters);
    private long now;

    /** A source with a number of queued commands. */
    private final class QueuedCommands implements InputScheduler.Source {
        private final InputScheduler.Quota quota = scheduler.new Quota();
        private final boolean isRequest;
        private int queued;
        private int processed;

        private QueuedCommands(int queued) {
            this(queued, false);
        }

        private QueuedCommands(int queued, boolean isRequest) {
            this.queued = queued;
            this.isRequest = isRequest;
        }

        @Override
        public void processQueued() {
            while (queued > 0) {
                if (!quota.take(isRequest)) {
                    scheduler.defer(this);
                    return;
                }
                queued--;
                processed++;
            }
        }
    }

    private List<QueuedCommands> sources(int count, int commands) {
        return IntStream.range(0, count).mapToObj(i -> new QueuedCommands(commands)).toList();
    }

    /** Runs what has been put off at the time at which it is due next. */
    private void runDeferred() {
        now += InputScheduler.DEFERRED_INTERVAL_NANOS;
        scheduler.runDeferred(now);
    }

    private static int processed(List<QueuedCommands> sources) {
        return sources.stream().mapToInt(source -> source.processed).sum();
    }

    @ParameterizedTest
    @CsvSource({"6, 1000", "6, 100000", "300, 1000", "300, 10000"})
    void turnProcessesABoundedNumberOfCommandsHoweverManyAreQueued(int connections, int commands) {
        List<QueuedCommands> sources = sources(connections, commands);
        int before = 0;
        for (int turn = 0; turn < 5; turn++) {
            scheduler.startTurn();
            if (turn == 0) {
                sources.forEach(QueuedCommands::processQueued);
            }
            runDeferred();
            int inTurn = processed(sources) - before;
            before += inTurn;
            assertTrue(inTurn <= InputScheduler.COMMANDS_PER_TURN + InputScheduler.COMMANDS_PER_CONNECTION, "" + inTurn);
            assertTrue(inTurn >= Math.min(connections * InputScheduler.COMMANDS_PER_CONNECTION,
                InputScheduler.COMMANDS_PER_TURN), "" + inTurn);
        }
        assertEquals(before, counters.of(Counters.Count.COMMANDS));
    }

    @Test
    void turnProcessesFewerRequestsThanOtherCommands() {
        List<QueuedCommands> sources = IntStream.range(0, 100).mapToObj(i -> new QueuedCommands(100, true)).toList();
        scheduler.startTurn();
        sources.forEach(QueuedCommands::processQueued);
        int each = InputScheduler.COMMANDS_PER_CONNECTION / InputScheduler.COMMANDS_PER_REQUEST;
        assertEquals(each, sources.get(0).processed);
        assertEquals(InputScheduler.COMMANDS_PER_TURN / InputScheduler.COMMANDS_PER_REQUEST, processed(sources));
    }

    @Test
    void everyConnectionHasItsTurnBeforeOneHasASecond() {
        List<QueuedCommands> sources = sources(40, 1_000);
        scheduler.startTurn();
        sources.forEach(QueuedCommands::processQueued);
        for (int turn = 1; turn < 40 * InputScheduler.COMMANDS_PER_CONNECTION / InputScheduler.COMMANDS_PER_TURN; turn++) {
            runDeferred();
            scheduler.startTurn();
        }
        runDeferred();
        sources.forEach(source -> assertTrue(source.processed >= InputScheduler.COMMANDS_PER_CONNECTION, "" + source.processed));
    }

    @Test
    void newInputDoesNotKeepDeferredConnectionsWaiting() {
        QueuedCommands deferred = new QueuedCommands(InputScheduler.COMMANDS_PER_CONNECTION + 1);
        scheduler.startTurn();
        deferred.processQueued();
        scheduler.startTurn();
        sources(20, InputScheduler.COMMANDS_PER_CONNECTION).forEach(QueuedCommands::processQueued);
        runDeferred();
        assertEquals(0, deferred.queued);
    }

    /** Guards against floods that take all of the processor, a bounded turn after the other. */
    @Test
    void turnsForDeferredCommandsAreApart() {
        QueuedCommands source = new QueuedCommands(1_000);
        scheduler.startTurn();
        source.processQueued();
        runDeferred();
        int processed = source.processed;
        scheduler.startTurn();
        scheduler.runDeferred(now + InputScheduler.DEFERRED_INTERVAL_NANOS - 1);
        assertEquals(processed, source.processed);
        assertEquals(now + InputScheduler.DEFERRED_INTERVAL_NANOS, scheduler.nextDeferredAt());
        runDeferred();
        assertEquals(processed + InputScheduler.COMMANDS_PER_CONNECTION, source.processed);
    }

    @Test
    void closedConnectionIsForgotten() {
        QueuedCommands source = new QueuedCommands(1_000);
        scheduler.startTurn();
        source.processQueued();
        assertTrue(scheduler.hasDeferred());
        scheduler.remove(source);
        assertFalse(scheduler.hasDeferred());
    }

    /** Guards against a system call and a task for each answer to a short command. */
    @ParameterizedTest
    @CsvSource({"100", "1000"})
    void answersOfOneTurnAreWrittenTogether(int commands) {
        try (ConnectionFixture fixture = new ConnectionFixture()) {
            byte[][] queries = new byte[commands][];
            Arrays.fill(queries, Wire.query(""));
            long writesBefore = fixture.counters().of(Counters.Count.CLIENT_WRITES);
            long commandsBefore = fixture.counters().of(Counters.Count.COMMANDS);
            fixture.read(Wire.join(queries)).run();
            assertEquals(1, fixture.counters().of(Counters.Count.CLIENT_WRITES) - writesBefore);
            long processed = fixture.counters().of(Counters.Count.COMMANDS) - commandsBefore;
            assertTrue(processed <= InputScheduler.COMMANDS_PER_CONNECTION, "" + processed);
            assertEquals(commands > InputScheduler.COMMANDS_PER_CONNECTION, fixture.isReadSuspended());
        }
    }
}
