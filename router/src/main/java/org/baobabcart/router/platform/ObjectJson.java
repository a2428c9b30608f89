package org.baobabcart.router.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Reads and writes objects and events of the platform's API as JSON. Thread-safe. */
public final class ObjectJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final String RESOURCE_VERSION = "resourceVersion";
    private static final StoredObjectReader READER = StoredObjectReader.create(RESOURCE_VERSION, ObjectJson::object);
    private static final String KIND = "kind";
    private static final String TYPE = "type";
    private static final String OBJECT = "object";
    private static final String STATUS = "status";
    private static final String CREATED = "created";
    private static final String FAULT = "fault";
    private static final int MAX_MESSAGE_CHARS = 200;

    private ObjectJson() {}

    static byte[] bytes(StoredObject object) {
        return bytes(tree(object));
    }

    /** Returns an event with its object, including the status and any fault, as a watch sends it in one line; without the line's end. */
    public static byte[] line(ObjectEvent event) {
        StoredObject object = event.object();
        ObjectNode tree = tree(object);
        if (!object.status().isMissingNode()) {
            tree.set(STATUS, object.status());
        }
        if (!object.created().isEmpty()) {
            ((ObjectNode) tree.get("metadata")).put(CREATED, object.created());
        }
        object.fault().ifPresent(reason -> tree.put(FAULT, reason));
        ObjectNode root = MAPPER.createObjectNode().put(TYPE, event.type().name());
        root.set(OBJECT, tree);
        return bytes(root);
    }

    private static ObjectNode tree(StoredObject object) {
        ObjectNode metadata = MAPPER.createObjectNode().put("name", object.name());
        if (!object.resourceVersion().isEmpty()) {
            metadata.put(RESOURCE_VERSION, object.resourceVersion());
        }
        ObjectNode root = MAPPER.createObjectNode().put(KIND, object.kind());
        root.set("metadata", metadata);
        if (!object.spec().isMissingNode()) {
            root.set("spec", object.spec());
        }
        return root;
    }

    private static byte[] bytes(ObjectNode root) {
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
    }

    /** Returns the only object in a response; throws a {@link BaobabcartException} if it cannot be decoded. */
    static StoredObject object(String kind, byte[] body) {
        return READER.readOnly(kind, JsonSlice.of(body));
    }

    /** Returns the objects of a list, with their faults where they cannot be decoded. */
    static List<StoredObject> items(String kind, byte[] body) {
        JsonSlice items = JsonSlice.of(body).members().get("items");
        if (items == null) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "a list is missing")
                    .withLocation("items");
        }
        return items.elements().stream().map(item -> READER.read(kind, item)).toList();
    }

    private static StoredObject object(String kind, JsonNode root) {
        JsonNode metadata = root.path("metadata");
        return new StoredObject(
                kind,
                metadata.path("name").asText(),
                metadata.path(RESOURCE_VERSION).asText(),
                root.path("spec"),
                root.path(STATUS),
                metadata.path(CREATED).asText(),
                Optional.ofNullable(root.get(FAULT)).map(JsonNode::asText));
    }

    /**
     * Returns an event of a watch over several kinds, whose object has a fault if it cannot be decoded.
     *
     * @throws BaobabcartException with {@code RESPONSE_UNREADABLE} if the event has an unknown type or is malformed
     */
    public static ObjectEvent event(byte[] line) {
        JsonSlice object = JsonSlice.of(line).members().get(OBJECT);
        JsonSlice kind = object == null ? null : object.members().get(KIND);
        if (kind == null) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "an event without a kind");
        }
        return event(kind.parse().asText(), line);
    }

    /**
     * Returns an event of a watch, whose object has a fault if it cannot be decoded.
     *
     * @throws BaobabcartException with {@code RESPONSE_UNREADABLE} if the event has an unknown type or is malformed
     */
    static ObjectEvent event(String kind, byte[] line) {
        Map<String, JsonSlice> members = JsonSlice.of(line).members();
        JsonSlice type = members.get(TYPE);
        JsonSlice object = members.get(OBJECT);
        if (type == null || object == null) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "an event without type or object");
        }
        return new ObjectEvent(type(type.parse().asText()), READER.read(kind, object));
    }

    private static ObjectEvent.Type type(String text) {
        try {
            return ObjectEvent.Type.valueOf(text);
        } catch (IllegalArgumentException unknown) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "an event of an unknown type");
        }
    }

    /** Returns the reason in an error response, or the beginning of its body if that is not JSON. */
    static String message(byte[] body) {
        try {
            return MAPPER.readTree(body).path("reason").asText();
        } catch (IOException exception) {
            String text = new String(body, java.nio.charset.StandardCharsets.UTF_8);
            return text.substring(0, Math.min(text.length(), MAX_MESSAGE_CHARS));
        }
    }
}
