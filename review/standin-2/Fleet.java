import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Small deployment on loopback addresses: the platform's store, daemons, application servers and clients. */
final class Fleet implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Script of one case: returns HELD, BROKEN or NOT_RUN. */
    interface Case {
        int play(Fleet fleet, boolean trouble) throws Exception;
    }

    final Record record;
    final Store store;
    final List<Daemon> daemons = new ArrayList<>();
    private final List<AppServer> servers = new ArrayList<>();
    private final List<Store.Door> doors = new ArrayList<>();
    private final Path root;
    private final Path directory;

    private Fleet(Path root, Path file) throws IOException {
        this.root = root;
        record = new Record(file);
        store = new Store(record);
        directory = Files.createTempDirectory("review");
    }

    /** Plays {@code script} with the record in the folder args[1] of the repository args[0] and exits with its result. */
    static void main(String[] args, Case script) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = NOT_RUN;
        Fleet fleet = new Fleet(root, root.resolve(args[1]).resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::endProcesses));
        try (fleet) {
            fleet.record.line("script", "TROUBLE=" + (trouble ? 1 : 0));
            if (Files.exists(root.resolve("target/wigeonreel.jar"))) result = script.play(fleet, trouble);
            else fleet.record.line("script", "target/wigeonreel.jar is missing: run the build of the deploy file");
        } catch (Exception failed) {
            fleet.record.line("script", "could not run: " + failed);
            failed.printStackTrace();
        }
        System.exit(result);
    }

    Daemon daemon(String name, String zone, String service) throws IOException {
        Store.Door door = store.door();
        doors.add(door);
        Daemon daemon = new Daemon(name, zone, service, door.port(), root, directory, record);
        daemons.add(daemon);
        return daemon;
    }

    /** Returns the store's entry point for {@code daemon}. */
    Store.Door doorOf(Daemon daemon) {
        return doors.get(daemons.indexOf(daemon));
    }

    AppServer server(String id, String service, Daemon machine, int workMs) throws IOException {
        AppServer server = new AppServer(id, service, machine, workMs, record);
        servers.add(server);
        return server;
    }

    /** Starts all daemons and waits until they are ready; returns whether they are. */
    boolean startAll() throws Exception {
        for (Daemon daemon : daemons) daemon.start();
        boolean ready = true;
        for (Daemon daemon : daemons) ready &= daemon.awaitReady(20_000);
        return ready;
    }

    /** Sleeps until {@code atMs} of the script's time. */
    static void sleepUntil(long atMs) {
        long leftMs = atMs - Record.nowMs();
        if (leftMs > 0) AppServer.sleep(leftMs);
    }

    /** Returns one route of a configuration. */
    static String route(String name, String prefix, String kind, String service, double timeoutS, boolean open) {
        return "{\"name\":\"" + name + "\",\"host\":\"hulo84.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeoutS\":"
            + timeoutS + ",\"targetLatencyS\":1.5,\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2,\"public\":" + open + "}";
    }

    /** Returns a configuration with one tenant that holds {@code keys}. */
    static String config(int version, List<String> routes, List<String> services, List<String> keys) {
        List<String> listed = new ArrayList<>();
        for (String service : services) {
            listed.add("{\"name\":\"" + service + "\",\"healthPath\":\"/health\",\"maxConnections\":724,\"protocol\":\"h1\",\"tls\":false}");
        }
        List<String> quoted = new ArrayList<>();
        for (String key : keys) quoted.add("\"" + key + "\"");
        return "{\"version\":\"" + String.format("%08x", version) + "\",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", listed) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
            + "\"idleTimeoutS\":15},\"tenants\":[{\"name\":\"pulo780\",\"apiKeys\":[" + String.join(",", quoted)
            + "],\"priority\":1,\"ratePerS\":0,\"burst\":0}]}";
    }

    private void endProcesses() {
        for (Daemon daemon : daemons) {
            try {
                daemon.close();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (AppServer server : servers) server.close();
        for (Store.Door door : doors) door.server.close();
        if (System.getenv("REVIEW_KEEP") != null) {
            System.err.println("logs in " + directory);
        } else {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
            }
        }
        record.close();
    }
}
