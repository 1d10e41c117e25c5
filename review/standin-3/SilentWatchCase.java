import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The daemons' open connections to the store go silent without a reset, and the operator changes the configuration. */
final class SilentWatchCase extends Case {
    private static final String HOST = "hulo84.example";
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 3_000;

    /** Time after the start of a feed call at which the connections go silent. */
    private static final long FEED_OPEN_MS = Long.getLong("feedOpenMs", 300);

    private SilentWatchCase(Path record) throws Exception {
        super(record);
    }

    public static void main(String[] args) throws Exception {
        new SilentWatchCase(Path.of(args[0])).run();
    }

    @Override
    boolean play() throws Exception {
        Store store = new Store(recorder, 0);
        Proxy proxy = new Proxy(store.address(), 0);
        store.put("op", "config", first().text());
        fleet.add("grandi", "hofudborg", "pitch-finder", proxy.address());
        fleet.add("oddeyri", "nordurland", "booking-desk", proxy.address());
        fleet.add("breidholt", "hofudborg", "pitch-finder", proxy.address());
        fleet.add("glerartorg", "nordurland", "booking-desk", proxy.address());
        for (Fleet.Machine machine : fleet.machines) {
            new AppServer("i-" + machine.number, machine.service, machine.zone, machine.upstream, machine.control, recorder);
            machine.start();
        }
        require(fleet.awaitReady(30_000), "a daemon is not ready");
        Threads.sleep(5_000);
        recorder.write("operator: version 6 acknowledged as row version " + store.put("op", "config", second().text()));
        Threads.sleep(CONFIG_APPLY_MS + 500);
        for (Fleet.Machine machine : fleet.machines) require(lookup(machine, "key-two").status() == 200, "the second configuration is not in force");

        awaitFeedStart(store);
        long silentAtMs = recorder.nowMs();
        if (trouble) recorder.write("network: " + proxy.silenceOpen() + " open connections to the store go silent");
        Threads.sleep(300);
        recorder.write("operator: version 9 acknowledged as row version " + store.put("op", "config", third().text()));
        long acknowledgedAtMs = recorder.nowMs();

        // From here on the daemons are in touch again, and the time to apply the configuration is over.
        long boundMs = Math.max(silentAtMs + STABLE_WINDOW_MS, acknowledgedAtMs + CONFIG_APPLY_MS) + 50;
        while (recorder.nowMs() < boundMs) Threads.sleep(10);
        recorder.write("requests from now on are bound to version 9");
        List<Client.Answer> broken = new ArrayList<>();
        int sent = 0;
        while (recorder.nowMs() < boundMs + 5_000) {
            for (Fleet.Machine machine : fleet.machines) {
                Client.Answer moved = lookup(machine, "key-one");
                Client.Answer withdrawn = lookup(machine, "key-two");
                sent += 2;
                if (!moved.body().contains("booking-desk")) broken.add(moved);
                if (withdrawn.status() != 401) broken.add(withdrawn);
            }
            Threads.sleep(50);
        }
        recorder.write("after the bound: " + broken.size() + " of " + sent + " requests were handled as only an older version allows");
        if (!broken.isEmpty()) {
            recorder.write("the last of them was sent " + (broken.get(broken.size() - 1).sentAtMs() - boundMs) + " ms after the bound");
        }
        return broken.isEmpty();
    }

    /** Waits until the feed call of a daemon has been open for a short time. */
    private void awaitFeedStart(Store store) {
        long started = store.feedStartedAtMs;
        while (store.feedStartedAtMs == started) Threads.sleep(10);
        Threads.sleep(FEED_OPEN_MS);
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

    private static OperatorConfig second() {
        return base(6).route("r-lookup", HOST, "/leny950/", "idempotent", "pitch-finder", 2).tenant("pulo780", "key-one", "key-two");
    }

    /** Moves the route to another service and withdraws the second key. */
    private static OperatorConfig third() {
        return base(9).route("r-lookup", HOST, "/leny950/", "idempotent", "booking-desk", 2).tenant("pulo780", "key-one");
    }
}
