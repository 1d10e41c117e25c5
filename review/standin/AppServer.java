import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Application server beside a daemon: sends heartbeats and runs requests as PROTOCOL.md describes. */
final class AppServer {
    /** One request that this server has begun to run. */
    record Run(String attemptId, long atMs, Http.Message request, boolean[] finished) {}

    private static final AtomicLong INSTANCES = new AtomicLong();
    final String id = String.format("i-%08x", 0x2a000000L + INSTANCES.incrementAndGet() * 7919);
    final long bornMs = System.currentTimeMillis();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final String service;
    final String address;
    volatile long workMs = 50;
    volatile int answerBytes = 200;
    volatile String state = "ready";
    volatile boolean beating = true;
    volatile int slots = 50;

    /** One in so many answers is spoiled by {@link #spoil}; 0 for none. */
    volatile int spoilOneIn = 0;
    volatile Spoil spoil = null;
    private final AtomicLong answers = new AtomicLong();

    /** Writes bytes that are no answer until the caller closes. */
    interface Spoil {
        void write(Socket socket, Map<String, String> head) throws Exception;
    }
    private final Bench bench;
    private final Bench.Machine machine;
    private final ServerSocket listener;
    private long seq = 0;

    AppServer(Bench bench, Bench.Machine machine, String service) throws Exception {
        this.bench = bench;
        this.machine = machine;
        this.service = service;
        this.address = machine.upstream();
        int colon = address.lastIndexOf(':');
        listener = Http.listen(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), this::handle);
        Http.thread(() -> {
            try {
                while (true) {
                    if (beating) beat();
                    Thread.sleep(1500);
                }
            } catch (InterruptedException end) {
                // Ends with the program.
            }
        });
    }

    /** Ends this server: it listens and reports no more. */
    void end() throws Exception {
        beating = false;
        listener.close();
        bench.record("server %s of %s at %s ends", id, service, machine.name);
    }

    /** Sends one heartbeat; returns the status of its answer, 0 if there is none. */
    synchronized int beat() {
        int status = send(heartbeat(state));
        bench.record("heartbeat server=%s service=%s machine=%s state=%s status=%d", id, service, machine.name, state, status);
        return status;
    }

    /** Returns the body of the next heartbeat. */
    synchronized String heartbeat(String reported) {
        return "{\"address\":\"" + address + "\",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + machine.zone
            + "\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + reported + "\",\"seq\":" + (++seq) + ",\"coldLeftS\":0},\"born\":" + bornMs + "}";
    }

    int send(String heartbeat) {
        Http.Message answer = Http.call(machine.control(), "POST /Instances.Heartbeat/" + id + " HTTP/1.1", head(), heartbeat.getBytes(StandardCharsets.UTF_8), 1000);
        return answer == null ? 0 : answer.status();
    }

    /** Deregisters; returns the status of the answer, 0 if there is none. */
    int deregister() {
        byte[] body = ("{\"born\":" + bornMs + "}").getBytes(StandardCharsets.UTF_8);
        Http.Message answer = Http.call(machine.control(), "POST /Instances.Deregister/" + id + " HTTP/1.1", head(), body, 1000);
        int status = answer == null ? 0 : answer.status();
        bench.record("deregister server=%s machine=%s status=%d", id, machine.name, status);
        return status;
    }

    private Map<String, String> head() {
        Map<String, String> head = new LinkedHashMap<>();
        head.put("Host", machine.control());
        head.put("Content-Type", "application/json");
        return head;
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        if (request.target().equals("/health")) {
            Http.respond(socket, state.equals("ready") ? 200 : 503, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        Map<String, String> head = new LinkedHashMap<>();
        String attempt = request.header("X-Attempt-Id");
        head.put("X-Attempt-Id", attempt);
        String expected = request.header("X-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            head.put("X-Instance-Id", id);
            Http.respond(socket, 421, head, new byte[0]);
            return true;
        }
        Run run = new Run(attempt, bench.nowMs(), request, new boolean[1]);
        runs.add(run);
        bench.record("run attempt=%s server=%s service=%s caller-service=%s tenant=%s deadline-ms=%s body-bytes=%d", attempt, id, service,
            request.header("X-Caller-Service"), request.header("X-Tenant"), request.header("X-Deadline-Ms"), request.body.length);
        Thread.sleep(workMs);
        head.put("X-Response-Signature", "sig-" + attempt + "-" + answerBytes);
        if (spoilOneIn > 0 && answers.incrementAndGet() % spoilOneIn == 0) {
            bench.record("server-spoils attempt=%s server=%s", attempt, id);
            spoil.write(socket, head);
            return false;
        }
        run.finished()[0] = true;
        bench.record("server-answers attempt=%s server=%s", attempt, id);
        Http.respond(socket, 200, head, new byte[answerBytes]);
        return true;
    }
}
