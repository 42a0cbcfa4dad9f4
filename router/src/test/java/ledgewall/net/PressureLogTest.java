package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PressureLogTest {
    private final Counters counters = new Counters();
    private final PressureLog log = new PressureLog(counters);

    @Test
    void namesWhatHasGrownSinceTheLastLine() {
        counters.add(Counters.Count.SERVED, 100);
        assertEquals("", log.takeGrowth());
        counters.add(Counters.Count.CLIENTS_TURNED_AWAY, 3);
        counters.add(Counters.Count.QUEUES_SHED);
        assertEquals("clients_turned_away=3 queues_shed=1", log.takeGrowth());
        counters.add(Counters.Count.QUEUES_SHED, 2);
        assertEquals("queues_shed=2", log.takeGrowth());
        assertEquals("", log.takeGrowth());
    }

    @Test
    void logsOnceInAnInterval() {
        counters.add(Counters.Count.BAD_CLIENTS);
        log.update(0);
        counters.add(Counters.Count.BAD_CLIENTS);
        log.update(PressureLog.INTERVAL_NANOS - 1);
        assertEquals("bad_clients=1", log.takeGrowth());
    }
}
