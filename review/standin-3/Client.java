import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a client: one request on a new connection at a time. */
final class Client {
    /** Request and its answer; status 0 stands for a connection that ended without a complete answer. */
    record Answer(String attempt, long sentAtMs, int status, boolean signed, String body) {}

    private final AtomicInteger attempts = new AtomicInteger();
    private final Recorder recorder;
    private final String prefix;

    Client(Recorder recorder) {
        this.recorder = recorder;
        prefix = Long.toHexString(System.nanoTime() & 0xffffff);
    }

    Answer send(InetSocketAddress daemon, String method, String host, String path, String key, int deadlineMs, byte[] body) {
        String attempt = prefix + String.format("%06x", attempts.incrementAndGet());
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", host);
        fields.put("X-Attempt-Id", attempt);
        fields.put("X-Deadline-Ms", Integer.toString(deadlineMs));
        if (key != null) fields.put("X-Credential", key);
        long sentAtMs = recorder.nowMs();
        Answer answer;
        try {
            Http.Message response = Http.call(daemon, method, path, fields, body, deadlineMs + 1_000);
            answer = new Answer(attempt, sentAtMs, response.status(), response.fields.containsKey("X-Response-Signature"), response.text().strip());
        } catch (IOException failed) {
            answer = new Answer(attempt, sentAtMs, 0, false, failed.toString());
        }
        recorder.write("client: " + method + " " + path + " key=" + key + " as " + attempt + " to " + daemon.getHostString() + " sent at " + sentAtMs
            + ", answered " + answer.status + " " + answer.body);
        return answer;
    }
}
