import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: rows, transactions and the feed. Single part, whole history. */
final class Store {
    private record Row(String table, String key, String value, long version) {}

    private static final class Image {
        final TreeMap<String, Row> rows = new TreeMap<>();
        final List<Row> history = new ArrayList<>();
        long version;

        Image copy() {
            Image copy = new Image();
            copy.rows.putAll(rows);
            copy.history.addAll(history);
            copy.version = version;
            return copy;
        }
    }

    private final long startedNs = System.nanoTime();
    private final ServerSocket listener;
    private final Recorder recorder;
    private Image image = new Image();
    private Image backup = new Image();
    private long era = 1;
    private boolean away;

    /** Time of the latest start of a feed call on the table of the operator, in milliseconds. */
    volatile long feedStartedAtMs;

    Store(Recorder recorder, int port) throws IOException {
        this.recorder = recorder;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), 200);
        Threads.start("store", this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Keeps a copy of all rows, which [restore] returns to. */
    synchronized void backUp() {
        backup = image.copy();
        recorder.write("store: copy taken at version " + image.version);
    }

    /** Loses what was written since the copy was taken. */
    synchronized void restore() {
        long before = image.version;
        image = backup.copy();
        era++;
        recorder.write("store: restored from version " + before + " to its copy of version " + image.version + ", Store-Era " + era);
        notifyAll();
    }

    /** While away, the store accepts connections and does not answer on them. */
    synchronized void setAway(boolean next) {
        away = next;
        recorder.write("store: " + (next ? "away" : "back"));
    }

    /** Writes a row as the operator and returns its version. */
    synchronized long put(String table, String key, String value) {
        long version = ++image.version;
        set(new Row(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), version));
        notifyAll();
        return version;
    }

    synchronized boolean has(String table, String key) {
        return image.rows.containsKey(table + "\n" + key);
    }

    synchronized boolean isAway() {
        return away;
    }

    private void set(Row row) {
        String name = row.table + "\n" + row.key;
        if (row.value == null) image.rows.remove(name);
        else image.rows.put(name, row);
        image.history.add(row);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Threads.start("store-connection", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request;
            while ((request = Http.read(in, false)) != null) {
                boolean lost = isAway();
                Http.Message response = lost ? null : answer(request);
                // A connection that was open while the store was away brings no answers any more.
                if (response == null || lost || isAway()) {
                    in.transferTo(java.io.OutputStream.nullOutputStream());
                    return;
                }
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("Content-Type", "application/json");
                fields.put("Store-Era", Long.toString(era));
                Http.write(socket.getOutputStream(), response.startLine, fields, response.body);
            }
        } catch (IOException closed) {
            // The caller has left.
        }
    }

    private Http.Message answer(Http.Message request) {
        String target = request.startLine.split(" ")[1];
        String path = target.replaceAll("\\?.*", "");
        Map<String, String> query = query(target);
        return switch (path) {
            case "/rows-tx" -> transact(Json.object(request.text()));
            case "/rows-get" -> get(query);
            case "/rows-feed" -> feed(query);
            default -> response(404, Map.of());
        };
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Message transact(Map<String, Object> call) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.getOrDefault("expect", List.of());
        List<Map<String, Object>> current = new ArrayList<>();
        boolean met = true;
        for (Map<String, Object> row : expected) {
            Row known = image.rows.get(row.get("table") + "\n" + row.get("key"));
            met &= (known == null ? 0 : known.version) == ((Number) row.get("ver")).longValue();
            if (known != null) current.add(json(known));
        }
        if (!met) return response(412, body(current, false));
        image.version++;
        for (Map<String, Object> row : (List<Map<String, Object>>) call.getOrDefault("setKeys", List.of())) {
            set(new Row((String) row.get("table"), (String) row.get("key"), (String) row.get("value"), image.version));
            recorder.write("store: row " + row.get("table") + "/" + row.get("key") + " written as version " + image.version);
        }
        for (Map<String, Object> row : (List<Map<String, Object>>) call.getOrDefault("remove", List.of())) {
            set(new Row((String) row.get("table"), (String) row.get("key"), null, image.version));
        }
        notifyAll();
        return response(200, body(List.of(), false));
    }

    private synchronized Http.Message get(Map<String, String> query) {
        String table = query.get("table");
        String from = table + "\n" + query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Map<String, Object>> found = new ArrayList<>();
        boolean more = false;
        for (Row row : image.rows.tailMap(from, true).values()) {
            if (!row.table.equals(table)) break;
            if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) break;
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(json(row));
        }
        return response(200, body(found, more));
    }

    private synchronized Http.Message feed(Map<String, String> query) {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        if (table.equals("op")) feedStartedAtMs = System.currentTimeMillis();
        long eraAtStart = era;
        long endNs = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        if (after > image.version) return response(410, Map.of());
        while (true) {
            if (era != eraAtStart || away) return null;
            Map<String, Row> latest = new LinkedHashMap<>();
            for (Row row : image.history) {
                if (row.table.equals(table) && row.version > after) {
                    latest.remove(row.key);
                    latest.put(row.key, row);
                }
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!latest.isEmpty() || leftMs <= 0) return response(200, body(latest.values().stream().map(this::json).toList(), false));
            try {
                wait(leftMs);
            } catch (InterruptedException stopped) {
                return null;
            }
        }
    }

    private Map<String, Object> json(Row row) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("table", row.table);
        json.put("part", "");
        json.put("key", row.key);
        if (row.value == null) json.put("tombstone", true);
        else json.put("value", row.value);
        json.put("ver", row.version);
        return json;
    }

    private Map<String, Object> body(List<Map<String, Object>> rows, boolean more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", rows);
        body.put("hasMore", more);
        body.put("ver", image.version);
        body.put("nowS", (System.nanoTime() - startedNs) / 1e9);
        return body;
    }

    private static Http.Message response(int status, Map<String, Object> body) {
        Http.Message response = new Http.Message();
        response.startLine = "HTTP/1.1 " + status + " Status";
        response.body = Json.write(body).getBytes(StandardCharsets.UTF_8);
        return response;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String pair : target.substring(mark + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }
}
