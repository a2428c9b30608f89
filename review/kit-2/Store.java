import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound metadata store of the platform, as PROTOCOL.md describes it: linearizable, loses nothing, never away. */
final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpServer server;
    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    private record Change(long revision, String kind, boolean deleted, ObjectNode object) {}

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object as the operator or an engine does; returning is the acknowledgement. */
    synchronized void put(String kind, String name, JsonNode specification) {
        ObjectNode before = objects.get(kind + "/" + name);
        write(kind, name, specification, before == null ? null : before.get("status"));
    }

    synchronized void remove(String kind, String name) {
        ObjectNode removed = objects.remove(kind + "/" + name);
        if (removed != null) {
            history.add(new Change(++revision, kind, true, removed));
            notifyAll();
        }
    }

    private ObjectNode write(String kind, String name, JsonNode specification, JsonNode status) {
        ObjectNode before = objects.get(kind + "/" + name);
        revision++;
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode metadata = object.putObject("metadata").put("name", name).put("revision", revision);
        metadata.put("created", before == null ? revision : before.at("/metadata/created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deletionPending", false);
        object.set("specification", specification);
        object.set("status", status);
        objects.put(kind + "/" + name, object);
        history.add(new Change(revision, kind, false, object));
        notifyAll();
        return object;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String[] path = exchange.getRequestURI().getPath().split("/");
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            answer(exchange, path, query, body.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(body));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split("&")) {
            query.put(part.split("=")[0], part.substring(part.indexOf('=') + 1));
        }
        return query;
    }

    private void answer(HttpExchange exchange, String[] path, Map<String, String> query, JsonNode body)
            throws IOException, InterruptedException {
        String kind = path[2];
        String key = path.length > 3 ? kind + "/" + path[3] : "";
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (query.containsKey("watch")) {
                    end(exchange, 200, watch(kind, Long.parseLong(query.get("watch")), query.get("waitMs")));
                } else if (key.isEmpty()) {
                    end(exchange, 200, list(kind));
                } else {
                    ObjectNode object = copyOf(key);
                    end(exchange, object == null ? 404 : 200, object);
                }
            }
            case "POST" -> {
                String name = body.at("/metadata/name").asText();
                synchronized (this) {
                    ObjectNode present = objects.get(kind + "/" + name);
                    ObjectNode written =
                            present == null ? write(kind, name, body.get("specification"), null) : present;
                    end(exchange, present == null ? 200 : 409, written);
                }
            }
            case "PUT" -> {
                synchronized (this) {
                    replace(exchange, kind, path, body);
                }
            }
            case "DELETE" -> {
                synchronized (this) {
                    ObjectNode present = objects.get(key);
                    String expected = query.get("revision");
                    if (present == null) {
                        end(exchange, 404, null);
                    } else if (expected != null
                            && !expected.equals(present.at("/metadata/revision").asText())) {
                        end(exchange, 409, present);
                    } else {
                        remove(kind, path[3]);
                        end(exchange, 200, present);
                    }
                }
            }
            default -> end(exchange, 405, null);
        }
    }

    private void replace(HttpExchange exchange, String kind, String[] path, JsonNode body) throws IOException {
        ObjectNode present = objects.get(kind + "/" + path[3]);
        JsonNode expected = body.at("/metadata/revision");
        if (present == null) {
            end(exchange, 404, null);
        } else if (!expected.isMissingNode()
                && expected.asLong() != present.at("/metadata/revision").asLong()) {
            end(exchange, 409, present);
        } else if (path.length > 4) {
            end(exchange, 200, write(kind, path[3], present.get("specification"), body.get("status")));
        } else {
            end(exchange, 200, write(kind, path[3], body.get("specification"), present.get("status")));
        }
    }

    private synchronized ObjectNode copyOf(String key) {
        return objects.get(key);
    }

    private synchronized ObjectNode list(String kind) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode items = answer.putArray("items");
        objects.forEach((key, object) -> {
            if (key.startsWith(kind + "/")) {
                items.add(object);
            }
        });
        return answer.put("hasMore", false).put("at", revision);
    }

    private synchronized ObjectNode watch(String kind, long since, String waitMillis) throws InterruptedException {
        long end = System.nanoTime() + (waitMillis == null ? 0 : Long.parseLong(waitMillis)) * 1_000_000;
        while (true) {
            ObjectNode answer = MAPPER.createObjectNode();
            ArrayNode events = answer.putArray("events");
            history.stream()
                    .filter(change -> change.kind().equals(kind) && change.revision() > since)
                    .forEach(change -> events.addObject()
                            .put("deleted", change.deleted())
                            .set("object", change.object()));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return answer.put("at", revision);
            }
            wait(left);
        }
    }

    private static void end(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
