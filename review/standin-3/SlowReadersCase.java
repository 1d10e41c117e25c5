import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read large answers slowly while others on the same machine send bookings on kept connections. */
final class SlowReadersCase extends Case {
    private static final String HOST = "jepu9.example";
    private static final int READERS = 16;
    private static final int BOOKERS = 12;
    private static final int SHEET_BYTES = 4_000_000;

    /** Speed at which a slow client reads. */
    private static final int SLOW_BYTES_PER_S = 1_000_000;

    /** Most requests that a machine may pass on and then close their connections without an answer. */
    private static final int ALLOWED = 3;

    /** Attempt ids of the requests whose connections ended without a complete answer; the value tells whether it was a kept connection. */
    private final ConcurrentMap<String, Boolean> unanswered = new ConcurrentHashMap<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger wholeSheets = new AtomicInteger();

    private SlowReadersCase(Path record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new SlowReadersCase(Path.of(args[0])).run();
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store(recorder, 0);
        store.put("op", "config", new OperatorConfig(3).service("hojas").service("pedidos")
            .route("r-sheet", HOST, "/cufi502/", "download", "hojas", 2)
            .route("r-order", HOST, "/puka111/", "non_idempotent", "pedidos", 2).tenant("pulo780", "key-one").text());
        Fleet.Machine entry = fleet.add("norte-a", "norte", "hojas", store.address());
        Fleet.Machine other = fleet.add("norte-b", "norte", "pedidos", store.address());
        AppServer sheets = server(entry);
        sheets.answerBytes = SHEET_BYTES;
        AppServer orders = server(other);
        orders.workMs = 290;
        for (Fleet.Machine machine : fleet.machines) machine.start();
        require(fleet.awaitReady(30_000), "a daemon is not ready");
        Threads.sleep(5_000);

        long endMs = recorder.nowMs() + 15_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BOOKERS; i++) {
            clients.add(Threads.start("booker", () -> converse(entry, "POST", "/puka111/2f", 0, endMs)));
        }
        Threads.sleep(3_000);
        require(orders.runs.size() > BOOKERS, "no orders are run");
        for (int i = 0; i < READERS; i++) {
            clients.add(Threads.start("reader", () -> converse(entry, "GET", "/cufi502/2f", trouble ? SLOW_BYTES_PER_S : 0, endMs)));
        }
        for (Thread thread : clients) thread.join();

        boolean alive = entry.process.isAlive();
        recorder.write("daemon " + entry.name + (alive ? ": still runs" : ": has ended by itself, exit status " + entry.process.exitValue()));
        List<String> run = new ArrayList<>();
        for (AppServer server : List.of(sheets, orders)) server.runs.forEach(each -> run.add(each.attempt()));
        long lost = unanswered.entrySet().stream().filter(each -> each.getValue() && run.contains(each.getKey())).count();
        recorder.write(wholeSheets.get() + " sheets were read; requests of kept connections that were passed on to a server and whose connection was"
            + " closed without an answer: " + lost + ", of which orders: " + unanswered.keySet().stream().filter(id -> id.startsWith("order")).count());
        return lost <= ALLOWED;
    }

    private AppServer server(Fleet.Machine machine) throws IOException {
        return new AppServer("i-" + machine.number, machine.service, machine.zone, machine.upstream, machine.control, recorder);
    }

    /** Sends one request after the other on one connection, as long as it is kept; reads at most [bytesPerS], 0 for no limit. */
    private void converse(Fleet.Machine machine, String method, String path, int bytesPerS, long endMs) {
        while (recorder.nowMs() < endMs) {
            try (Socket socket = new Socket()) {
                if (bytesPerS > 0) socket.setReceiveBufferSize(65_536);
                socket.setTcpNoDelay(true);
                socket.connect(machine.outbound, 1_000);
                socket.setSoTimeout(10_000);
                InputStream in = new BufferedInputStream(bytesPerS > 0 ? new SlowStream(socket.getInputStream(), bytesPerS) : socket.getInputStream());
                boolean kept = false;
                while (recorder.nowMs() < endMs && exchange(socket, in, method, path, kept)) kept = true;
            } catch (IOException refused) {
                Threads.sleep(500);
            }
        }
    }

    /** Sends one request and reads its answer; returns whether the connection is kept. */
    private boolean exchange(Socket socket, InputStream in, String method, String path, boolean kept) throws IOException {
        String attempt = (method.equals("POST") ? "order-" : "sheet-") + attempts.incrementAndGet();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", HOST);
        fields.put("X-Attempt-Id", attempt);
        fields.put("X-Deadline-Ms", "5000");
        fields.put("X-Credential", "key-one");
        long sentAtMs = recorder.nowMs();
        Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", fields, new byte[0]);
        Http.Message answer = null;
        try {
            answer = Http.read(in, true);
        } catch (IOException broken) {
            // No complete answer, as below.
        }
        recorder.write("client: " + method + " " + path + " as " + attempt + (kept ? " on a kept connection" : " on a new connection") + " sent at " + sentAtMs
            + ", answered " + (answer == null ? "nothing: the connection was closed" : answer.status() + ", " + answer.body.length + " bytes"));
        if (answer == null) unanswered.put(attempt, kept);
        else if (attempt.startsWith("sheet") && answer.status() == 200) wholeSheets.incrementAndGet();
        return answer != null && !"close".equalsIgnoreCase(answer.fields.get("Connection"));
    }

    /** Reads at a bounded speed. */
    private static final class SlowStream extends InputStream {
        private final InputStream source;
        private final int bytesPerS;

        SlowStream(InputStream source, int bytesPerS) {
            this.source = source;
            this.bytesPerS = bytesPerS;
        }

        @Override
        public int read() throws IOException {
            return source.read();
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int read = source.read(bytes, offset, Math.min(length, bytesPerS / 50));
            if (read > 0) Threads.sleep(read * 1_000L / bytesPerS);
            return read;
        }
    }
}
