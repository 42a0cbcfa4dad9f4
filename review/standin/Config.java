import java.util.List;

/** A router's configuration, in the form of the deployment page, with the settings of taoyuan-lots unless changed. */
final class Config {
    String classes = """
        [{"aimNs": 300000000, "deadlineNs": 750000000, "effect": "idempotent", "group": "all", "lateValue": 0.0,
          "name": "bay-status", "points": 2.0, "stream": false, "windowNs": 5000000000},
         {"aimNs": 500000000, "deadlineNs": 1500000000, "effect": "idempotent", "group": "all", "lateValue": 0.0,
          "name": "trip-history", "points": 3.0, "stream": false, "windowNs": 5000000000},
         {"aimNs": 300000000, "deadlineNs": 5000000000, "effect": "at_most_once", "group": "all", "lateValue": 0.7,
          "name": "book-bay", "points": 6.0, "stream": false, "windowNs": 5000000000}]""";
    String needs = "[\"bounded\", \"any\", \"write\"]";
    String bounds = "[1500000000, 0, 0]";
    String behind = "refuse";
    String positions = "false";
    String peers = "true";
    String parallelTries = "true";
    String areas = "[\"dayuan-room\", \"luzhu-room\"]";
    String kinds = "[\"std-3c\"]";
    String tenants = """
        [{"allowancePerS": 164.0, "name": "lot-t1-long", "share": 0.56},
         {"allowancePerS": 64.0, "name": "lot-t2-covered", "share": 0.22},
         {"allowancePerS": 64.0, "name": "lot-songshan", "share": 0.22}]""";
    String rules = """
        {"answerSlackNs": 20000000, "askWithinNs": 10000000000, "coldShare": 0.27, "fallNs": 3000000000,
         "overloadFactor": 3.0, "stopSendingWithinNs": 2000000000, "warmAfterNs": 16000000000}""";
    int maxAttempts = 10;
    int routers = 1;
    int sockets = 1024;

    /** The configuration of one router; %LISTEN% stands for its address. */
    String of(String name, int rank, Discovery discovery, List<String> peerAddresses) {
        String peerFields = peerAddresses.isEmpty() ? "" : "\"peer_listen\": \"" + peerAddresses.get(rank)
            + "\", \"peers\": [\"" + String.join("\", \"", peerAddresses) + "\"], ";
        return "{\"name\": \"" + name + "\", \"listen\": \"%LISTEN%\", \"discovery\": \"" + discovery.address()
            + "\", \"seed\": \"8c1f30d27a5be96" + rank + "\", " + peerFields
            + "\"limits\": {\"cores\": 1.0, \"memory_mb\": 128, \"sockets\": " + sockets + "},\n"
            + "\"known\": " + discovery.fullList() + ",\n\"settings\": {\"areas\": " + areas
            + ", \"callers\": {\"marksRetry\": false}, \"ceilings\": {\"cancel\": true, \"connIdleNs\": 30000000000,"
            + " \"connectTimeoutNs\": 250000000, \"cpuUsPerRequest\": 0.0, \"cpuUsPerS\": 400000, \"maxAttempts\": "
            + maxAttempts + ", \"maxOpen\": 20000, \"maxRetryAfterNs\": 500000000, \"maxStreams\": 1, \"parallelTries\": "
            + parallelTries + ", \"peers\": " + (peerAddresses.isEmpty() ? "false" : peers)
            + ", \"probing\": true, \"retryAfter\": false},\n\"classes\": " + classes
            + ",\n\"discovery\": \"push\", \"domain\": {\"behind\": \"" + behind
            + "\", \"catchUpWaitNs\": 0, \"needsByClass\": " + needs + ", \"originTimeNs\": 0, \"positions\": " + positions
            + ", \"reportX0\": \"position in seconds after zero\", \"reportX1\": \"1 from a primary\","
            + " \"roleListed\": \"none\", \"stalenessBoundNs\": " + bounds + ", \"sync\": false, \"tokens\": \"remembered\"},\n"
            + "\"kindOfService\": \"replicas\", \"kinds\": " + kinds + ", \"overShareWorth\": 0.2, \"peersTotal\": " + routers
            + ", \"rank\": " + rank + ", \"report\": {\"fields\": [\"x0\", \"x1\"], \"how\": \"probe\"},\n\"rules\": " + rules
            + ",\n\"stage\": 0, \"tenants\": " + tenants + ", \"tickNs\": 5000000, \"tiers\": [\"booking-db\"],"
            + " \"valueBy\": \"request\", \"weights\": \"none\", \"zone\": 0}}\n";
    }
}
