package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Publishes sheets by conditional update. After a write whose response was lost, the publish id of the current sheet
 * shows whether the write succeeded. Thread-safe.
 */
final class SheetPublisher {
    private static final int MAX_ATTEMPTS = 20;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final JsonCalls calls;
    private final String collection;

    SheetPublisher(JsonCalls calls, String platformUrl) {
        this.calls = calls;
        this.collection = platformUrl + "/apis/baobabcart/v1/" + ObjectKinds.SHEETS;
    }

    /** Publishes a sheet and returns its generation. */
    long publish(JsonNode sheet) {
        String publishId = RequestIds.next();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            JsonCalls.Response current = calls.get(collection + "/" + ObjectKinds.CURRENT);
            if (publishId.equals(current.body().path("spec").path("publishId").asText())) {
                return current.body().path("spec").path("generation").asLong();
            }
            write(current, publishId, sheet);
        }
        throw BaobabcartException.of(
                ResultCode.CONFLICT, "could not publish the sheet: all conditional updates failed");
    }

    private void write(JsonCalls.Response current, String publishId, JsonNode sheet) {
        ObjectNode metadata = JsonNodeFactory.instance.objectNode().put("name", ObjectKinds.CURRENT);
        ObjectNode object = JsonNodeFactory.instance.objectNode().put("kind", ObjectKinds.SHEETS);
        object.set("metadata", metadata);
        object.set("spec", spec(current.body().path("spec").path("generation").asLong(0) + 1, publishId, sheet));
        try {
            if (current.status() == NOT_FOUND) {
                calls.post(collection, object);
            } else {
                JsonNode version = current.body().path("metadata").path("resourceVersion");
                metadata.put("resourceVersion", version.asText());
                calls.put(collection + "/" + ObjectKinds.CURRENT, object);
            }
        } catch (BaobabcartException exception) {
            if (exception.code() != ResultCode.UPSTREAM_UNREACHABLE) {
                throw exception;
            }
        }
    }

    private static ObjectNode spec(long generation, String publishId, JsonNode sheet) {
        ObjectNode spec = MAPPER.createObjectNode();
        spec.put("generation", generation);
        spec.put("publishId", publishId);
        spec.put("publishedBy", "launcher");
        spec.put("publishedAtMillis", System.currentTimeMillis());
        spec.set("sheet", sheet);
        return spec;
    }
}
