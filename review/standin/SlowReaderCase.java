import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A daemon gets SIGTERM while clients read, slowly but in time, the answers that their servers have already given. */
final class SlowReaderCase {
    private static final int ANSWER_BYTES = Integer.getInteger("bytes", 4_190_000);
    private static final int READ_PER_S = 100_000;
    private static final int SLOW_MS = 3200;
    private static final int REQUESTS = 2;

    public static void main(String[] args) {
        Bench.main(Path.of(args[0]), SlowReaderCase::play);
    }

    private static boolean play(Bench bench) throws Exception {
        bench.configure("{\"version\":\"00000007\",\"routes\":["
            + "{\"name\":\"r-sheet\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"download\",\"timeoutS\":8,\"targetLatencyS\":3,\"priority\":2,"
            + "\"service\":\"sheets\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"sheets\",\"healthPath\":\"/health\",\"maxConnections\":200,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"ratePerS\":100,\"burst\":100}]}");
        Bench.Machine machine = bench.new Machine("sidecar-a-1", "127.0.1.1", "a", "north", "sheets");
        machine.start();
        machine.awaitReady(20_000);
        AppServer server = new AppServer(bench, machine, "sheets");
        Bench.Ask ask = new Bench.Ask();
        ask.key = "key1";
        ask.deadlineMs = 8000;
        bench.awaitServed(machine, ask, 15_000);
        Thread.sleep(4000);

        server.answerBytes = ANSWER_BYTES;
        Bench.Ask slow = new Bench.Ask();
        slow.key = "key1";
        slow.deadlineMs = 8000;
        slow.readPerS = READ_PER_S;
        slow.slowMs = SLOW_MS;
        slow.receiveBuffer = 16_384;
        List<CompletableFuture<Bench.Outcome>> open = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) open.add(bench.askLater(machine, slow));
        Thread.sleep(500);
        long termMs = bench.nowMs();
        if (bench.trouble) machine.signal("TERM");
        int lost = 0;
        for (CompletableFuture<Bench.Outcome> request : open) {
            Bench.Outcome outcome = request.get();
            if (!(outcome.status == 200 && outcome.complete)) lost++;
        }
        return bench.verdict(lost == 0, "%d of %d answers were cut; the last one ended %.1f s after SIGTERM", lost, REQUESTS, (bench.nowMs() - termMs) / 1000.0);
    }
}
