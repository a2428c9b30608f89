package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An engine: one request at a time on a connection, as PROTOCOL.md describes it. */
public class Engine implements AutoCloseable {
    /** A request that the engine began to run. */
    public record Run(String id, long millis, Http.Message request) {}

    protected final Record record;
    public final String name;
    public final String service;
    private final long workMillis;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    public final List<Run> runs = new CopyOnWriteArrayList<>();

    public Engine(Record record, String name, String service, long workMillis) throws IOException {
        this.record = record;
        this.name = name;
        this.service = service;
        this.workMillis = workMillis;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Threads.start(name, this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the entry of the engine in the store. */
    public String entry(String state, int seq, String version) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"a\",\"version\":\"" + version
                + "\",\"slots\":64,\"state\":\"" + state + "\",\"warmupRemainingMs\":0,\"seq\":" + seq
                + ",\"born\":1790000000000}";
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Threads.start(name + "-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            Http.Message request;
            while ((request = Http.read(socket.getInputStream())) != null && request.complete()) {
                if (request.start().startsWith("GET /health")) {
                    Http.answer(socket, 200, "Instance-Id: " + name + "\r\n", new byte[0]);
                    continue;
                }
                String id = request.header("Attempt-Id");
                if (!request.header("Expected-Instance").equals(name)) {
                    Http.answer(socket, 421, "Instance-Id: " + name + "\r\nAttempt-Id: " + id + "\r\n", new byte[0]);
                    continue;
                }
                runs.add(new Run(id, record.millis(), request));
                record.line(name + " runs " + id);
                if (!answer(socket, request, id)) {
                    return;
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers a request, on the route /draft/ with a stream; returns whether the connection is kept. */
    protected boolean answer(Socket socket, Http.Message request, String id) throws Exception {
        Threads.sleep(workMillis);
        if (request.start().contains(" /draft/")) {
            stream(socket, request, id, 10, 30);
            return !request.header("Connection").equalsIgnoreCase("close");
        }
        Http.answer(socket, 200, headers(id), ("done by " + name + " for " + id).getBytes(StandardCharsets.ISO_8859_1));
        return !request.header("Connection").equalsIgnoreCase("close");
    }

    /** Sends a stream of events, after the last one that the client has. */
    protected void stream(Socket socket, Http.Message request, String id, int events, long gapMillis) throws Exception {
        write(socket, "HTTP/1.1 200 OK\r\n" + headers(id)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Threads.sleep(gapMillis);
        }
        write(socket, "0\r\n\r\n");
    }

    protected static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    protected String headers(String id) {
        return "Attempt-Id: " + id + "\r\nResponse-Seal: seal." + name + "." + id + "\r\n";
    }

    /** The engine exits: it accepts nothing more, and its connections end. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
