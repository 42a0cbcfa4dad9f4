import java.nio.file.Path;
import java.util.Timer;
import java.util.TimerTask;

/** What all cases share: the record, whether the disruption is on, the time limit and the exit code. */
abstract class Case {
    private static final long LIMIT_MILLIS = 115_000;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** Whether the disruption takes place; the environment variable TROUBLE=0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    protected Record record;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Plays the case, writes record.txt into the folder and ends the process with the case's exit code. */
    static void run(Case played, String folder) {
        new Timer(true).schedule(new TimerTask() {
            @Override
            public void run() {
                System.err.println("the case took too long");
                Runtime.getRuntime().exit(NOT_RUN);
            }
        }, LIMIT_MILLIS);
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            played.record = record;
            record.line("disruption %s", played.trouble ? "on" : "off");
            boolean held = played.play();
            record.line("the rule %s", held ? "held" : "was broken");
            System.out.println("the rule " + (held ? "held" : "was broken"));
            code = held ? 0 : BROKEN;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** The current Unix time in milliseconds. */
    static long unixMillis() {
        return System.currentTimeMillis();
    }

    /** A time of System.nanoTime as Unix time in milliseconds. */
    static double unixMillis(long nanoTime) {
        return System.currentTimeMillis() - (System.nanoTime() - nanoTime) / 1e6;
    }
}
