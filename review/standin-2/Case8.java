import java.util.List;

/** A server leaves a second time under the same id; its daemon, which acknowledged that, is killed and started again. */
final class Case8 {
    private static final long DRAIN_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;

    private Case8() {
    }

    public static void main(String[] args) throws Exception {
        Fleet.main(args, Case8::play);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        Daemon home = fleet.daemon("vm-a", "grandi", "pitch-finder");
        Daemon entry = fleet.daemon("vm-b", "grandi", "rota-board");
        Daemon second = fleet.daemon("vm-c", "grandi", "pitch-finder");
        List<String> routes = List.of(Fleet.route("lookup", "/pitch/", "idempotent", "pitch-finder", 0.8, false));
        fleet.store.operatorWrites("config", Fleet.config(2, routes, List.of("pitch-finder", "rota-board"), List.of("key-1")));
        AppServer other = fleet.server("i-other", "pitch-finder", second, 50);
        AppServer first = fleet.server("i-finder", "pitch-finder", home, 50);
        if (!fleet.startAll()) return Fleet.NOT_RUN;
        other.beat(1_500);
        first.beat(1_500);
        AppServer.sleep(4_000);
        Client client = new Client(entry, fleet.record).loop("GET", "hulo84.example", "/pitch/7", "key-1", new byte[0], 2_000, 20);
        AppServer.sleep(2_000);

        // The first start of the server leaves as planned, serves on for a while and ends.
        first.stopBeating();
        if (first.deregister() < 0) return Fleet.NOT_RUN;
        AppServer.sleep(DRAIN_MS + 1_000);
        first.close();
        AppServer.sleep(1_000);

        // It starts again under the id that it had.
        AppServer again = fleet.server("i-finder", "pitch-finder", home, 50);
        again.beat(1_500);
        AppServer.sleep(6_000);
        if (again.runs.isEmpty()) {
            fleet.record.line("script", "the server got no request after its second start");
            return Fleet.NOT_RUN;
        }
        again.stopBeating();
        AppServer.sleep(300);
        Http.Message late = again.heartbeat();
        long acknowledgedMs = again.deregister();
        if (acknowledgedMs < 0) return Fleet.NOT_RUN;

        // The daemon is killed after the acknowledgement; the platform starts it again.
        Fleet.sleepUntil(acknowledgedMs + 500);
        if (trouble) {
            home.kill();
            AppServer.sleep(500);
            home.start();
            home.awaitReady(10_000);
        }
        long startedMs = Record.nowMs();

        // A heartbeat that was sent before the departure arrives late.
        Fleet.sleepUntil(Math.max(startedMs + 500, acknowledgedMs + 2_500));
        again.deliver(late);
        Fleet.sleepUntil(startedMs + STABLE_WINDOW_MS + 6_000);
        client.stop();

        long fromMs = Math.max(acknowledgedMs + DRAIN_MS, startedMs + STABLE_WINDOW_MS);
        int broken = 0;
        for (AppServer.Run run : again.runs) if (run.atMs() > fromMs) broken++;
        fleet.record.line("script", "departure acknowledged at " + acknowledgedMs + ", all machines in touch from "
            + (startedMs + STABLE_WINDOW_MS) + "; requests that reached the server after " + fromMs + ": " + broken
            + "; departure in the store: " + fleet.store.value("departures", "vm-a"));
        return broken > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
