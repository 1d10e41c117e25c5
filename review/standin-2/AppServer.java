import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Application server: one start of a server with its heartbeats, its departure and the requests that it runs. */
final class AppServer implements AutoCloseable {
    /** Request that the server began to work on. */
    record Run(String id, long atMs, String tenant, String caller, int bodyBytes, String path) {
    }

    final String id;
    final String service;
    final long bornMs = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Daemon machine;
    private volatile int workMs;
    private final Record record;
    private final Http.Server server;
    private volatile boolean beating = false;
    private int sequence = 0;

    AppServer(String id, String service, Daemon machine, int workMs, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.machine = machine;
        this.workMs = workMs;
        this.record = record;
        server = new Http.Server(machine.upstream, (request, connection) -> answer(request));
        record.line(id, "started as a server of " + service + " on " + machine.name + ", born " + bornMs);
    }

    private Http.Message answer(Http.Message request) throws InterruptedException {
        String attempt = request.header("x-attempt-id");
        String expected = request.header("x-expected-instance");
        if (expected != null && !expected.equals(id)) {
            Http.Message misdirected = Http.response(421, "");
            misdirected.headers.put("x-instance-id", id);
            return misdirected;
        }
        Run run = new Run(attempt, Record.nowMs(), request.header("x-tenant"), request.header("x-caller-service"), request.body.length,
            request.path());
        runs.add(run);
        record.line(id, "runs " + attempt + " " + request.firstLine + " tenant=" + run.tenant + " caller-service=" + run.caller
            + " bodyBytes=" + run.bodyBytes);
        Thread.sleep(workMs);
        Http.Message response = Http.response(200, "done " + attempt + "\n");
        response.headers.put("x-attempt-id", attempt);
        response.headers.put("x-response-signature", "sig." + id + "." + attempt);
        return response;
    }

    /** Changes the time that the server works on each request from now on. */
    void workFor(int nextMs) {
        workMs = nextMs;
        record.line(id, "works for " + nextMs + " ms on each request from now on");
    }

    /** Starts the regular heartbeats, which say ready. */
    void beat(long intervalMs) {
        beating = true;
        Http.daemonThread(() -> {
            while (beating) {
                deliver(heartbeat());
                sleep(intervalMs);
            }
        });
    }

    void stopBeating() {
        beating = false;
    }

    /** Returns the next heartbeat; it can be delivered later. */
    synchronized Http.Message heartbeat() {
        Http.Message message = Http.request("POST", "/Instances.Heartbeat/" + id, "host", Http.HOST, "content-type", "application/json");
        message.body = ("{\"address\":\"" + Http.HOST + ":" + machine.upstream + "\",\"born\":" + bornMs + ",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"grandi\",\"slots\":104},\"status\":{\"state\":\"ready\",\"seq\":" + ++sequence
            + ",\"coldLeftS\":0}}").getBytes();
        return message;
    }

    /** Delivers a heartbeat to the daemon of this machine and returns the status, or 0 without an answer. */
    int deliver(Http.Message heartbeat) {
        try {
            int status = Http.call(machine.control, heartbeat, 1_000).status();
            record.line(id, "heartbeat " + heartbeat.text() + " -> " + status);
            return status;
        } catch (IOException noAnswer) {
            record.line(id, "heartbeat without an answer: " + noAnswer.getMessage());
            return 0;
        }
    }

    /** Deregisters this server and returns the time of the acknowledgement, or -1 without one. */
    long deregister() {
        Http.Message message = Http.request("POST", "/Instances.Deregister/" + id, "host", Http.HOST, "content-type", "application/json");
        message.body = ("{\"born\":" + bornMs + "}").getBytes();
        try {
            int status = Http.call(machine.control, message, 1_000).status();
            record.line(id, "deregister born=" + bornMs + " -> " + status);
            return status / 100 == 2 ? Record.nowMs() : -1;
        } catch (IOException noAnswer) {
            record.line(id, "deregister without an answer: " + noAnswer.getMessage());
            return -1;
        }
    }

    @Override
    public void close() throws IOException {
        beating = false;
        server.close();
        record.line(id, "ended");
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
