import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A machine is added after the store came back from a copy, and one tenant asks for more than its quota at two machines. */
final class RestoreJoinCase extends Case {
    private static final String HOST = "jepu9.example";
    private static final long AWAY_MS = 1_000;
    private static final long WINDOW_MS = 5_000;
    private static final int RATE_PER_S = 55;
    private static final int BURST = 55;
    private static final double OVERAGE = 0.1;
    private static final int SLACK = 20;

    /** Sending times of the requests by their attempt ids, in milliseconds. */
    private final Map<String, Long> sentAtMs = new ConcurrentHashMap<>();
    private final List<AppServer> servers = new ArrayList<>();

    private RestoreJoinCase(Path record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new RestoreJoinCase(Path.of(args[0])).run();
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store(recorder, 0);
        store.put("op", "config", config());
        store.backUp();
        Fleet.Machine first = fleet.add("grandi", "hofudborg", "booking-desk", store.address());
        fleet.add("breidholt", "hofudborg", "booking-desk", store.address());
        fleet.add("oddeyri", "nordurland", "booking-desk", store.address());
        fleet.add("glerartorg", "nordurland", "pitch-finder", store.address());
        for (Fleet.Machine machine : List.copyOf(fleet.machines)) start(machine);
        require(fleet.awaitReady(30_000), "a daemon is not ready");
        Threads.sleep(5_000);

        if (trouble) store.setAway(true);
        Threads.sleep(AWAY_MS);
        if (trouble) {
            store.restore();
            store.setAway(false);
            recorder.write("operator: the configuration written again, acknowledged as row version " + store.put("op", "config", config()));
        }
        Threads.sleep(5_000);

        Fleet.Machine added = fleet.add("grandi", "hofudborg", "booking-desk", store.address());
        recorder.write("machine " + added.name + " is added");
        start(added);
        require(fleet.awaitReady(30_000), "the daemon of the added machine is not ready");
        Threads.sleep(3_000);

        long endMs = recorder.nowMs() + 15_000;
        List<Thread> clients = List.of(clients(first, endMs), clients(added, endMs));
        for (Thread thread : clients) thread.join();
        Threads.sleep(2_000);

        double limit = (RATE_PER_S * WINDOW_MS / 1_000.0 + BURST) * (1 + OVERAGE) + SLACK;
        int most = mostInWindow();
        recorder.write("most requests of the tenant that were sent and run in " + WINDOW_MS + " ms: " + most + ", limit " + limit);
        return most <= limit;
    }

    private void start(Fleet.Machine machine) throws Exception {
        servers.add(new AppServer("i-" + machine.number, machine.service, machine.zone, machine.upstream, machine.control, recorder));
        machine.start();
    }

    /** Returns the largest number of requests that were both sent and run within one window. */
    private int mostInWindow() {
        Map<String, Long> runAtMs = new HashMap<>();
        for (AppServer server : servers) for (AppServer.Run run : server.runs) runAtMs.put(run.attempt(), run.atMs());
        int most = 0;
        for (long start : sentAtMs.values()) {
            int count = 0;
            for (Map.Entry<String, Long> run : runAtMs.entrySet()) {
                if (sentAtMs.get(run.getKey()) >= start && run.getValue() < start + WINDOW_MS) count++;
            }
            most = Math.max(most, count);
        }
        return most;
    }

    /** Starts the clients of [machine], which send a hundred bookings a second. */
    private Thread clients(Fleet.Machine machine, long endMs) {
        return Threads.start("clients", () -> {
            while (recorder.nowMs() < endMs) {
                Threads.start("client", () -> {
                    Client.Answer answer = client.send(machine.outbound, "POST", HOST, "/puka111/2f", "key-one", 3_000, new byte[100]);
                    sentAtMs.put(answer.attempt(), answer.sentAtMs());
                });
                Threads.sleep(10);
            }
        });
    }

    private static String config() {
        return new OperatorConfig(3).service("booking-desk").service("pitch-finder")
            .route("r-booking", HOST, "/puka111/", "non_idempotent", "booking-desk", 2)
            .tenant("pulo780", RATE_PER_S, BURST, "key-one").text();
    }
}
