package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it: lists, watches, conditional writes. One thread a connection. */
public final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Record record;
    private final ServerSocket server;
    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<String, Long> watches = new HashMap<>();
    private long revision = 100;
    private long silencedNanos = Long.MIN_VALUE;

    private record Change(long revision, String kind, boolean deleted, ObjectNode object) {}

    private static final class Waiting {
        final String kind;
        final Socket socket;
        boolean cut;

        Waiting(String kind, Socket socket) {
            this.kind = kind;
            this.socket = socket;
        }
    }

    public Store(Record record) throws IOException {
        this.record = record;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        long openedNanos = System.nanoTime();
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream());
                if (request != null && isSilent(openedNanos)) {
                    continue;
                }
                if (request == null || !handle(request, socket, openedNanos)) {
                    return;
                }
            }
        }
    }

    /** Makes all open connections silent for good, without a reset; new ones work. */
    public synchronized void silenceOpenConnections() {
        silencedNanos = System.nanoTime();
        notifyAll();
    }

    private synchronized boolean isSilent(long openedNanos) {
        return silencedNanos != Long.MIN_VALUE && openedNanos - silencedNanos <= 0;
    }

    /** Waits until a watch of a kind begins. */
    public synchronized void awaitNewWatch(String kind) throws InterruptedException {
        long before = watches.getOrDefault(kind, 0L);
        while (watches.getOrDefault(kind, 0L) == before) {
            wait(100);
        }
    }

    /** Writes an object as the operator or an engine does; returns when the store acknowledges it. */
    public synchronized long put(String kind, String name, String specification) {
        try {
            JsonNode status = objects.containsKey(key(kind, name)) ? objects.get(key(kind, name)).get("status") : null;
            return write(kind, name, MAPPER.readTree(specification), status);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    public synchronized long remove(String kind, String name) {
        ObjectNode removed = objects.remove(key(kind, name));
        revision++;
        changed(new Change(revision, kind, true, removed));
        return revision;
    }

    /** Returns an object; null if there is none. */
    public synchronized ObjectNode get(String kind, String name) {
        return objects.get(key(kind, name));
    }

    /** Cuts off the watches of a kind that wait now; returns how many. */
    public synchronized int cutWatches(String kind) {
        int cut = 0;
        for (Waiting call : waiting) {
            if (call.kind.equals(kind) && !call.cut) {
                call.cut = true;
                cut++;
            }
        }
        notifyAll();
        return cut;
    }

    public synchronized boolean isWatched(String kind) {
        return waiting.stream().anyMatch(call -> call.kind.equals(kind) && !call.cut);
    }

    private synchronized long write(String kind, String name, JsonNode specification, JsonNode status) {
        ObjectNode before = objects.get(key(kind, name));
        if (before != null && before.get("specification").equals(specification)
                && (status == null ? before.get("status").isNull() : status.equals(before.get("status")))) {
            return before.path("metadata").path("revision").asLong();
        }
        revision++;
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode metadata = object.putObject("metadata").put("name", name).put("revision", revision);
        metadata.put("created", before == null ? revision : before.path("metadata").path("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deletionPending", false);
        object.set("specification", specification);
        object.set("status", status);
        objects.put(key(kind, name), object);
        changed(new Change(revision, kind, false, object));
        return revision;
    }

    private void changed(Change change) {
        history.add(change);
        notifyAll();
    }

    private boolean handle(Http.Message request, Socket socket, long openedNanos) throws Exception {
        String[] first = request.start().split(" ");
        String[] target = first[1].split("\\?", 2);
        String[] path = target[0].split("/");
        String query = target.length > 1 ? target[1] : "";
        if (first[0].equals("GET") && !parameter(query, "watch").isEmpty()) {
            long since = Long.parseLong(parameter(query, "watch"));
            return watch(socket, openedNanos, path[2], since, Long.parseLong(parameter(query, "waitMs")));
        }
        int status = 200;
        JsonNode answer;
        synchronized (this) {
            String key = path.length > 3 ? key(path[2], path[3]) : "";
            ObjectNode current = objects.get(key);
            if (first[0].equals("GET") && path.length > 3) {
                status = current == null ? 404 : 200;
                answer = current == null ? MAPPER.createObjectNode() : current;
            } else if (first[0].equals("GET")) {
                ObjectNode list = MAPPER.createObjectNode();
                ArrayNode items = list.putArray("items");
                objects.forEach((name, object) -> {
                    if (name.startsWith(path[2] + "/")) {
                        items.add(object);
                    }
                });
                answer = list.put("hasMore", false).put("at", revision);
            } else if (first[0].equals("DELETE")) {
                status = current == null ? 404 : 200;
                if (current != null) {
                    remove(path[2], path[3]);
                }
                answer = MAPPER.createObjectNode();
            } else {
                JsonNode body = MAPPER.readTree(request.body());
                JsonNode expected = body.path("metadata").path("revision");
                if (first[0].equals("POST")) {
                    String name = body.path("metadata").path("name").asText();
                    ObjectNode there = objects.get(key(path[2], name));
                    status = there == null ? 200 : 409;
                    if (there == null) {
                        write(path[2], name, body.get("specification"), null);
                        there = objects.get(key(path[2], name));
                    }
                    answer = there;
                } else if (current == null) {
                    status = 404;
                    answer = MAPPER.createObjectNode();
                } else if (!expected.isMissingNode()
                        && expected.asLong() != current.path("metadata").path("revision").asLong()) {
                    status = 409;
                    answer = current;
                } else {
                    boolean isStatus = path.length > 4;
                    write(path[2], path[3], isStatus ? current.get("specification") : body.get("specification"),
                            isStatus ? body.get("status") : current.get("status"));
                    record.line("store: " + first[0] + " " + first[1] + " " + (isStatus ? body.get("status") : ""));
                    answer = objects.get(key);
                }
            }
        }
        Http.answer(socket, status, "Content-Type: application/json\r\n", answer.toString().getBytes("UTF-8"));
        return true;
    }

    private boolean watch(Socket socket, long openedNanos, String kind, long since, long waitMillis)
            throws Exception {
        ObjectNode answer = MAPPER.createObjectNode();
        synchronized (this) {
            Waiting call = new Waiting(kind, socket);
            long end = System.nanoTime() + waitMillis * 1_000_000;
            waiting.add(call);
            watches.merge(kind, 1L, Long::sum);
            notifyAll();
            try {
                long left = waitMillis;
                while (!call.cut && left > 0 && !hasChanges(kind, since)) {
                    wait(Math.max(1, left));
                    left = (end - System.nanoTime()) / 1_000_000;
                }
            } finally {
                waiting.remove(call);
            }
            if (call.cut) {
                return false;
            }
            if (isSilent(openedNanos)) {
                return true;
            }
            ArrayNode events = answer.putArray("events");
            for (Change change : history) {
                if (change.revision() > since && change.kind().equals(kind)) {
                    events.addObject().put("deleted", change.deleted()).set("object", change.object());
                }
            }
            answer.put("at", revision);
        }
        Http.answer(socket, 200, "Content-Type: application/json\r\n", answer.toString().getBytes("UTF-8"));
        return true;
    }

    private boolean hasChanges(String kind, long since) {
        return history.stream().anyMatch(change -> change.revision() > since && change.kind().equals(kind));
    }

    private static String parameter(String query, String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return "";
    }

    private static String key(String kind, String name) {
        return kind + "/" + name;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
