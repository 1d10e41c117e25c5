import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, numbers are doubles or longs. */
final class Json {
    private final String text;
    private int at = 0;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String write(Object value) {
        if (value == null) return "null";
        if (value instanceof String s) return quote(s);
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((k, v) -> parts.add(quote(String.valueOf(k)) + ":" + write(v)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            list.forEach(v -> parts.add(write(v)));
            return "[" + String.join(",", parts) + "]";
        }
        return String.valueOf(value);
    }

    private static String quote(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "}],".indexOf(text.charAt(at)) < 0 && !Character.isWhitespace(text.charAt(at))) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        if (word.contains(".") || word.contains("e") || word.contains("E")) return Double.valueOf(word);
        return Long.valueOf(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String key = string();
            space();
            at++;
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
        at++;
        return out.toString();
    }
}
