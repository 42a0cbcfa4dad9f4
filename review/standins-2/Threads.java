import java.io.IOException;

/** Starts the stand-ins' threads. A broken connection ends its thread and nothing else. */
final class Threads {
    /** A task that may end with a broken connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {
    }

    static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // the other side has closed, or the case has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
