import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Daemon threads whose errors end them quietly, and waits until a given time. */
final class Threads {
    private static final ScheduledThreadPoolExecutor TIMERS = new ScheduledThreadPoolExecutor(6, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });

    private Threads() {
    }

    /** Runs a short task at the given time of {@link System#nanoTime()}. */
    static void at(long nanoTime, Task task) {
        TIMERS.schedule(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // a closed socket ends what serves it
            }
        }, Math.max(0, nanoTime - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    static void after(double millis, Task task) {
        at(System.nanoTime() + (long) (millis * 1e6), task);
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // a closed socket ends what serves it
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleepUntil(long nanoTime) {
        for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    static void sleepMillis(double millis) {
        sleepUntil(System.nanoTime() + (long) (millis * 1e6));
    }
}
