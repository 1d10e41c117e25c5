import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server that drains gets a heartbeat of another writer, in which a field is missing. */
final class ForeignHeartbeatCase extends Case {
    private static final String HOST = "jepu9.example";
    private static final long DRAIN_MS = 2_000;

    /** Time for a request on its way when the drain time ends. */
    private static final long MARGIN_MS = 100;

    private ForeignHeartbeatCase(Path record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new ForeignHeartbeatCase(Path.of(args[0])).run();
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store(recorder, 0);
        OperatorConfig config = new OperatorConfig(3).service("booking-desk").service("pitch-finder");
        store.put("op", "config", config.route("r-booking", HOST, "/puka111/", "non_idempotent", "booking-desk", 2).tenant("pulo780", "key-one").text());
        Fleet.Machine leaving = fleet.add("grandi", "hofudborg", "booking-desk", store.address());
        fleet.add("breidholt", "hofudborg", "booking-desk", store.address());
        Fleet.Machine entry = fleet.add("breidholt", "hofudborg", "pitch-finder", store.address());
        AppServer drained = null;
        for (Fleet.Machine machine : fleet.machines) {
            AppServer server = new AppServer("i-" + machine.number, machine.service, machine.zone, machine.upstream, machine.control, recorder);
            server.workMs = 800;
            if (machine == leaving) drained = server;
            machine.start();
        }
        require(fleet.awaitReady(30_000), "a daemon is not ready");
        Threads.sleep(4_000);

        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        long endMs = recorder.nowMs() + 10_000;
        List<Thread> clients = List.of(clients(leaving, answers, endMs), clients(entry, answers, endMs));
        Threads.sleep(3_000);
        require(drained.runs.size() > 10, "the server gets no requests");

        require(drained.report("draining"), "the heartbeat was not acknowledged");
        long acknowledgedAtMs = recorder.nowMs();
        Threads.sleep(DRAIN_MS);
        if (trouble) sendForeignHeartbeat(drained);
        // The server serves a little longer than drainS after the acknowledgement.
        Threads.sleep(800);
        drained.deregister();
        drained.end();
        for (Thread thread : clients) thread.join();
        Threads.sleep(2_000);

        List<AppServer.Run> late = drained.runs.stream().filter(run -> run.atMs() > acknowledgedAtMs + DRAIN_MS + MARGIN_MS).toList();
        List<String> lateIds = late.stream().map(AppServer.Run::attempt).toList();
        long lost = answers.stream().filter(answer -> lateIds.contains(answer.attempt()) && answer.status() != 200).count();
        recorder.write("requests that reached the server later than drainS after the acknowledgement: " + late.size() + "; " + lost
            + " of them were lost when it ended");
        return late.isEmpty();
    }

    /** Sends a heartbeat about [server] without the field `born`. */
    private void sendForeignHeartbeat(AppServer server) throws Exception {
        Map<String, Object> body = server.heartbeat("ready", 1);
        body.remove("born");
        int status = server.post("/Instances.Heartbeat/" + server.id, Json.write(body).getBytes(StandardCharsets.UTF_8));
        recorder.write("another writer: heartbeat of " + server.id + " without born, state=ready, answered " + status);
    }

    /** Starts clients at [machine] that together send twenty bookings a second. */
    private Thread clients(Fleet.Machine machine, List<Client.Answer> answers, long endMs) {
        return Threads.start("clients", () -> {
            while (recorder.nowMs() < endMs) {
                Threads.start("client", () -> answers.add(client.send(machine.outbound, "POST", HOST, "/puka111/2f", "key-one", 5_000, new byte[100])));
                Threads.sleep(50);
            }
        });
    }
}
