import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** In-memory table service of the platform with one port for each daemon, so that it can turn single machines away. */
final class Store {
    /** How the store treats the calls that arrive at one port. */
    enum Mode { SERVE, TURN_AWAY }

    /** Entry point of one machine. */
    final class Door {
        volatile Mode mode = Mode.SERVE;

        /** Number of watches that are open at this door. */
        final AtomicInteger watches = new AtomicInteger();
        final Http.Server server;

        Door() throws IOException {
            server = new Http.Server(0, (request, connection) -> {
                if (mode == Mode.TURN_AWAY) return Http.response(503, "{}");
                return handle(request, this);
            });
        }

        int port() {
            return server.port();
        }
    }

    private record Row(String table, String part, String key, String value, long version, boolean removed) {
    }

    private static final Pattern TEXT = Pattern.compile("\"(table|part|key|value)\"\\s*:\\s*\"([^\"]*)\"");
    private static final long TRANSACTION_MS = 5;

    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Record record;
    private long version = 0;

    Store(Record record) {
        this.record = record;
    }

    Door door() throws IOException {
        return new Door();
    }

    /** Writes a row of the operator; returns the time of the acknowledgement in milliseconds. */
    long operatorWrites(String key, String json) {
        put(new Row("op", "", key, encode(json), 0, false));
        return Record.nowMs();
    }

    private synchronized long put(Row row) {
        version++;
        Row stored = new Row(row.table, row.part, row.key, row.value, version, row.removed);
        String name = row.table + "\u0000" + row.part + "\u0000" + row.key;
        if (row.removed) rows.remove(name);
        else rows.put(name, stored);
        history.add(stored);
        notifyAll();
        return version;
    }

    private Http.Message handle(Http.Message request, Door door) throws Exception {
        switch (request.path()) {
            case "/rows-get":
                return get(request);
            case "/rows-feed":
                door.watches.incrementAndGet();
                try {
                    return feed(request, door);
                } finally {
                    door.watches.decrementAndGet();
                }
            case "/rows-tx":
                return transact(request);
            default:
                return Http.response(404, "{}");
        }
    }

    private synchronized Http.Message get(Http.Message request) {
        int limit = request.query("limit").isEmpty() ? 500 : Integer.parseInt(request.query("limit"));
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            boolean inRange = row.key.compareTo(request.query("from")) >= 0
                && (request.query("to").isEmpty() || row.key.compareTo(request.query("to")) < 0);
            if (row.table.equals(request.query("table")) && row.part.equals(request.query("part")) && inRange) found.add(row);
        }
        return answer(found.subList(0, Math.min(limit, found.size())), found.size() > limit);
    }

    private synchronized Http.Message feed(Http.Message request, Door door) throws InterruptedException {
        long after = Long.parseLong(request.query("after"));
        long untilMs = Record.nowMs() + Long.parseLong(request.query("waitMs"));
        while (true) {
            if (door.mode == Mode.TURN_AWAY) return Http.response(503, "{}");
            List<Row> changed = new ArrayList<>();
            for (Row row : history) if (row.table.equals(request.query("table")) && row.version > after) changed.add(row);
            long leftMs = untilMs - Record.nowMs();
            if (!changed.isEmpty() || leftMs <= 0) return answer(changed, false);
            wait(Math.min(leftMs, 50));
        }
    }

    /** Applies a transaction without conditions; the daemons of the mesh send no others. */
    private Http.Message transact(Http.Message request) throws InterruptedException {
        Thread.sleep(TRANSACTION_MS);
        String body = request.text();
        record.line("store", "transaction " + body);
        long last = 0;
        for (String entry : entries(body, "setKeys")) last = put(row(entry, false));
        for (String entry : entries(body, "remove")) last = put(row(entry, true));
        if (!entries(body, "expect").isEmpty()) throw new IllegalStateException("conditions are not supported");
        return Http.response(200, "{\"ver\":" + last + ",\"nowS\":" + Record.nowMs() / 1000.0 + "}");
    }

    private static Row row(String entry, boolean removed) {
        String[] texts = {"", "", "", ""};
        Matcher matcher = TEXT.matcher(entry);
        while (matcher.find()) texts[List.of("table", "part", "key", "value").indexOf(matcher.group(1))] = matcher.group(2);
        return new Row(texts[0], texts[1], texts[2], texts[3], 0, removed);
    }

    /** Returns the flat objects in the list {@code name} of a transaction. */
    private static List<String> entries(String body, String name) {
        List<String> entries = new ArrayList<>();
        int start = body.indexOf("\"" + name + "\"");
        if (start < 0) return entries;
        String list = body.substring(body.indexOf('[', start), body.indexOf(']', start));
        Matcher matcher = Pattern.compile("\\{[^}]*\\}").matcher(list);
        while (matcher.find()) entries.add(matcher.group());
        return entries;
    }

    private synchronized Http.Message answer(List<Row> found, boolean hasMore) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : found) {
            if (text.charAt(text.length() - 1) != '[') text.append(',');
            text.append("{\"table\":\"").append(row.table).append("\",\"part\":\"").append(row.part).append("\",\"key\":\"")
                .append(row.key).append("\",\"ver\":").append(row.version);
            text.append(row.removed ? ",\"tombstone\":true}" : ",\"value\":\"" + row.value + "\"}");
        }
        text.append("],\"hasMore\":").append(hasMore).append(",\"ver\":").append(version);
        return Http.response(200, text.append(",\"nowS\":").append(Record.nowMs() / 1000.0).append('}').toString());
    }

    /** Returns the decoded value of a row, or null. */
    synchronized String value(String table, String key) {
        Row row = rows.get(table + "\u0000\u0000" + key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
