import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine as PROTOCOL.md describes it; the case says what it does with a request that it runs. Thread-safe. */
final class Engine implements AutoCloseable {
    /** Runs a request and writes its answer. */
    interface Work {
        void run(Engine engine, Message request, OutputStream output) throws IOException, InterruptedException;
    }

    final String id;
    private final Work work;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Engine(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Kit.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                Kit.start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            for (Message request = Message.read(input); request != null; request = Message.read(input)) {
                answer(request, socket.getOutputStream());
                if (request.header("Connection").equalsIgnoreCase("close")) {
                    return;
                }
            }
        } catch (IOException closed) {
            // The caller has gone, or the engine has crashed.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Message request, OutputStream output) throws IOException, InterruptedException {
        String expected = request.header("Expected-Instance");
        if (request.path().equals("/health")) {
            write(output, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (!expected.isEmpty() && !expected.equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else {
            work.run(this, request, output);
        }
    }

    /** Writes an answer with the id of its request and the engine's seal. */
    void answer(OutputStream output, Message request, String status, String body) throws IOException {
        byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        write(output, head(request, status) + "Content-Length: " + bytes.length + "\r\n\r\n");
        output.write(bytes);
        output.flush();
    }

    String head(Message request, String status) {
        return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Seal: seal." + id
                + "\r\n";
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(Message.BYTES));
        output.flush();
    }

    /** Crashes: the port is closed and all connections are reset. */
    void crash() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
