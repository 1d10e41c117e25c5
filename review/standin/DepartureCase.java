import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A daemon acknowledges that its server leaves, loses power, and starts again while the server still serves. */
final class DepartureCase {
    private static final int LEAVING = 3;
    private static final int DRAIN_MS = 2000;

    public static void main(String[] args) {
        Bench.main(Path.of(args[0]), DepartureCase::play);
    }

    private static boolean play(Bench bench) throws Exception {
        bench.configure("{\"version\":\"00000007\",\"routes\":["
            + "{\"name\":\"r-a\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"non_idempotent\",\"timeoutS\":2,\"targetLatencyS\":1.5,\"priority\":0,"
            + "\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":700,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"ratePerS\":1000,\"burst\":1000}]}");
        List<Bench.Machine> machines = new ArrayList<>();
        List<AppServer> leaving = new ArrayList<>();
        for (int i = 1; i <= LEAVING + 1; i++) machines.add(bench.new Machine("sidecar-a-" + i, "127.0.1." + i, "a", "north", "desk"));
        for (Bench.Machine machine : machines) machine.start();
        for (Bench.Machine machine : machines) machine.awaitReady(20_000);
        for (Bench.Machine machine : machines) leaving.add(new AppServer(bench, machine, "desk"));
        Bench.Machine staying = machines.remove(LEAVING);
        AppServer remaining = leaving.remove(LEAVING);
        Bench.Ask ask = new Bench.Ask();
        ask.method = "POST";
        ask.key = "key1";
        ask.deadlineMs = 2000;
        bench.awaitServed(staying, ask, 15_000);
        Thread.sleep(6000);

        long[] ackMs = new long[LEAVING];
        for (int i = 0; i < LEAVING; i++) {
            int status = leaving.get(i).deregister();
            if (bench.trouble) machines.get(i).process.destroyForcibly();
            ackMs[i] = bench.nowMs();
            if (status != 200) throw new IllegalStateException("no acknowledgement");
            if (bench.trouble) bench.record("daemon %s loses power after it has acknowledged the leaving of server %s", machines.get(i).name, leaving.get(i).id);
            Thread.sleep(1000);
            if (bench.trouble) machines.get(i).start();
        }
        Thread.sleep(Math.max(0, ackMs[LEAVING - 1] + 5500 - bench.nowMs()));
        List<CompletableFuture<Bench.Outcome>> open = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            open.add(bench.askLater(staying, ask));
            Thread.sleep(50);
        }
        for (CompletableFuture<Bench.Outcome> request : open) request.get();
        long late = 0;
        for (int i = 0; i < LEAVING; i++) {
            long boundMs = ackMs[i] + DRAIN_MS;
            long runs = leaving.get(i).runs.stream().filter(run -> run.atMs() > boundMs).count();
            bench.record("server %s, leaving acknowledged at %.3f: %d requests reached it later than drainS after that", leaving.get(i).id, ackMs[i] / 1000.0, runs);
            late += runs;
        }
        bench.record("server %s, staying: %d requests; rows of departures: %s", remaining.id, remaining.runs.size(), bench.store.keys("departures"));
        return bench.verdict(late == 0, "%d of %d requests reached leaving servers more than drainS after their leaving was acknowledged", late, open.size());
    }
}
