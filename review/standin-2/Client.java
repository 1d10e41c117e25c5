import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Client on one machine; each attempt has an id of its own and a new connection. */
final class Client {
    /** One attempt; a status of 0 means that the connection ended or timed out without a complete answer. */
    record Attempt(String id, long sentMs, long answeredMs, int status, String failure) {
    }

    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private final Daemon machine;
    private final Record record;
    private volatile boolean sending = true;

    Client(Daemon machine, Record record) {
        this.machine = machine;
        this.record = record;
    }

    /** Sends requests in turn until {@link #stop}. */
    Client loop(String method, String host, String path, String key, byte[] body, int deadlineMs, long pauseMs) {
        Http.daemonThread(() -> {
            while (sending) {
                send(method, host, path, key, body, deadlineMs);
                AppServer.sleep(pauseMs);
            }
        });
        return this;
    }

    void stop() {
        sending = false;
    }

    Attempt send(String method, String host, String path, String key, byte[] body, int deadlineMs) {
        String id = "a" + NEXT.incrementAndGet();
        Http.Message request = Http.request(method, path, "Host", host, "X-Attempt-Id", id, "X-Deadline-Ms", String.valueOf(deadlineMs));
        if (key != null) request.headers.put("X-Credential", key);
        request.body = body;
        long sentMs = Record.nowMs();
        Attempt attempt;
        try {
            Http.Message response = Http.call(machine.outbound, request, deadlineMs + 1_000);
            attempt = new Attempt(id, sentMs, Record.nowMs(), response.status(), response.text().trim());
        } catch (IOException failed) {
            attempt = new Attempt(id, sentMs, Record.nowMs(), 0, String.valueOf(failed.getMessage()));
        }
        record.line("client at " + machine.name, id + " " + method + " " + path + " bytes=" + body.length + " sent at " + sentMs + " -> "
            + attempt.status + " " + attempt.failure);
        attempts.add(attempt);
        return attempt;
    }
}
