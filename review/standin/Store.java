import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows, transactions and the feed, as PROTOCOL.md describes them; parts other than "" are not used here. */
final class Store {
    private record Name(String table, String part, String key) implements Comparable<Name> {
        public int compareTo(Name other) {
            int byTable = table.compareTo(other.table);
            if (byTable != 0) return byTable;
            int byPart = part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private final TreeMap<Name, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long version = 0;

    final String address;

    Store(String address) throws Exception {
        this.address = address;
        Http.listen(address.substring(0, address.lastIndexOf(':')), Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)), this::handle);
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String value) {
        set(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++version);
        notifyAll();
    }

    /** Keys of the rows of {@code table} in ascending order. */
    synchronized List<String> keys(String table) {
        List<String> keys = new ArrayList<>();
        rows.keySet().forEach(name -> {
            if (name.table().equals(table)) keys.add(name.key());
        });
        return keys;
    }

    private boolean handle(Http.Message request, Socket socket) throws Exception {
        String path = request.target().split("\\?")[0];
        Map<String, String> query = query(request.target());
        switch (path) {
            case "/rows-tx" -> transact(request, socket);
            case "/rows-get" -> get(query, socket);
            case "/rows-feed" -> feed(query, socket);
            default -> Http.respond(socket, 404, Map.of(), new byte[0]);
        }
        return true;
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Message request, Socket socket) throws Exception {
        Thread.sleep(5);
        Map<String, Object> body = (Map<String, Object>) Json.parse(request.text());
        int status = 200;
        String answer;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            boolean holds = true;
            for (Object entry : (List<Object>) body.getOrDefault("expect", List.of())) {
                Map<String, Object> e = (Map<String, Object>) entry;
                Map<String, Object> row = rows.get(nameOf(e));
                long ver = row == null ? 0 : ((Number) row.get("ver")).longValue();
                if (row != null) current.add(row);
                if (ver != ((Number) e.get("ver")).longValue()) holds = false;
            }
            if (!holds) {
                status = 412;
                answer = answer(current, false);
            } else {
                version++;
                for (Object entry : (List<Object>) body.getOrDefault("setKeys", List.of())) {
                    Map<String, Object> e = (Map<String, Object>) entry;
                    Name name = nameOf(e);
                    set(name.table(), name.part(), name.key(), (String) e.get("value"), version);
                }
                for (Object entry : (List<Object>) body.getOrDefault("remove", List.of())) {
                    Name name = nameOf((Map<String, Object>) entry);
                    if (rows.remove(name) == null) continue;
                    Map<String, Object> row = row(name.table(), name.part(), name.key(), "", version);
                    row.put("tombstone", true);
                    history.add(row);
                }
                notifyAll();
                answer = answer(List.of(), false);
            }
        }
        send(socket, status, answer);
    }

    private void get(Map<String, String> query, Socket socket) throws Exception {
        String answer;
        synchronized (this) {
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            String to = query.getOrDefault("to", "");
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Map.Entry<Name, Map<String, Object>> row : rows.entrySet()) {
                Name name = row.getKey();
                boolean fits = name.table().equals(query.get("table")) && name.part().equals(query.getOrDefault("part", ""))
                    && name.key().compareTo(query.getOrDefault("from", "")) >= 0 && (to.isEmpty() || name.key().compareTo(to) < 0);
                if (!fits) continue;
                if (found.size() == Math.min(limit, 500)) more = true;
                else found.add(row.getValue());
            }
            answer = answer(found, more);
        }
        send(socket, 200, answer);
    }

    private void feed(Map<String, String> query, Socket socket) throws Exception {
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long endMs = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        String answer;
        synchronized (this) {
            List<Object> changed = changed(query.get("table"), after);
            while (changed.isEmpty() && System.currentTimeMillis() < endMs) {
                wait(Math.max(1, endMs - System.currentTimeMillis()));
                changed = changed(query.get("table"), after);
            }
            answer = answer(changed, false);
        }
        send(socket, 200, answer);
    }

    private List<Object> changed(String table, long after) {
        List<Object> changed = new ArrayList<>();
        for (Map<String, Object> row : history) {
            if (row.get("table").equals(table) && (long) row.get("ver") > after) changed.add(row);
        }
        return changed;
    }

    private void set(String table, String part, String key, String value, long ver) {
        Map<String, Object> row = row(table, part, key, value, ver);
        rows.put(new Name(table, part, key), row);
        history.add(row);
    }

    private static Map<String, Object> row(String table, String part, String key, String value, long ver) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("value", value);
        row.put("ver", ver);
        return row;
    }

    private String answer(List<Object> found, boolean more) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("rows", found);
        answer.put("hasMore", more);
        answer.put("ver", version);
        answer.put("nowS", System.nanoTime() / 1e9);
        return Json.write(answer);
    }

    private static void send(Socket socket, int status, String json) throws Exception {
        Http.respond(socket, status, Map.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    private static Name nameOf(Map<String, Object> entry) {
        return new Name((String) entry.get("table"), (String) entry.getOrDefault("part", ""), (String) entry.get("key"));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new LinkedHashMap<>();
        if (!target.contains("?")) return query;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
