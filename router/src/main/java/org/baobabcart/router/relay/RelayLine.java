package org.baobabcart.router.relay;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.JsonSlice;
import org.baobabcart.router.platform.ObjectJson;

/**
 * The lines of a relay's stream. Events and bookmarks have the format of a watch; a bookmark ends a batch. Two further types of lines tell where
 * a log begins and how old the news are.
 */
final class RelayLine {
    /** The type of a line that tells that the log of a kind begins anew. */
    static final String RESTART = "RESTART";
    /** The type of a line that tells that the relay no longer follows a kind. */
    static final String END = "END";
    /** The type of a line with the age of the news of each kind. */
    static final String AGES = "AGES";

    static final String TYPE = "type";
    static final String KIND = "kind";
    static final String REVISION = "resourceVersion";
    static final String FAILURES = "failures";
    static final String ERA = "era";
    static final String MILLIS = "millis";
    static final String KINDS = "kinds";

    private static final byte LINE_END = '\n';

    private RelayLine() {}

    /** The age of a relay's news of a kind and the revision up to which it knows all changes. */
    record Age(long revision, long millis) {}

    /** Returns events with their revisions; the line with which the log begins tells the era. */
    static Buffer events(List<ObjectEvent> events) {
        Buffer lines = Buffer.buffer();
        events.forEach(
                event -> lines.appendBytes(ObjectJson.line(withoutEra(event))).appendByte(LINE_END));
        return lines;
    }

    private static ObjectEvent withoutEra(ObjectEvent event) {
        ResourceVersion version = ResourceVersion.of(event.object());
        return version.era().isEmpty()
                ? event
                : new ObjectEvent(event.type(), event.object().withResourceVersion(Long.toString(version.revision())));
    }

    /** Returns an event that was read from a line, with the era of its log. */
    static ObjectEvent withEra(ObjectEvent event, OptionalLong era) {
        ResourceVersion version = ResourceVersion.of(event.object());
        return era.isEmpty()
                ? event
                : new ObjectEvent(
                        event.type(),
                        event.object().withResourceVersion(new ResourceVersion(era, version.revision()).text()));
    }

    static Buffer bookmark(String kind, long revision) {
        StoredObject object =
                new StoredObject(kind, "", Long.toString(revision), JsonNodeFactory.instance.objectNode());
        return events(List.of(new ObjectEvent(ObjectEvent.Type.BOOKMARK, object)));
    }

    static Buffer restart(String kind, ResourceVersion begin, int failures) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put(TYPE, RESTART)
                .put(KIND, kind)
                .put(REVISION, begin.revision())
                .put(FAILURES, failures);
        begin.era().ifPresent(era -> root.put(ERA, era));
        return line(root);
    }

    static Buffer end(String kind) {
        return line(JsonNodeFactory.instance.objectNode().put(TYPE, END).put(KIND, kind));
    }

    static Buffer ages(Map<String, Age> ages) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put(TYPE, AGES);
        ObjectNode kinds = root.putObject(KINDS);
        ages.forEach((kind, age) ->
                kinds.putObject(kind).put(REVISION, age.revision()).put(MILLIS, age.millis()));
        return line(root);
    }

    private static Buffer line(ObjectNode root) {
        return Buffer.buffer(root.toString()).appendByte(LINE_END);
    }

    static JsonSlice required(Map<String, JsonSlice> members, String name) {
        JsonSlice value = members.get(name);
        if (value == null) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "a line without a field")
                    .withLocation(name);
        }
        return value;
    }
}
