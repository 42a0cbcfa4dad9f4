package ledgewall;

import java.io.IOException;
import ledgewall.simhost.SimHost;
import ledgewall.simhost.WireException;

/** The command line. */
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
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: ledgewall simhost");
            System.err.println("  simhost   decide for the instances of a simulator, on standard input and output");
            return EXIT_USAGE;
        }
        try {
            new SimHost(Brain::new).serve(System.in, System.out);
            return 0;
        } catch (WireException e) {
            System.err.println("ledgewall: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("ledgewall: input or output failed: " + e.getMessage());
        }
        return EXIT_FAILURE;
    }
}
