import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A daemon gets SIGTERM while requests are at work whose answers are due well within the grace period. */
final class GraceCase {
    private static final int GRACE_S = 10;
    private static final int WORK_MS = 7000;
    private static final int REQUESTS = 4;

    public static void main(String[] args) {
        Bench.main(Path.of(args[0]), GraceCase::play);
    }

    private static boolean play(Bench bench) throws Exception {
        bench.bounds.put("graceS", Integer.toString(GRACE_S));
        bench.configure("{\"version\":\"00000007\",\"routes\":["
            + "{\"name\":\"r-view\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeoutS\":12,\"targetLatencyS\":3,\"priority\":2,"
            + "\"service\":\"rota\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"rota\",\"healthPath\":\"/health\",\"maxConnections\":200,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"ratePerS\":100,\"burst\":100}]}");
        Bench.Machine machine = bench.new Machine("sidecar-a-1", "127.0.1.1", "a", "north", "rota");
        machine.start();
        machine.awaitReady(20_000);
        AppServer server = new AppServer(bench, machine, "rota");
        Bench.Ask ask = new Bench.Ask();
        ask.key = "key1";
        ask.deadlineMs = 12_000;
        bench.awaitServed(machine, ask, 15_000);
        Thread.sleep(4000);

        server.workMs = WORK_MS;
        List<CompletableFuture<Bench.Outcome>> open = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) open.add(bench.askLater(machine, ask));
        Thread.sleep(300);
        long termMs = bench.nowMs();
        if (bench.trouble) machine.signal("TERM");
        int lost = 0;
        for (CompletableFuture<Bench.Outcome> request : open) {
            Bench.Outcome outcome = request.get();
            if (!(outcome.status == 200 && outcome.complete)) lost++;
        }
        bench.record("process alive after the requests have ended: %s", machine.process.isAlive());
        return bench.verdict(lost == 0, "%d of %d requests sent 0.3 s before SIGTERM, due 6.7 s after it, had no answer; graceS is %d, ended %.1f s after SIGTERM",
            lost, REQUESTS, GRACE_S, (bench.nowMs() - termMs) / 1000.0);
    }
}
