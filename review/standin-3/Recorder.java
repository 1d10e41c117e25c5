import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a run: what was sent, answered and run, with the time in milliseconds since the start. */
final class Recorder {
    private final long startedNs = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void write(String line) {
        out.printf("%7d  %s%n", nowMs(), line);
    }
}
