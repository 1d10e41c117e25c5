import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** HTTP/1.1 over plain sockets: a server with a thread for each connection, and a client. */
final class Http {
    private Http() {}

    /** A request or a response; header names are in lower case. {@code complete} is false if the connection ended within the body. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return firstLine.startsWith("HTTP/") ? Integer.parseInt(firstLine.split(" ")[1]) : 0;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Handles one request; returns false if the connection is to be closed. */
        boolean handle(Message request, Socket socket) throws Exception;
    }

    static ServerSocket listen(String host, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        thread(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = server.accept();
                } catch (IOException end) {
                    return;
                }
                thread(() -> serve(socket, handler));
            }
        });
        return server;
    }

    private static void serve(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(in, null);
                if (request == null || !request.complete || !handler.handle(request, socket)) return;
            }
        } catch (Exception end) {
            // The peer has closed the connection.
        }
    }

    /** Paces the reading of a body. */
    interface Pace {
        void onRead(int totalBytes) throws Exception;
    }

    /** Reads one message; returns null if the connection ends before it. */
    static Message read(InputStream in, Pace pace) throws Exception {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.firstLine = line;
        while (true) {
            String header = line(in);
            if (header == null) {
                message.complete = false;
                return message;
            }
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
        String length = message.headers.get("content-length");
        if (length == null) return message;
        int size = Integer.parseInt(length);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[16384];
        try {
            while (body.size() < size) {
                int n = in.read(buffer, 0, Math.min(buffer.length, size - body.size()));
                if (n < 0) break;
                body.write(buffer, 0, n);
                if (pace != null) pace.onRead(body.size());
            }
        } catch (IOException reset) {
            // The body stays incomplete.
        }
        message.body = body.toByteArray();
        message.complete = body.size() == size;
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') return out.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            out.write(c);
        }
    }

    static byte[] message(String firstLine, Map<String, String> headers, byte[] body) {
        List<String> lines = new ArrayList<>();
        lines.add(firstLine);
        headers.forEach((k, v) -> lines.add(k + ": " + v));
        lines.add("Content-Length: " + body.length);
        byte[] head = (String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static void respond(Socket socket, int status, Map<String, String> headers, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(message("HTTP/1.1 " + status + " Status", headers, body));
        out.flush();
    }

    /** Sends one request on a new connection and reads the response; null if there is none within {@code timeoutMs}. */
    static Message call(String address, String firstLine, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(address), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(message(firstLine, headers, body));
            socket.getOutputStream().flush();
            return read(new java.io.BufferedInputStream(socket.getInputStream()), null);
        } catch (Exception none) {
            return null;
        }
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
