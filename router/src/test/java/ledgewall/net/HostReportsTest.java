package ledgewall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ledgewall.RoutingPolicy;
import ledgewall.RoutingPolicy.Report;
import ledgewall.RoutingPolicy.Role;
import ledgewall.pg.ProtocolException;
import ledgewall.pg.Reply;
import ledgewall.standin.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HostReportsTest {
    private static final long NOW_NANOS = 1_796_133_714_000_000_000L;

    /** Guards against reading the position as milliseconds: it was then in 1970, and no bounded read was sent to a replica. */
    @Test
    void reportPositionIsInUnixSeconds() {
        Report report = HostReports.report("x0=1796133713.021,x1=0", NOW_NANOS);
        assertEquals(1_796_133_713_021_000_000L, report.position());
        assertEquals(Role.REPLICA, report.role());
    }

    /** Guards against a position that claims a commit which the host has not applied; a millisecond is met exactly. */
    @ParameterizedTest
    @CsvSource({"1796133713.0219,21", "1796133713.0215,21", "1796133713.021,21", "1796133713.000999999,0",
        "1.796133713021E9,21", "1796133713,0"})
    void reportPositionIsRoundedDownToTheMillisecond(String seconds, long millis) {
        Report report = HostReports.report("x0=" + seconds + ",x1=0", NOW_NANOS);
        assertEquals(1_796_133_713_000_000_000L + millis * RouterHarness.MS, report.position());
    }

    /** Guards against a write that seems older than it is, so that a replica passes for one that has applied it. */
    @ParameterizedTest
    @CsvSource({"1796133713021.2,22", "1796133713021,21", "1796133713020.0001,21"})
    void commitIsRoundedUpToTheMillisecond(String millisText, long millis) throws ProtocolException {
        Reply reply = new Reply();
        reply.accept(Wire.paramFrame("wal_time", millisText));
        assertEquals(1_796_133_713_000_000_000L + millis * RouterHarness.MS, HostReports.commitPosition(reply, NOW_NANOS));
        assertEquals(1_796_133_713_000_000_000L + (long) Double.parseDouble(millisText) % 1_000 * RouterHarness.MS,
            HostReports.position(reply, NOW_NANOS));
    }

    /** A host that has not reported yet sends 0: a position in the distant past, which must not be taken for a current one. */
    @Test
    void positionZeroInReportIsDistantPastNotMissing() {
        Report report = HostReports.report("x0=0.000,x1=0", NOW_NANOS);
        assertEquals(0, report.position());
        assertEquals(Role.REPLICA, report.role());
    }

    @Test
    void reportWithoutPositionOrRoleLeavesBothUnknown() {
        Report report = HostReports.report("util=0.61, queue=4,novel=7,inflight=3", NOW_NANOS);
        assertEquals(RoutingPolicy.NONE, report.position());
        assertEquals(Role.UNKNOWN, report.role());
        assertEquals(0.61, report.utilisation());
        assertEquals(4, report.queued());
        assertTrue(Double.isNaN(HostReports.report("x1=1", NOW_NANOS).utilisation()));
        assertNull(HostReports.report(" ", NOW_NANOS));
    }

    /** A report with one malformed value is rejected entirely. */
    @ParameterizedTest
    @ValueSource(strings = {"x0=noise,x1=1", "x0=-5,x1=1", "x0=NaN,x1=1", "x0=Infinity,x1=0", "x0=1e300,x1=1",
        "x0=1796133999.0,x1=1", "x0=1796133713.0,x1=7", "x1", "=1", "x0=1796133713.0,x1=1,", "\u0000\u0001"})
    void malformedReportIsRejected(String text) {
        assertNull(HostReports.report(text, NOW_NANOS));
    }

    @Test
    void answerPositionInTheFutureIsRejected() throws ProtocolException {
        Reply reply = new Reply();
        reply.accept(Wire.paramFrame("wal_time", "1796139999000"));
        assertEquals(RoutingPolicy.NONE, HostReports.position(reply, NOW_NANOS));
    }

    @Test
    void answerPositionIsInUnixMilliseconds() throws ProtocolException {
        Reply reply = new Reply();
        reply.accept(Wire.paramFrame("mode", "read-write"));
        reply.accept(Wire.paramFrame("wal_time", "1796133713021"));
        assertEquals(1_796_133_713_021_000_000L, HostReports.position(reply, NOW_NANOS));
        assertEquals(Role.PRIMARY, HostReports.role(reply));
    }

    @Test
    void answerWithoutParametersLeavesPositionAndRoleUnknown() throws ProtocolException {
        Reply reply = new Reply();
        assertEquals(RoutingPolicy.NONE, HostReports.position(reply, NOW_NANOS));
        assertEquals(Role.UNKNOWN, HostReports.role(reply));
        assertNull(HostReports.report(reply, NOW_NANOS));
        reply.accept(Wire.paramFrame("mode", "standby"));
        reply.accept(Wire.paramFrame("wal_time", "0"));
        assertEquals(Role.UNKNOWN, HostReports.role(reply));
        assertEquals(RoutingPolicy.NONE, HostReports.position(reply, NOW_NANOS));
    }
}
