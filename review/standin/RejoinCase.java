import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Machines are removed for good, one batch after the other; later the processes of all remaining machines are killed and start again. */
final class RejoinCase {
    private static final int REMOVED = 104;
    private static final int BATCH = 13;
    private static final int LIVE = 4;
    private static final int RECOVERY_MS = 15_000;

    public static void main(String[] args) {
        Bench.main(Path.of(args[0]), RejoinCase::play);
    }

    private static boolean play(Bench bench) throws Exception {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 1; i <= LIVE; i++) {
            routes.append(i > 1 ? "," : "").append("{\"name\":\"r-" + i + "\",\"host\":\"shop.example\",\"prefix\":\"/s" + i
                + "/\",\"kind\":\"idempotent\",\"timeoutS\":3,\"targetLatencyS\":1.5,\"priority\":2,\"service\":\"svc" + i + "\",\"attempts\":2,\"public\":false}");
            services.append(i > 1 ? "," : "").append("{\"name\":\"svc" + i + "\",\"healthPath\":\"/health\",\"maxConnections\":700,\"protocol\":\"h1\",\"tls\":false}");
        }
        bench.configure("{\"version\":\"00000007\",\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}");
        List<Bench.Machine> machines = new ArrayList<>();
        for (int i = 1; i <= LIVE; i++) machines.add(bench.new Machine("sidecar-b-" + i, "127.0.2." + i, "b", "north", "svc" + i));
        for (Bench.Machine machine : machines) machine.start();
        for (Bench.Machine machine : machines) machine.awaitReady(20_000);
        for (int i = 0; i < LIVE; i++) new AppServer(bench, machines.get(i), "svc" + (i + 1));
        Thread.sleep(5_000);
        if (bench.trouble) removeMachines(bench);
        Thread.sleep(8_000);
        double before = servedShare(bench, machines, "before the kill");

        for (Bench.Machine machine : machines) machine.signal("KILL");
        Thread.sleep(1000);
        for (Bench.Machine machine : machines) machine.start();
        for (Bench.Machine machine : machines) machine.awaitReady(20_000);
        Thread.sleep(RECOVERY_MS + 2000);
        double after = servedShare(bench, machines, "after recoveryS");
        bench.record("rows of daemons in the store: %d", bench.store.keys("daemons").size());
        return bench.verdict(!(before >= 0.25 && after < 0.25), "%.0f%% of the requests are served before the kill, %.0f%% later than recoveryS after it", before * 100, after * 100);
    }

    /** Starts machines and removes each without SIGTERM: it never comes back. */
    private static void removeMachines(Bench bench) throws Exception {
        for (int first = 0; first < REMOVED; first += BATCH) {
            List<Bench.Machine> batch = new ArrayList<>();
            for (int i = first; i < Math.min(REMOVED, first + BATCH); i++) {
                batch.add(bench.new Machine("sidecar-a-" + (1 + i), "127.0.3." + (i + 1), "a", "north", "svc1"));
            }
            for (Bench.Machine machine : batch) machine.start();
            for (Bench.Machine machine : batch) machine.awaitReady(30_000);
            Thread.sleep(500);
            for (Bench.Machine machine : batch) machine.signal("KILL");
        }
    }

    /** Sends requests from each machine to the services of the others; returns the share that is served. */
    private static double servedShare(Bench bench, List<Bench.Machine> machines, String when) throws Exception {
        List<CompletableFuture<Bench.Outcome>> open = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            for (int from = 0; from < LIVE; from++) {
                for (int to = 0; to < LIVE; to++) {
                    if (from == to) continue;
                    Bench.Ask ask = new Bench.Ask();
                    ask.path = "/s" + (to + 1) + "/x";
                    open.add(bench.askLater(machines.get(from), ask));
                }
            }
            Thread.sleep(400);
        }
        int served = 0;
        for (CompletableFuture<Bench.Outcome> request : open) if (request.get().status == 200) served++;
        bench.record("%s: %d of %d requests served", when, served, open.size());
        return served / (double) open.size();
    }
}
