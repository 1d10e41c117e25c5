/** Daemon threads and pauses. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }
}
