import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 client and server on loopback sockets, with one thread per connection. */
final class Http {
    static final String HOST = "127.0.0.1";

    private Http() {
    }

    /** Request or response: first line, headers with lower-case names, and the complete body. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() {
            return firstLine.split(" ")[0];
        }

        String uri() {
            return firstLine.split(" ")[1];
        }

        String path() {
            String uri = uri();
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        /** Returns the decoded query parameter {@code name}, or an empty text. */
        String query(String name) {
            int start = uri().indexOf('?');
            if (start < 0) return "";
            for (String pair : uri().substring(start + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Message response(int status, String body) {
        Message message = new Message();
        message.firstLine = "HTTP/1.1 " + status + " X";
        message.headers.put("content-type", "application/json");
        message.body = body.getBytes(StandardCharsets.UTF_8);
        return message;
    }

    /** Reads one message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        if (length != null) message.body = exactly(in, Integer.parseInt(length));
        return message;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body ended early");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("head ended early");
            }
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, Message message) throws IOException {
        StringBuilder head = new StringBuilder(message.firstLine).append("\r\n");
        message.headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("content-length: ").append(message.body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + message.body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(message.body, 0, all, start.length, message.body.length);
        out.write(all);
        out.flush();
    }

    /** Handles requests; a null result means that no answer is sent. */
    interface Handler {
        Message handle(Message request, Server.Connection connection) throws Exception;
    }

    /** HTTP server on one port. */
    static final class Server implements AutoCloseable {
        /** One connection; once silent, it stays open and delivers nothing more. */
        static final class Connection {
            private final Socket socket;
            volatile boolean silent;

            Connection(Socket socket) {
                this.socket = socket;
            }
        }

        private final ServerSocket listener;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(HOST), port), 512);
            daemonThread(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Makes all open connections silent; new ones work. Returns their number. */
        int silenceOpen() {
            int count = 0;
            for (Connection connection : connections) {
                connection.silent = true;
                count++;
            }
            return count;
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Connection connection : connections) connection.socket.close();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Connection connection = new Connection(listener.accept());
                    connections.add(connection);
                    daemonThread(() -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try (Socket socket = connection.socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                for (Message request = read(in); request != null; request = read(in)) {
                    if (connection.silent) continue;
                    Message response = handler.handle(request, connection);
                    if (response != null && !connection.silent) write(socket.getOutputStream(), response);
                }
            } catch (Exception ended) {
                // The peer closed the connection.
            } finally {
                connections.remove(connection);
            }
        }
    }

    /** Sends one request on a new connection and returns the response; throws if there is none within {@code timeoutMs}. */
    static Message call(int port, Message request, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), Math.min(1_000, timeoutMs));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            write(socket.getOutputStream(), request);
            Message response = read(new BufferedInputStream(socket.getInputStream()));
            if (response == null) throw new EOFException("connection closed without an answer");
            return response;
        }
    }

    static Message request(String method, String uri, String... headers) {
        Message message = new Message();
        message.firstLine = method + " " + uri + " HTTP/1.1";
        for (int i = 0; i < headers.length; i += 2) message.headers.put(headers[i], headers[i + 1]);
        return message;
    }

    static Thread daemonThread(Runnable action) {
        Thread thread = new Thread(null, action, "review", 262_144);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
