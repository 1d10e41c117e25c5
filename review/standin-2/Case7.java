import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Uploads pile up in a daemon while its server is slow; afterwards the daemon has to answer again. */
final class Case7 {
    private static final int UPLOADS_PER_S = 28;
    private static final int UPLOAD_BYTES = 1_000_000;
    private static final int WORK_MS = 140;
    private static final int SLOW_FACTOR = 12;
    private static final long SLOW_FOR_MS = 9_000;
    private static final double TIMEOUT_S = 0.8;
    private static final int PROBES = 40;

    /** Clients that send lookups all the while, with a pause of 0.2 s after each answer. */
    private static final int READERS = 20;

    private Case7() {
    }

    public static void main(String[] args) throws Exception {
        Fleet.main(args, Case7::play);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        Daemon entry = fleet.daemon("vm-a", "grandi", "permit-store");
        Daemon other = fleet.daemon("vm-b", "grandi", "pitch-finder");
        List<Client> readers = new ArrayList<>();
        fleet.store.operatorWrites("config", config(2, true));
        AppServer permits = fleet.server("i-permit", "permit-store", entry, WORK_MS);
        AppServer pitches = fleet.server("i-pitch", "pitch-finder", other, 50);
        if (!fleet.startAll()) return Fleet.NOT_RUN;
        permits.beat(1_500);
        pitches.beat(1_500);
        AppServer.sleep(4_000);
        if (answered(probe(fleet, entry)) < PROBES) {
            fleet.record.line("script", "the fleet did not serve before the trouble");
            return Fleet.NOT_RUN;
        }

        Client vendors = new Client(entry, fleet.record);
        for (int i = 0; i < READERS; i++) {
            readers.add(new Client(entry, fleet.record).loop("GET", "hulo84.example", "/pitch/1", "key-1", new byte[0], 5_000, 200));
        }
        if (trouble) permits.workFor(WORK_MS * SLOW_FACTOR);
        upload(vendors, SLOW_FOR_MS);
        permits.workFor(WORK_MS);
        upload(vendors, 3_000);
        for (Client reader : readers) reader.stop();
        AppServer.sleep(10_000);

        List<Client.Attempt> attempts = probe(fleet, entry);
        int answered = answered(attempts);
        fleet.record.line("script", "lookups at vm-a from 10 s after the uploads on: " + answered + " of " + attempts.size()
            + " answered within timeoutS + 0.5 s; process running=" + entry.running() + " ready=" + entry.readiness());
        if (attempts.size() - answered > attempts.size() / 2) return Fleet.BROKEN;
        return servesDroppedRoute(fleet, entry) ? Fleet.BROKEN : Fleet.HELD;
    }

    /** Drops a public route and returns whether {@code entry} still serves it later than configApplyS after the acknowledgement. */
    private static boolean servesDroppedRoute(Fleet fleet, Daemon entry) {
        long acknowledgedMs = fleet.store.operatorWrites("config", config(3, false));
        fleet.record.line("operator", "version 3 without the route of /board/ acknowledged at " + acknowledgedMs);
        Fleet.sleepUntil(acknowledgedMs + 4_000);
        Client client = new Client(entry, fleet.record);
        int served = 0;
        for (int i = 0; i < 10; i++) {
            if (client.send("GET", "hulo84.example", "/board/1", null, new byte[0], 2_000).status() == 200) served++;
        }
        fleet.record.line("script", "served on the dropped route later than 4 s after the acknowledgement: " + served + " of 10");
        return served > 0;
    }

    private static String config(int version, boolean withBoard) {
        List<String> routes = new ArrayList<>();
        routes.add(Fleet.route("upload", "/permit/", "upload", "permit-store", 5, false));
        routes.add(Fleet.route("lookup", "/pitch/", "idempotent", "pitch-finder", TIMEOUT_S, false));
        if (withBoard) routes.add(Fleet.route("board", "/board/", "idempotent", "pitch-finder", TIMEOUT_S, true));
        return Fleet.config(version, routes, List.of("permit-store", "pitch-finder"), List.of("key-1"));
    }

    /** Sends uploads at the usual rate, whatever becomes of the earlier ones. */
    private static void upload(Client vendors, long forMs) {
        long startMs = Record.nowMs();
        for (int sent = 0; Record.nowMs() - startMs < forMs; sent++) {
            Http.daemonThread(() -> vendors.send("POST", "hulo84.example", "/permit/photo", "key-1", new byte[UPLOAD_BYTES], 2_000));
            Fleet.sleepUntil(startMs + (sent + 1) * 1_000L / UPLOADS_PER_S);
        }
    }

    /** Sends lookups through {@code entry} that wait longer than their route's timeout. */
    private static List<Client.Attempt> probe(Fleet fleet, Daemon entry) throws Exception {
        Client client = new Client(entry, fleet.record);
        ExecutorService pool = Executors.newFixedThreadPool(PROBES);
        List<Future<Client.Attempt>> pending = new ArrayList<>();
        for (int i = 0; i < PROBES; i++) {
            Callable<Client.Attempt> send = () -> client.send("GET", "hulo84.example", "/pitch/7", "key-1", new byte[0], 5_000);
            pending.add(pool.submit(send));
            AppServer.sleep(100);
        }
        List<Client.Attempt> attempts = new ArrayList<>();
        for (Future<Client.Attempt> one : pending) attempts.add(one.get());
        pool.shutdown();
        return attempts;
    }

    private static int answered(List<Client.Attempt> attempts) {
        int count = 0;
        for (Client.Attempt attempt : attempts) {
            boolean inTime = attempt.answeredMs() - attempt.sentMs() <= TIMEOUT_S * 1_000 + 500;
            if (attempt.status() > 0 && inTime) count++;
        }
        return count;
    }
}
