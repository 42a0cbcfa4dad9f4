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

class NotesTest {
    /** Read as milliseconds, a replica's position lay in 1970 and no bounded read ever went to a replica. */
    @Test
    void aReportsPositionIsInUnixSeconds() {
        Report report = Notes.report("x0=1796133713.021,x1=0");
        assertEquals(1_796_133_713_021_000_000L, report.position());
        assertEquals(Role.REPLICA, report.role());
    }

    /** A host that has not reported yet says 0: evidence of long ago, which must not pass for today's. */
    @Test
    void aReportOfLongAgoIsNoMissingPosition() {
        Report report = Notes.report("x0=0.000,x1=0");
        assertEquals(0, report.position());
        assertEquals(Role.REPLICA, report.role());
    }

    @Test
    void aReportWithoutPositionOrRoleTellsNeither() {
        Report report = Notes.report("util=0.61, queue=4,novel=7,broken,inflight=x");
        assertEquals(RoutingPolicy.NONE, report.position());
        assertEquals(Role.UNKNOWN, report.role());
        assertEquals(0.61, report.utilisation());
        assertEquals(4, report.queued());
        assertTrue(Double.isNaN(Notes.report("x1=1").utilisation()));
        assertNull(Notes.report(" "));
    }

    @Test
    void anAnswersCommitIsInUnixMilliseconds() throws ProtocolException {
        Reply reply = new Reply();
        reply.accept(Wire.parameter("mode", "read-write"));
        reply.accept(Wire.parameter("wal_time", "1796133713021"));
        assertEquals(1_796_133_713_021_000_000L, Notes.position(reply));
        assertEquals(Role.PRIMARY, Notes.role(reply));
    }

    @Test
    void anAnswerWithoutNotesTellsNothing() throws ProtocolException {
        Reply reply = new Reply();
        assertEquals(RoutingPolicy.NONE, Notes.position(reply));
        assertEquals(Role.UNKNOWN, Notes.role(reply));
        assertNull(Notes.report(reply));
        reply.accept(Wire.parameter("mode", "standby"));
        reply.accept(Wire.parameter("wal_time", "0"));
        assertEquals(Role.UNKNOWN, Notes.role(reply));
        assertEquals(RoutingPolicy.NONE, Notes.position(reply));
    }
}
