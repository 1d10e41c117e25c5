import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages over blocking sockets. */
final class Http {
    /** Head and body of a request or a response; field names are case-insensitive. */
    static final class Message {
        String startLine = "";
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads one message with its whole body; returns null at the end of the stream. A response without a length ends with its connection. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) return null;
        message.startLine = line;
        while (!(line = need(line(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.fields.get("Transfer-Encoding"))) message.body = chunks(in);
        else if (message.fields.containsKey("Content-Length")) message.body = exactly(in, Integer.parseInt(message.fields.get("Content-Length")));
        else if (response) message.body = in.readAllBytes();
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
            if (size == 0) break;
            body.write(exactly(in, size));
            line(in);
        }
        while (!need(line(in)).isEmpty()) {
            // Trailers are not used.
        }
        return body.toByteArray();
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("body ended after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String need(String line) throws IOException {
        if (line == null) throw new EOFException("message ended early");
        return line;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') return line.toString().stripTrailing();
            line.append((char) c);
        }
        return line.length() == 0 ? null : line.toString();
    }

    static void write(OutputStream out, String startLine, Map<String, String> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Sends one request on a new connection and reads the response; throws an exception if none arrives within [timeoutMs]. */
    static Message call(InetSocketAddress to, String method, String path, Map<String, String> fields, byte[] body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, Math.min(timeoutMs, 1_000));
            socket.setSoTimeout(timeoutMs);
            Map<String, String> all = new LinkedHashMap<>();
            if (!fields.containsKey("Host")) all.put("Host", to.getHostString() + ":" + to.getPort());
            all.putAll(fields);
            all.put("Connection", "close");
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body);
            Message response = read(new BufferedInputStream(socket.getInputStream()), true);
            if (response == null) throw new EOFException("connection closed without a response");
            return response;
        }
    }
}
