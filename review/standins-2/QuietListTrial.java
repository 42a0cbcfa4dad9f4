import java.io.File;
import java.io.IOException;
import java.util.List;

/**
 * A trial, no case, as it takes longer than a case may: the list of hosts stays as it is, and the descriptors of a router on Linux
 * are counted every 20 s beside one request of a new client. Started from the root of the repository, with the seconds to run.
 */
final class QuietListTrial {
    private static final int STEP_SECONDS = 20;
    private static final int DESCRIPTORS = 256;
    private static final String SETTINGS = """
        {"areas":["hall"],"zone":0,"kinds":["std"],"peersTotal":1,"rank":0,"tickNs":5000000,"discovery":"push",
         "ceilings":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":10,"probing":true},
         "classes":[{"name":"trip-history","effect":"idempotent","aimNs":500000000,"deadlineNs":1500000000,"points":3.0}],
         "report":{"how":"probe","fields":["x0","x1"]},
         "domain":{"behind":"refuse","needsByClass":["any"],"stalenessBoundNs":[0]},
         "rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldShare":0.27,"fallNs":3000000000,
           "overloadFactor":3.0,"stopSendingWithinNs":2000000000,"warmAfterNs":16000000000}}""";

    private QuietListTrial() {
    }

    public static void main(String[] arguments) throws Exception {
        DatabaseHost primary = new DatabaseHost("s-1", true, System::currentTimeMillis, request -> request.serve("v", 0));
        DatabaseHost replica = new DatabaseHost("s-2", false, System::currentTimeMillis, request -> request.serve("v", 0));
        DiscoveryAgent agent = new DiscoveryAgent(List.of(primary, replica));
        String configuration = "{\"name\":\"%NAME%\",\"listen\":\"%LISTEN%\",\"discovery\":\"" + agent.address()
            + "\",\"seed\":\"5a\",\"limits\":{\"sockets\":" + DESCRIPTORS + "},\"known\":" + agent.list() + ",\"settings\":" + SETTINGS
            + "}";
        try (RouterProcess router = new RouterProcess("n0", configuration)) {
            router.awaitReady();
            for (int second = 0; second <= Integer.parseInt(arguments[0]); second += STEP_SECONDS) {
                System.out.println(second + " s: " + new File("/proc/" + router.pid() + "/fd").list().length
                    + " descriptors, a new client's request: " + ask(router, second));
                Thread.sleep(STEP_SECONDS * 1_000L);
            }
        }
        System.exit(0);
    }

    private static String ask(RouterProcess router, int number) {
        try (Client client = new Client(router.address)) {
            return client.ask("/* id=q" + number + ",c=trip-history,d=1500,cluster=0 */ SELECT data FROM facts WHERE code = 'q'").kind();
        } catch (IOException e) {
            return e.toString();
        }
    }
}
