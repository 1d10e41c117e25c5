import java.nio.file.Path;

/**
 * The store comes back from a copy that is a few seconds old. The operator writes its newest configuration again, and then a new one.
 *
 * The new configuration moves a route and withdraws a key.
 */
final class StoreRestoreCase extends Case {
    private static final String HOST = "hulo84.example";
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long MAX_STRETCH_MS = 5_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long AWAY_MS = 1_000;

    /** Time after which the operator, which repeats its call until it is acknowledged, reaches the store again. */
    private static final long OPERATOR_RETRY_MS = 100;

    /** Time between two changes of the configuration in quick succession. */
    private static final long NEXT_CHANGE_MS = 330;

    private StoreRestoreCase(Path record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new StoreRestoreCase(Path.of(args[0])).run();
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store(recorder, 0);
        store.put("op", "config", first().text());
        fleet.add("grandi", "hofudborg", "pitch-finder", store.address());
        fleet.add("oddeyri", "nordurland", "booking-desk", store.address());
        fleet.add("breidholt", "hofudborg", "pitch-finder", store.address());
        fleet.add("glerartorg", "nordurland", "booking-desk", store.address());
        for (Fleet.Machine machine : fleet.machines) {
            new AppServer("i-" + machine.number, machine.service, machine.zone, machine.upstream, machine.control, recorder);
            machine.start();
        }
        require(fleet.awaitReady(30_000), "a daemon is not ready");
        Threads.sleep(3_000);
        for (Fleet.Machine machine : fleet.machines) require(lookup(machine, "key-one").status() == 200, "the first configuration is not in force");

        store.backUp();
        Threads.sleep(500);
        recorder.write("operator: version 6 acknowledged as row version " + store.put("op", "config", second(6).text()));
        Threads.sleep(1_000);
        recorder.write("operator: version 7 acknowledged as row version " + store.put("op", "config", second(7).text()));
        Threads.sleep(CONFIG_APPLY_MS);
        for (Fleet.Machine machine : fleet.machines) require(lookup(machine, "key-two").status() == 200, "the second configuration is not in force");

        if (trouble) store.setAway(true);
        Threads.sleep(AWAY_MS);
        if (trouble) {
            store.restore();
            store.setAway(false);
            Threads.sleep(OPERATOR_RETRY_MS);
            recorder.write("operator: version 7 written again, acknowledged as row version " + store.put("op", "config", second(7).text()));
        }
        Threads.sleep(NEXT_CHANGE_MS);
        recorder.write("operator: version 9 acknowledged as row version " + store.put("op", "config", third().text()));
        long acknowledgedAtMs = recorder.nowMs();

        long boundMs = acknowledgedAtMs + STABLE_WINDOW_MS + CONFIG_APPLY_MS + MAX_STRETCH_MS;
        while (recorder.nowMs() <= boundMs) Threads.sleep(50);
        int broken = 0;
        int sent = 0;
        for (int round = 0; round < 10; round++) {
            for (Fleet.Machine machine : fleet.machines) {
                Client.Answer moved = lookup(machine, "key-one");
                Client.Answer withdrawn = lookup(machine, "key-two");
                sent += 2;
                if (!moved.body().contains("booking-desk")) broken++;
                if (withdrawn.status() != 401) broken++;
            }
            Threads.sleep(1_000);
        }
        recorder.write("after the bound: " + broken + " of " + sent + " requests were handled as only an older version allows");
        return broken == 0;
    }

    private Client.Answer lookup(Fleet.Machine machine, String key) {
        return client.send(machine.outbound, "GET", HOST, "/leny950/2f", key, 3_000, new byte[0]);
    }

    private static OperatorConfig base(long version) {
        return new OperatorConfig(version).service("pitch-finder").service("booking-desk");
    }

    private static OperatorConfig first() {
        return base(3).route("r-lookup", HOST, "/leny950/", "idempotent", "pitch-finder", 2).tenant("pulo780", "key-one");
    }

    /** Grants a second key. */
    private static OperatorConfig second(long version) {
        return base(version).route("r-lookup", HOST, "/leny950/", "idempotent", "pitch-finder", 2).tenant("pulo780", "key-one", "key-two");
    }

    /** Moves the route to another service and withdraws the second key. */
    private static OperatorConfig third() {
        return base(9).route("r-lookup", HOST, "/leny950/", "idempotent", "booking-desk", 2).tenant("pulo780", "key-one");
    }
}
