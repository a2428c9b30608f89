package org.baobabcart.standins.platform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** One open watch, whose events may be held back. Confined to the event loop. */
final class Watch {
    private final Vertx vertx;
    private final String kind;
    private final HttpServerResponse response;
    private long lastDueMillis;

    private Watch(Vertx vertx, String kind, HttpServerResponse response) {
        this.vertx = vertx;
        this.kind = kind;
        this.response = response;
    }

    /** A watch that answers on the response. */
    static Watch of(Vertx vertx, String kind, HttpServerResponse response) {
        return new Watch(vertx, kind, response);
    }

    /** Sends an event of the watched kind after the lag, never before an earlier one. */
    void send(ObjectTable.Event event, long lagMillis) {
        if (!event.kind().equals(kind)) {
            return;
        }
        JsonObject line = new JsonObject().put("type", event.type()).put("object", event.object());
        sendAfter(line, lagMillis);
    }

    /** Tells the watcher that it has seen all events up to a version. */
    void sendBookmark(long version, long lagMillis) {
        JsonObject metadata = new JsonObject().put("name", "").put("resourceVersion", Long.toString(version));
        JsonObject object = new JsonObject().put("kind", kind).put("metadata", metadata);
        sendAfter(new JsonObject().put("type", "BOOKMARK").put("object", object), lagMillis);
    }

    /** Ends the watch in good order. */
    void end() {
        if (!response.closed() && !response.ended()) {
            response.end();
        }
    }

    /** Breaks the connection. */
    void reset() {
        response.reset();
    }

    private void sendAfter(JsonObject line, long lagMillis) {
        long nowMillis = System.nanoTime() / 1_000_000;
        long dueMillis = Math.max(lastDueMillis, nowMillis + lagMillis);
        lastDueMillis = dueMillis;
        if (dueMillis <= nowMillis) {
            write(line);
        } else {
            vertx.setTimer(dueMillis - nowMillis, ignored -> write(line));
        }
    }

    private void write(JsonObject line) {
        if (!response.closed() && !response.ended()) {
            response.write(line.encode() + "\n");
        }
    }
}
