import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) out.append('{');
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(out, entry.getKey());
                out.append(':');
                write(out, entry.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "[";
            if (list.isEmpty()) out.append('[');
            for (Object entry : list) {
                out.append(separator);
                write(out, entry);
                separator = ",";
            }
            out.append(']');
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
        space();
        char c = text.charAt(at);
        if (c == '{') return readObject();
        if (c == '[') return readList();
        if (c == '"') return readString();
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.matches("-?\\d+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String key = readString();
            space();
            expect(':');
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> readList() {
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

    private String readString() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                if (escaped == 'u') {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                } else {
                    int known = "bfnrt".indexOf(escaped);
                    out.append(known < 0 ? escaped : "\b\f\n\r\t".charAt(known));
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private void expect(char c) {
        if (text.charAt(at) != c) throw new IllegalArgumentException("expected " + c + " at " + at);
        at++;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
