package org.baobabcart.router.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Reads and writes objects and events of the platform's API as JSON. Thread-safe. */
final class ObjectJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int MAX_MESSAGE_CHARS = 200;

    private ObjectJson() {}

    static byte[] bytes(StoredObject object) {
        ObjectNode metadata = MAPPER.createObjectNode().put("name", object.name());
        if (!object.resourceVersion().isEmpty()) {
            metadata.put("resourceVersion", object.resourceVersion());
        }
        ObjectNode root = MAPPER.createObjectNode().put("kind", object.kind());
        root.set("metadata", metadata);
        root.set("spec", object.spec());
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
    }

    static StoredObject object(String kind, byte[] body) {
        return object(kind, tree(body));
    }

    static StoredObject object(String kind, JsonNode root) {
        JsonNode metadata = root.path("metadata");
        return new StoredObject(
                kind,
                metadata.path("name").asText(),
                metadata.path("resourceVersion").asText(),
                root.path("spec"));
    }

    static ObjectEvent event(String kind, byte[] line) {
        JsonNode root = tree(line);
        ObjectEvent.Type type = ObjectEvent.Type.valueOf(root.path("type").asText());
        return new ObjectEvent(type, object(kind, root.path("object")));
    }

    static JsonNode tree(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
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
