import java.util.ArrayList;
import java.util.List;

/** The open connections to the platform's store go silent; a key is taken away soon after. */
final class Case10 {
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;

    private Case10() {
    }

    public static void main(String[] args) throws Exception {
        Fleet.main(args, Case10::play);
    }

    private static String config(int version, List<String> keys) {
        List<String> routes = List.of(Fleet.route("booking", "/booking/", "non_idempotent", "booking-desk", 2, false));
        return Fleet.config(version, routes, List.of("booking-desk", "pitch-finder"), keys);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        List<Daemon> machines = new ArrayList<>();
        String[] zones = {"grandi", "breidholt"};
        for (int i = 0; i < 4; i++) {
            machines.add(fleet.daemon("vm-" + (i + 1), zones[i % 2], i < 2 ? "booking-desk" : "pitch-finder"));
        }
        fleet.store.operatorWrites("config", config(2, List.of("key-kept", "key-withdrawn")));
        List<AppServer> desks = new ArrayList<>();
        for (int i = 0; i < 2; i++) desks.add(fleet.server("i-desk-" + (i + 1), "booking-desk", machines.get(i), 20));
        if (!fleet.startAll()) return Fleet.NOT_RUN;
        for (AppServer desk : desks) desk.beat(1_500);
        AppServer.sleep(6_000);

        // A change of the configuration that takes nothing away, as operators make many.
        long changedMs = fleet.store.operatorWrites("config", config(5, List.of("key-kept", "key-withdrawn", "key-new")));
        fleet.record.line("operator", "version 5 acknowledged at " + changedMs);
        List<Client> clients = new ArrayList<>();
        for (Daemon machine : machines) {
            clients.add(new Client(machine, fleet.record)
                .loop("POST", "hulo84.example", "/booking/1", "key-withdrawn", new byte[100], 2_000, 40));
        }
        AppServer.sleep(600);
        long silentMs = Record.nowMs();
        if (trouble) {
            int count = 0;
            for (Daemon machine : machines) count += fleet.doorOf(machine).server.silenceOpen();
            fleet.record.line("network", count + " open connections to the store are silent from " + silentMs + " on; new ones work");
        }
        AppServer.sleep(200);
        long acknowledgedMs = fleet.store.operatorWrites("config", config(9, List.of("key-kept", "key-new")));
        fleet.record.line("operator", "version 9 without key-withdrawn acknowledged at " + acknowledgedMs);
        AppServer.sleep(9_000);
        for (Client client : clients) client.stop();
        AppServer.sleep(500);

        long fromMs = Math.max(acknowledgedMs + CONFIG_APPLY_MS, trouble ? silentMs + STABLE_WINDOW_MS : 0);
        int ran = 0;
        long lastMs = 0;
        for (Client client : clients) {
            for (Client.Attempt attempt : client.attempts) {
                if (attempt.sentMs() <= fromMs || attempt.status() != 200) continue;
                ran++;
                lastMs = Math.max(lastMs, attempt.sentMs());
            }
        }
        fleet.record.line("script", "bookings with the withdrawn key sent after " + fromMs + " by machines in touch and run: " + ran
            + ", the last one sent " + (lastMs - acknowledgedMs) + " ms after the acknowledgement");
        return ran > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
