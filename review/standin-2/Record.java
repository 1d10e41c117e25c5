import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run, with times in milliseconds since the start of the script. */
final class Record implements AutoCloseable {
    private static final long START_NS = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long nowMs() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    synchronized void line(String who, String what) {
        out.printf("%7d %s: %s%n", nowMs(), who, what);
    }

    @Override
    public void close() {
        out.close();
    }
}
