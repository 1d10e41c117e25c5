import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers answer uploads before they have read them, without a length; a faulty one breaks off some answers with a reset. */
final class Case6 {
    private static final int UPLOADS = 120;
    private static final int UPLOAD_BYTES = 6_000_000;
    private static final int ANSWER_BYTES = 30_000;
    private static final int READ_FIRST_BYTES = 1_000;

    /** The faulty server breaks off one answer in this many. */
    private static final int BROKEN_ONE_IN = 10;

    private Case6() {
    }

    public static void main(String[] args) throws Exception {
        Fleet.main(args, Case6::play);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        Daemon first = fleet.daemon("vm-a", "grandi", "permit-store");
        Daemon second = fleet.daemon("vm-b", "grandi", "permit-store");
        Daemon entry = fleet.daemon("vm-c", "grandi", "pitch-finder");
        List<String> routes = List.of(Fleet.route("upload", "/permit/", "upload", "permit-store", 5, false));
        fleet.store.operatorWrites("config", Fleet.config(2, routes, List.of("permit-store", "pitch-finder"), List.of("key-1")));
        if (!fleet.startAll()) return Fleet.NOT_RUN;
        List<EarlyServer> servers = new ArrayList<>();
        servers.add(new EarlyServer("i-permit-1", first, trouble, fleet.record));
        servers.add(new EarlyServer("i-permit-2", second, false, fleet.record));
        AppServer.sleep(4_000);

        int whole = 0;
        int truncated = 0;
        for (int i = 0; i < UPLOADS; i++) {
            Http.Message request = Http.request("POST", "/permit/photo", "Host", "hulo84.example", "X-Attempt-Id", "u" + i, "X-Deadline-Ms",
                "2000", "X-Credential", "key-1");
            request.body = new byte[UPLOAD_BYTES];
            String outcome;
            try {
                Http.Message answer = Http.call(entry.outbound, request, 3_000);
                boolean complete = answer.body.length == ANSWER_BYTES;
                if (answer.status() == 200 && complete) whole++;
                if (answer.status() == 200 && !complete) truncated++;
                outcome = answer.status() + " with content-length " + answer.header("content-length") + ", " + answer.body.length
                    + " bytes, signature " + answer.header("x-response-signature");
            } catch (IOException failed) {
                outcome = "no complete answer: " + failed.getMessage();
            }
            fleet.record.line("client at vm-c", "u" + i + " -> " + outcome);
        }
        for (EarlyServer server : servers) server.beating = false;
        int resets = servers.get(0).resets.get();
        fleet.record.line("script", "of " + UPLOADS + " uploads " + whole + " got the server's whole answer of " + ANSWER_BYTES + " bytes, "
            + truncated + " a 200 with a part of it that looks complete; answers broken off by a reset: " + resets);
        if (truncated > 0) return Fleet.BROKEN;
        return whole == 0 || trouble && resets == 0 ? Fleet.NOT_RUN : Fleet.HELD;
    }

    /** Server that starts its answer when it has read the head of an upload, and reads the rest of the body afterwards. */
    private static final class EarlyServer {
        private final String id;
        private final Daemon machine;
        private final boolean faulty;
        private final Record record;
        private final ServerSocket listener = new ServerSocket();
        private final AtomicInteger answers = new AtomicInteger();
        private final AtomicInteger resets = new AtomicInteger();
        private volatile boolean beating = true;

        EarlyServer(String id, Daemon machine, boolean faulty, Record record) throws IOException {
            this.id = id;
            this.machine = machine;
            this.faulty = faulty;
            this.record = record;
            listener.setReceiveBufferSize(16_384);
            listener.bind(new InetSocketAddress(InetAddress.getByName(Http.HOST), machine.upstream), 64);
            Http.daemonThread(this::accept);
            Http.daemonThread(this::beat);
        }

        private void beat() {
            long bornMs = System.currentTimeMillis();
            for (int sequence = 1; beating; sequence++) {
                Http.Message message = Http.request("POST", "/Instances.Heartbeat/" + id, "host", Http.HOST, "content-type", "application/json");
                message.body = ("{\"address\":\"" + Http.HOST + ":" + machine.upstream + "\",\"born\":" + bornMs
                    + ",\"info\":{\"service\":\"permit-store\",\"version\":\"v1\",\"zone\":\"grandi\",\"slots\":104},"
                    + "\"status\":{\"state\":\"ready\",\"seq\":" + sequence + ",\"coldLeftS\":0}}").getBytes(StandardCharsets.UTF_8);
                try {
                    record.line(id, "heartbeat " + sequence + " -> " + Http.call(machine.control, message, 1_000).status());
                } catch (IOException noAnswer) {
                    record.line(id, "heartbeat " + sequence + " without an answer");
                }
                AppServer.sleep(1_500);
            }
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Http.daemonThread(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                String attempt = "";
                int length = 0;
                for (String line = line(in); !line.isEmpty(); line = line(in)) {
                    String lower = line.toLowerCase();
                    if (lower.startsWith("x-attempt-id:")) attempt = line.substring("x-attempt-id:".length()).trim();
                    if (lower.startsWith("content-length:")) length = Integer.parseInt(line.substring("content-length:".length()).trim());
                }
                in.readNBytes(READ_FIRST_BYTES);
                boolean breaksOff = faulty && answers.incrementAndGet() % BROKEN_ONE_IN == BROKEN_ONE_IN / 2;
                record.line(id, "runs " + attempt + " with a body of " + length + " bytes, answers after " + READ_FIRST_BYTES + " of them");
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: sig." + id + "." + attempt + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.write(new byte[ANSWER_BYTES / 2]);
                out.flush();
                AppServer.sleep(100);
                if (breaksOff) {
                    resets.incrementAndGet();
                    socket.setSoLinger(true, 0);
                    record.line(id, "breaks off the answer to " + attempt + " after " + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES + " bytes: reset");
                    return;
                }
                out.write(new byte[ANSWER_BYTES / 2]);
                out.flush();
                in.readNBytes(length - READ_FIRST_BYTES);
                record.line(id, "has sent its whole answer to " + attempt + " and read the whole body; closes");
            } catch (IOException ended) {
                record.line(id, "connection ended: " + ended.getMessage());
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) throw new EOFException("closed");
                if (b != '\r') line.append((char) b);
            }
            return line.toString();
        }
    }
}
