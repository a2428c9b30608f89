package review;

/** Threads that end with the process and whose broken connections are no error. */
public final class Threads {
    private Threads() {}

    /** An action that may throw. */
    public interface Action {
        void run() throws Exception;
    }

    public static Thread start(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception ended) {
                // A connection that breaks ends its thread.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
