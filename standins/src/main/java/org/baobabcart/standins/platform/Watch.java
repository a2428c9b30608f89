package org.baobabcart.standins.platform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.function.BooleanSupplier;

/** An open watch request whose events can be delayed. Confined to the event loop. */
final class Watch {
    private final Vertx vertx;
    private final String kind;
    private final HttpServerResponse response;
    private final BooleanSupplier isSilent;
    private long lastDueMillis;

    private Watch(Vertx vertx, String kind, HttpServerResponse response, BooleanSupplier isSilent) {
        this.vertx = vertx;
        this.kind = kind;
        this.response = response;
        this.isSilent = isSilent;
    }

    /**
     * Creates a watch that writes its events to the response.
     *
     * @param isSilent whether the connection has gone silent, after which nothing more is written
     */
    static Watch of(Vertx vertx, String kind, HttpServerResponse response, BooleanSupplier isSilent) {
        return new Watch(vertx, kind, response, isSilent);
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
        if (isWritable()) {
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
        if (isWritable()) {
            response.write(line.encode() + "\n");
        }
    }

    private boolean isWritable() {
        return !isSilent.getAsBoolean() && !response.closed() && !response.ended();
    }
}
