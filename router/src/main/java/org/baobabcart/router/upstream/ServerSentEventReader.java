package org.baobabcart.router.upstream;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.baobabcart.model.request.EventId;

/**
 * Splits a byte stream into server-sent events as framed by the WHATWG HTML standard: an empty line ends an event.
 *
 * <p>Not thread-safe. Each event is passed to the handler with its bytes unchanged, as soon as its last byte has
 * arrived.
 */
public final class ServerSentEventReader {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final String DATA_FIELD = "data";
    private static final String DATA_PREFIX = DATA_FIELD + ":";
    private static final String ID_FIELD = "id";
    private static final String DONE = "[DONE]";

    private final Handler<Buffer> handler;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private int lineLength;

    private ServerSentEventReader(Handler<Buffer> handler) {
        this.handler = handler;
    }

    /** Creates a reader that passes events to a handler. */
    public static ServerSentEventReader create(Handler<Buffer> handler) {
        return new ServerSentEventReader(handler);
    }

    /** Reads the next chunk of the stream, and passes on each event that it completes. */
    public void read(Buffer chunk) {
        pending.appendBuffer(chunk);
        int begin = 0;
        while (scanned < pending.length()) {
            byte current = pending.getByte(scanned);
            scanned++;
            if (current == LINE_FEED) {
                boolean empty = lineLength == 0;
                lineLength = 0;
                if (empty) {
                    handler.handle(pending.getBuffer(begin, scanned));
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

    /** Returns the number of buffered bytes that do not form a complete event yet. */
    public int pendingBytes() {
        return pending.length();
    }

    /** Returns the event's data, or an empty string if there is none. */
    public static String data(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8).strip();
        if (text.startsWith(DATA_PREFIX)) {
            return text.substring(DATA_PREFIX.length()).strip();
        }
        return "";
    }

    /** Returns the event's {@code id} field, the last one if there are several; empty if it is missing or not an id. */
    public static Optional<EventId> id(Buffer event) {
        Optional<EventId> id = Optional.empty();
        int lineStart = 0;
        for (int index = 0; index < event.length(); index++) {
            if (event.getByte(index) == LINE_FEED) {
                if (isField(event, lineStart, index, ID_FIELD)) {
                    id = EventId.parse(event.getString(
                            Math.min(lineStart + ID_FIELD.length() + 1, index),
                            index,
                            StandardCharsets.ISO_8859_1.name()));
                }
                lineStart = index + 1;
            }
        }
        return id;
    }

    /**
     * Returns whether the event has data or an id. Comments, as sent by servers to keep a connection open, and reconnection
     * times have neither.
     */
    public static boolean hasDataOrId(Buffer event) {
        int lineStart = 0;
        for (int index = 0; index < event.length(); index++) {
            if (event.getByte(index) == LINE_FEED) {
                if (isField(event, lineStart, index, DATA_FIELD) || isField(event, lineStart, index, ID_FIELD)) {
                    return true;
                }
                lineStart = index + 1;
            }
        }
        return false;
    }

    /** Returns whether a line is a field of this name: the name alone, or the name and a colon. */
    private static boolean isField(Buffer event, int start, int end, String name) {
        int nameEnd = start + name.length();
        if (nameEnd > end) {
            return false;
        }
        for (int index = 0; index < name.length(); index++) {
            if (event.getByte(start + index) != name.charAt(index)) {
                return false;
            }
        }
        return nameEnd == end || event.getByte(nameEnd) == COLON || event.getByte(nameEnd) == CARRIAGE_RETURN;
    }

    /** Returns whether the data marks the end of the stream. */
    public static boolean isDone(String data) {
        return data.equals(DONE);
    }
}
