package org.baobabcart.standins.platform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/** An open watch request whose events can be delayed. Confined to the event loop. */
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

    /** Creates a watch that writes its events to the response. */
    static Watch of(Vertx vertx, String kind, HttpServerResponse response) {
        return new Watch(vertx, kind, response);
    }

    /** Sends an event after the lag and never before an earlier event. Ignores events of other kinds. */
    void send(ObjectTable.Event event, long lagMillis) {
        if (!event.kind().equals(kind)) {
            return;
        }
        JsonObject line = new JsonObject().put("type", event.type()).put("object", event.object());
        sendDelayed(line, lagMillis);
    }

    /** Sends a bookmark, which states that all events up to a version have been sent. */
    void sendBookmark(long version, long lagMillis) {
        JsonObject metadata = new JsonObject().put("name", "").put("resourceVersion", Long.toString(version));
        JsonObject object = new JsonObject().put("kind", kind).put("metadata", metadata);
        sendDelayed(new JsonObject().put("type", "BOOKMARK").put("object", object), lagMillis);
    }

    /** Ends the response normally. */
    void end() {
        if (!response.closed() && !response.ended()) {
            response.end();
        }
    }

    /** Aborts the response without ending it. */
    void reset() {
        response.reset();
    }

    private void sendDelayed(JsonObject line, long lagMillis) {
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
