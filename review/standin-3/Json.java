import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer; objects are maps, lists are lists and all numbers are doubles or longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object entry : list) {
                out.append(separator);
                write(entry, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        blank();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.matches("-?[0-9]+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        blank();
        while (text.charAt(at) != '}') {
            blank();
            String key = string();
            blank();
            at++;
            map.put(key, value());
            blank();
            if (text.charAt(at) == ',') at++;
            blank();
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        blank();
        while (text.charAt(at) != ']') {
            list.add(value());
            blank();
            if (text.charAt(at) == ',') at++;
            blank();
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
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
