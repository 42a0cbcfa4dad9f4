package ledgewall;

import java.io.IOException;
import java.nio.file.Path;
import ledgewall.settings.FormatException;
import ledgewall.simhost.SimHost;

/** The commands of the router without the command-line tools: {@code serve} and {@code simhost}. */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {
    }

    public static void main(String[] args) {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        try {
            if (command.equals("serve") && args.length <= 2) {
                serve(args.length == 2 ? args[1] : System.getenv("ROUTER_CONFIG"));
                return 0;
            }
            if (command.equals("simhost") && args.length == 1) {
                new SimHost(ReplicaRoutingPolicy::new).serve(System.in, System.out);
                return 0;
            }
            System.err.println("usage: ledgewall serve [CONFIG] | simhost");
            System.err.println("  serve     run one router, configured by the file CONFIG or the one that "
                + "ROUTER_CONFIG names");
            System.err.println("  simhost   decide for a simulator's instances, on standard input and output");
            return EXIT_USAGE;
        } catch (FormatException e) {
            System.err.println("ledgewall: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("ledgewall: " + Service.describe(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return EXIT_FAILURE;
    }

    private static void serve(String config) throws IOException, InterruptedException {
        if (config == null) {
            throw new FormatException("no CONFIG is given and ROUTER_CONFIG is not set");
        }
        new Service(Path.of(config)).run();
    }
}
