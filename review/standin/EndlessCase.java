import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A server answers a small share of its requests with bytes that are no answer and have no end. */
final class EndlessCase {
    private static final int ONE_IN = 50;
    private static final int PER_S = 40;
    private static final int PLAY_MS = 20_000;
    private static final int TIMEOUT_MS = 3000;

    public static void main(String[] args) {
        Bench.main(Path.of(args[0]), EndlessCase::play);
    }

    /** Writes a chunked body without an end, in chunks of one byte. */
    private static void endless(Socket socket, Map<String, String> head) throws Exception {
        OutputStream out = socket.getOutputStream();
        StringBuilder start = new StringBuilder("HTTP/1.1 200 OK\r\n");
        head.forEach((k, v) -> start.append(k).append(": ").append(v).append("\r\n"));
        start.append("Transfer-Encoding: chunked\r\n\r\n");
        out.write(start.toString().getBytes(StandardCharsets.ISO_8859_1));
        byte[] block = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.ISO_8859_1);
        while (true) out.write(block);
    }

    private static boolean play(Bench bench) throws Exception {
        bench.configure("{\"version\":\"00000007\",\"routes\":["
            + "{\"name\":\"r-a\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"idempotent\",\"timeoutS\":3,\"targetLatencyS\":1.5,\"priority\":2,"
            + "\"service\":\"finder\",\"attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"finder\",\"healthPath\":\"/health\",\"maxConnections\":700,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
            + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"ratePerS\":1000,\"burst\":1000}]}");
        Bench.Machine machine = bench.new Machine("sidecar-a-1", "127.0.1.1", "a", "north", "finder");
        machine.start();
        machine.awaitReady(20_000);
        AppServer server = new AppServer(bench, machine, "finder");
        server.slots = 100;
        server.workMs = 120;
        server.spoil = EndlessCase::endless;
        Bench.Ask ask = new Bench.Ask();
        ask.key = "key1";
        ask.deadlineMs = 8000;
        bench.awaitServed(machine, ask, 15_000);
        Thread.sleep(4000);
        if (bench.trouble) server.spoilOneIn = ONE_IN;
        List<CompletableFuture<Bench.Outcome>> open = new ArrayList<>();
        AtomicInteger misses = new AtomicInteger();
        AtomicInteger probes = new AtomicInteger();
        AtomicBoolean ended = new AtomicBoolean();
        Thread prober = Http.thread(() -> {
            while (!ended.get()) {
                probes.incrementAndGet();
                if (!machine.isReady()) misses.incrementAndGet();
                pause(1000);
            }
        });
        long endMs = bench.nowMs() + PLAY_MS;
        while (bench.nowMs() < endMs) {
            open.add(bench.askLater(machine, ask));
            pause(1000 / PER_S);
        }
        int unanswered = 0;
        int late = 0;
        int served = 0;
        for (CompletableFuture<Bench.Outcome> request : open) {
            Bench.Outcome outcome = request.get();
            long tookMs = outcome.endedAtMs - outcome.sentAtMs;
            if (tookMs > TIMEOUT_MS) unanswered++;
            if (tookMs > TIMEOUT_MS + 500) late++;
            if (outcome.status == 200 && outcome.complete) served++;
        }
        ended.set(true);
        prober.join();
        bench.record("requests %d, served %d, readiness missed %d times of %d", open.size(), served, misses.get(), probes.get());
        boolean broken = late >= 8 && late * 2 > unanswered;
        return bench.verdict(!broken, "%d requests were unanswered at timeoutS, %d of them still had no answer half a second later; readiness missed %d of %d times",
            unanswered, late, misses.get(), probes.get());
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException ignored) {
            // Nobody interrupts.
        }
    }
}
