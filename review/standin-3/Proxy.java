import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TCP proxy on a loopback address. It adds the delay of a link, and its open connections can go silent without a reset, while new ones
 * work.
 */
final class Proxy {
    private static final class Link {
        volatile boolean silent;
    }

    private final ServerSocket listener = new ServerSocket();
    private final InetSocketAddress target;
    private final int delayMs;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    /** @param delayMs one-way delay of the link. */
    Proxy(InetSocketAddress target, int delayMs) throws IOException {
        this.target = target;
        this.delayMs = delayMs;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 200);
        Threads.start("proxy", this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Passes nothing more on the connections that are open now, and returns their number. */
    int silenceOpen() {
        int count = 0;
        for (Link link : links) {
            if (!link.silent) count++;
            link.silent = true;
        }
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Threads.start("proxy-link", () -> open(near));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void open(Socket near) {
        Link link = new Link();
        links.add(link);
        try {
            byte[] first = awaitHandshake(near);
            if (first == null) {
                close(near);
                return;
            }
            Socket far = new Socket();
            far.connect(target, 1_000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Threads.start("proxy-back", () -> pump(link, far, near));
            Threads.sleep(delayMs);
            far.getOutputStream().write(first);
            pump(link, near, far);
        } catch (IOException unreachable) {
            close(near);
        } finally {
            links.remove(link);
        }
    }

    /**
     * Waits for the round trip in which a connection over the link is established. Returns the bytes that have arrived by then, or null
     * if the caller has closed the connection: it would not have sent them yet.
     */
    private byte[] awaitHandshake(Socket near) throws IOException {
        if (delayMs == 0) return new byte[0];
        Threads.sleep(2L * delayMs);
        ByteArrayOutputStream first = new ByteArrayOutputStream();
        byte[] bytes = new byte[65_536];
        near.setSoTimeout(1);
        try {
            int read;
            while ((read = near.getInputStream().read(bytes)) >= 0) first.write(bytes, 0, read);
            return null;
        } catch (SocketTimeoutException open) {
            near.setSoTimeout(0);
            return first.toByteArray();
        }
    }

    /** Copies bytes until one side closes; a silent link swallows them, also the end. */
    private void pump(Link link, Socket from, Socket to) {
        byte[] bytes = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int read;
            while ((read = in.read(bytes)) >= 0) {
                if (delayMs > 0) Threads.sleep(delayMs);
                if (link.silent) continue;
                out.write(bytes, 0, read);
            }
        } catch (IOException closed) {
            // Ends the link below.
        }
        if (link.silent) return;
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }
}
