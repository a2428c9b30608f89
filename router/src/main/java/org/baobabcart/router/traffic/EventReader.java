package org.baobabcart.router.traffic;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a byte stream into server-sent events, as the WHATWG HTML standard frames them: an event ends with an empty line.
 *
 * <p>Not thread-safe; an event is handed on as soon as its last byte is there, its bytes unchanged.
 */
final class EventReader {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String DATA_FIELD = "data:";
    private static final String DONE = "[DONE]";

    private final Handler<Buffer> events;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private int lineLength;

    private EventReader(Handler<Buffer> events) {
        this.events = events;
    }

    static EventReader create(Handler<Buffer> events) {
        return new EventReader(events);
    }

    /** Reads on and hands on every event that is complete. */
    void read(Buffer part) {
        pending.appendBuffer(part);
        int begin = 0;
        while (scanned < pending.length()) {
            byte current = pending.getByte(scanned);
            scanned++;
            if (current == LINE_FEED) {
                boolean empty = lineLength == 0;
                lineLength = 0;
                if (empty) {
                    events.handle(pending.getBuffer(begin, scanned));
                    begin = scanned;
                }
            } else if (current != CARRIAGE_RETURN) {
                lineLength++;
            }
        }
        if (begin > 0) {
            pending = pending.getBuffer(begin, pending.length());
            scanned = pending.length();
        }
    }

    /** The number of bytes that belong to no complete event yet. */
    int pendingBytes() {
        return pending.length();
    }

    /** The event's data; empty if it has none. */
    static String data(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8).strip();
        if (text.startsWith(DATA_FIELD)) {
            return text.substring(DATA_FIELD.length()).strip();
        }
        return "";
    }

    /** Whether the event's data closes the stream. */
    static boolean isDone(String data) {
        return data.equals(DONE);
    }
}
