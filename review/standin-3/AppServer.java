import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an application server beside a daemon: serves requests and sends heartbeats. */
final class AppServer {
    /** Start of the work on one request. */
    record Run(String attempt, String service, String path, String tenant, String caller, long atMs) {}

    /** Interval of the heartbeats; a change of the state is sent at once. */
    private static final long HEARTBEAT_MS = 1_500;

    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final long bornMs = System.currentTimeMillis();
    private final InetSocketAddress address;
    private final InetSocketAddress control;
    private final String zone;
    private final Recorder recorder;
    private final ServerSocket listener = new ServerSocket();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean ended;
    private volatile boolean silent;
    private volatile long beatAtMs = -HEARTBEAT_MS;

    /** Size of each answer, 0 for a short text. */
    volatile int answerBytes;

    /** Time of work on each request, in milliseconds. */
    volatile int workMs = 5;

    AppServer(String id, String service, String zone, InetSocketAddress address, InetSocketAddress control, Recorder recorder) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.address = address;
        this.control = control;
        this.recorder = recorder;
        listener.setReuseAddress(true);
        listener.bind(address, 200);
        Threads.start("server-" + id, this::accept);
        Threads.start("heartbeat-" + id, this::beat);
    }

    /** Sends the state [next] at once and until the end; returns whether the heartbeat was acknowledged. */
    boolean report(String next) {
        state = next;
        return sendHeartbeat();
    }

    /** Sends no more heartbeats. */
    void stopHeartbeats() {
        silent = true;
    }

    /** Returns a heartbeat that is sent now and arrives when [deliver] is called with it. */
    byte[] sendLateHeartbeat() {
        int number = nextSequence();
        recorder.write("server " + id + ": heartbeat seq=" + number + " state=" + state + " is sent and held up on its way");
        return Json.write(heartbeat(state, number)).getBytes(StandardCharsets.UTF_8);
    }

    /** Delivers a heartbeat that was held up; repeats this until the daemon listens. */
    void deliver(byte[] heartbeat) {
        while (!ended) {
            try {
                int status = post("/Instances.Heartbeat/" + id, heartbeat);
                recorder.write("server " + id + ": the heartbeat that was held up arrives, answered " + status);
                return;
            } catch (IOException notListening) {
                Threads.sleep(50);
            }
        }
    }

    /** Tells the daemon that this server leaves; returns whether that was acknowledged. */
    boolean deregister() {
        try {
            int status = post("/Instances.Deregister/" + id, Json.write(Map.of("born", bornMs)).getBytes(StandardCharsets.UTF_8));
            recorder.write("server " + id + ": deregisters, answered " + status);
            return status / 100 == 2;
        } catch (IOException failed) {
            recorder.write("server " + id + ": deregister not answered (" + failed.getMessage() + ")");
            return false;
        }
    }

    /** Ends the server: closes its listener and all connections. */
    void end() {
        ended = true;
        recorder.write("server " + id + ": ends");
        try {
            listener.close();
            for (Socket socket : open) socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }

    /** Returns the body of a heartbeat. */
    Map<String, Object> heartbeat(String reported, int number) {
        Map<String, Object> info = new LinkedHashMap<>();
        info.put("service", service);
        info.put("version", "v1");
        info.put("zone", zone);
        info.put("slots", 104);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("state", reported);
        status.put("seq", number);
        status.put("coldLeftS", 0);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("address", address.getHostString() + ":" + address.getPort());
        body.put("born", bornMs);
        body.put("info", info);
        body.put("status", status);
        return body;
    }

    int nextSequence() {
        return sequence.incrementAndGet();
    }

    /** Posts [body] to the daemon's address for servers and returns the status. */
    int post(String path, byte[] body) throws IOException {
        return Http.call(control, "POST", path, Map.of("Content-Type", "application/json"), body, 1_000).status();
    }

    private synchronized boolean sendHeartbeat() {
        beatAtMs = recorder.nowMs();
        String reported = state;
        int number = nextSequence();
        try {
            int status = post("/Instances.Heartbeat/" + id, Json.write(heartbeat(reported, number)).getBytes(StandardCharsets.UTF_8));
            if (!reported.equals("ready") || number == 1) recorder.write("server " + id + ": heartbeat seq=" + number + " state=" + reported + ", answered " + status);
            return status / 100 == 2;
        } catch (IOException failed) {
            return false;
        }
    }

    private void beat() {
        while (!ended) {
            if (!silent && recorder.nowMs() >= beatAtMs + HEARTBEAT_MS) sendHeartbeat();
            Threads.sleep(20);
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Threads.start("server-connection", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request;
            while ((request = Http.read(in, false)) != null) answer(socket, request);
        } catch (IOException closed) {
            // The daemon has closed the connection, or this server has ended.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Socket socket, Http.Message request) throws IOException {
        String path = request.startLine.split(" ")[1];
        Map<String, String> fields = new LinkedHashMap<>();
        if (path.equals("/health")) {
            fields.put("X-Instance-Id", id);
            Http.write(socket.getOutputStream(), state.equals("ready") ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable", fields, new byte[0]);
            return;
        }
        String attempt = request.fields.get("X-Attempt-Id");
        String expected = request.fields.get("X-Expected-Instance");
        if (attempt == null || (expected != null && !expected.equals(id))) {
            fields.put("X-Instance-Id", id);
            if (attempt == null) fields.put("X-Not-Executed", "1");
            Http.write(socket.getOutputStream(), attempt == null ? "HTTP/1.1 400 Bad Request" : "HTTP/1.1 421 Misdirected Request", fields, new byte[0]);
            return;
        }
        runs.add(new Run(attempt, service, path, request.fields.get("X-Tenant"), request.fields.get("X-Caller-Service"), recorder.nowMs()));
        recorder.write("server " + id + " (" + service + "): runs " + attempt + " " + path + " tenant=" + request.fields.get("X-Tenant"));
        Threads.sleep(workMs);
        byte[] body = answerBytes > 0 ? new byte[answerBytes] : ("done by " + service + " " + id).getBytes(StandardCharsets.UTF_8);
        fields.put("X-Attempt-Id", attempt);
        fields.put("X-Response-Signature", "sig." + attempt);
        fields.put("Keep-Alive", "timeout=10");
        Http.write(socket.getOutputStream(), "HTTP/1.1 200 OK", fields, body);
    }
}
