import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fills in the template of a role as DEPLOY.md says: values, {@code |json}, and sections over plain tables.
 *
 * The bounds are a plain table, so {@code {{.}}} in a section over them is a bound's value and {@code {{@}}} its name; the verb
 * wire of the users' bench prints the settings file of this project so.
 */
final class Template {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([^}#^/|]+)(\\|json)?\\}\\}");

    private Template() {}

    static String render(String text, Map<String, Object> fields) {
        Matcher section = SECTION.matcher(text);
        StringBuilder out = new StringBuilder();
        while (section.find()) section.appendReplacement(out, Matcher.quoteReplacement(entries(section.group(2), find(fields, section.group(1)))));
        section.appendTail(out);
        return values(out.toString(), fields);
    }

    private static String entries(String body, Object collection) {
        StringBuilder out = new StringBuilder();
        if (collection instanceof Map<?, ?> map) {
            int left = map.size();
            for (Map.Entry<?, ?> entry : map.entrySet()) out.append(entry(body, entry.getKey(), entry.getValue(), --left == 0));
        } else if (collection instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) out.append(entry(body, i, list.get(i), i == list.size() - 1));
        }
        return out.toString();
    }

    private static String entry(String body, Object key, Object value, boolean last) {
        return body.replace("{{.}}", String.valueOf(value)).replace("{{@}}", String.valueOf(key)).replace("{{,}}", last ? "" : ",");
    }

    private static String values(String text, Map<String, Object> fields) {
        Matcher value = VALUE.matcher(text);
        StringBuilder out = new StringBuilder();
        while (value.find()) {
            Object found = find(fields, value.group(1));
            String rendered = value.group(2) != null ? Json.write(found) : found == null ? "" : String.valueOf(found);
            value.appendReplacement(out, Matcher.quoteReplacement(rendered));
        }
        value.appendTail(out);
        return out.toString();
    }

    private static Object find(Object from, String path) {
        Object at = from;
        for (String name : path.split("\\.")) {
            if (at instanceof Map<?, ?> map) at = map.get(name);
            else if (at instanceof List<?> list) at = list.get(Integer.parseInt(name));
            else return null;
        }
        return at;
    }
}
