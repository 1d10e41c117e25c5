import java.util.ArrayList;
import java.util.List;

/** The store turns a third of the machines away, those that watch it for the others; a key is taken away meanwhile. */
final class Case9 {
    private static final int MACHINES = 6;
    private static final int TURNED_AWAY = 2;
    private static final long TURNED_AWAY_MS = 9_000;

    /** configApplyS and, for an unstable core, maxStretchS. */
    private static final long BOUND_MS = 2_000 + 5_000;

    private Case9() {
    }

    public static void main(String[] args) throws Exception {
        Fleet.main(args, Case9::play);
    }

    private static String config(int version, List<String> keys) {
        List<String> routes = List.of(Fleet.route("booking", "/booking/", "non_idempotent", "booking-desk", 2, false));
        return Fleet.config(version, routes, List.of("booking-desk", "pitch-finder"), keys);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        for (int i = 1; i <= MACHINES; i++) fleet.daemon("vm-" + i, "grandi", i <= 2 ? "booking-desk" : "pitch-finder");
        fleet.store.operatorWrites("config", config(2, List.of("key-kept", "key-withdrawn")));
        List<AppServer> desks = new ArrayList<>();
        for (int i = 0; i < 2; i++) desks.add(fleet.server("i-desk-" + (i + 1), "booking-desk", fleet.daemons.get(i), 20));
        if (!fleet.startAll()) return Fleet.NOT_RUN;
        for (AppServer desk : desks) desk.beat(1_500);
        AppServer.sleep(8_000);

        List<Store.Door> watched = new ArrayList<>();
        List<Daemon> others = new ArrayList<>();
        for (Daemon daemon : fleet.daemons) {
            if (fleet.doorOf(daemon).watches.get() > 0) watched.add(fleet.doorOf(daemon));
            else others.add(daemon);
        }
        fleet.record.line("script", watched.size() + " of " + MACHINES + " machines have a watch open at the store");
        if (watched.size() > TURNED_AWAY) return Fleet.NOT_RUN;

        // A change of the configuration that takes nothing away, as operators make many.
        long changedMs = fleet.store.operatorWrites("config", config(5, List.of("key-kept", "key-withdrawn", "key-new")));
        fleet.record.line("operator", "version 5 acknowledged at " + changedMs);
        List<Client> clients = new ArrayList<>();
        for (Daemon machine : others) {
            clients.add(new Client(machine, fleet.record)
                .loop("POST", "hulo84.example", "/booking/1", "key-withdrawn", new byte[100], 2_000, 40));
        }
        AppServer.sleep(250);
        if (trouble) {
            for (Store.Door door : watched) door.mode = Store.Mode.TURN_AWAY;
            fleet.record.line("store", "turns " + watched.size() + " machines away with 503");
        }
        long turnedAwayMs = Record.nowMs();
        AppServer.sleep(100);
        long acknowledgedMs = fleet.store.operatorWrites("config", config(9, List.of("key-kept", "key-new")));
        fleet.record.line("operator", "version 9 without key-withdrawn acknowledged at " + acknowledgedMs);
        Fleet.sleepUntil(turnedAwayMs + TURNED_AWAY_MS);
        for (Store.Door door : watched) door.mode = Store.Mode.SERVE;
        AppServer.sleep(4_000);
        for (Client client : clients) client.stop();
        AppServer.sleep(500);

        int ran = 0;
        long lastMs = 0;
        for (Client client : clients) {
            for (Client.Attempt attempt : client.attempts) {
                if (attempt.status() != 200 || attempt.sentMs() <= acknowledgedMs) continue;
                lastMs = Math.max(lastMs, attempt.sentMs());
                if (attempt.sentMs() > acknowledgedMs + BOUND_MS) ran++;
            }
        }
        fleet.record.line("script", "bookings with the withdrawn key run for machines that the store serves, sent later than " + BOUND_MS
            + " ms after the acknowledgement: " + ran + ", the last one sent " + (lastMs - acknowledgedMs) + " ms after it");
        return ran > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
