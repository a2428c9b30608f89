package org.baobabcart.router.upstream;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Cuts a byte stream into server-sent events, as the WHATWG HTML standard frames them: an event ends with an empty line.
 *
 * <p>Not thread-safe; an event is handed on as soon as its last byte is there, its bytes unchanged.
 */
public final class EventReader {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String DATA_FIELD = "data:";
    private static final String ID_FIELD = "id:";
    private static final String DONE = "[DONE]";

    private final Handler<Buffer> events;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private int lineLength;

    private EventReader(Handler<Buffer> events) {
        this.events = events;
    }

    /** A reader that hands on events. */
    public static EventReader create(Handler<Buffer> events) {
        return new EventReader(events);
    }

    /** Reads on and hands on every event that is complete. */
    public void read(Buffer part) {
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
    public int pendingBytes() {
        return pending.length();
    }

    /** The event's data; empty if it has none. */
    public static String data(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8).strip();
        if (text.startsWith(DATA_FIELD)) {
            return text.substring(DATA_FIELD.length()).strip();
        }
        return "";
    }

    /** The event's {@code id} field; empty if it has none or one that is no number. */
    public static OptionalLong id(Buffer event) {
        int length = event.length();
        int lineStart = 0;
        for (int index = 0; index < length; index++) {
            if (event.getByte(index) == LINE_FEED) {
                if (startsWithId(event, lineStart, index)) {
                    return number(event, lineStart + ID_FIELD.length(), index);
                }
                lineStart = index + 1;
            }
        }
        return OptionalLong.empty();
    }

    private static boolean startsWithId(Buffer event, int start, int end) {
        if (end - start < ID_FIELD.length()) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length(); index++) {
            if (event.getByte(start + index) != ID_FIELD.charAt(index)) {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong number(Buffer event, int start, int end) {
        String text = event.getString(start, end).strip();
        return text.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    /** Whether the event's data closes the stream. */
    public static boolean isDone(String data) {
        return data.equals(DONE);
    }
}
