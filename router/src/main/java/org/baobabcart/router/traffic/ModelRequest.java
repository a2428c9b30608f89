package org.baobabcart.router.traffic;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.crash.RequestFingerprint;

/**
 * A chat or text completion request. Immutable by contract: the tree must not be modified after construction.
 *
 * @param kind the kind of request
 * @param body the body as received
 * @param model the requested model, model version or cascade
 * @param stream whether the response is streamed
 * @param prompt the text of the prompt
 */
record ModelRequest(Kind kind, ObjectNode body, String model, boolean stream, String prompt) {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final int AFFINITY_PREFIX_LENGTH = 256;
    /** The first messages are the ones that prompts have in common. */
    private static final int MAX_PARTS = 8;

    private static final int DEFAULT_MAX_TOKENS = 1024;

    /** The kinds of requests to models. */
    enum Kind {
        CHAT("/v1/chat/completions", "messages", "chat"),
        COMPLETION("/v1/completions", "prompt", "completion");

        private final String path;
        private final String promptField;
        private final String label;

        Kind(String path, String promptField, String label) {
            this.path = path;
            this.promptField = promptField;
            this.label = label;
        }

        String path() {
            return path;
        }

        String label() {
            return label;
        }
    }

    /** Parses a request body; fails with {@code BAD_REQUEST}. */
    static ModelRequest parse(Kind kind, Buffer body) {
        ObjectNode tree = tree(body);
        JsonNode model = tree.path("model");
        if (!model.isTextual() || model.textValue().isBlank()) {
            throw badRequest("$.model must be a string");
        }
        JsonNode stream = tree.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw badRequest("$.stream must be true or false");
        }
        JsonNode prompt = tree.path(kind.promptField);
        boolean valid = kind == Kind.CHAT ? prompt.isArray() && !prompt.isEmpty() : isPrompt(prompt);
        if (!valid) {
            throw badRequest("$." + kind.promptField + " is missing or has the wrong type");
        }
        return new ModelRequest(kind, tree, model.textValue(), stream.asBoolean(false), text(prompt));
    }

    /** Returns the body to send to an upstream that runs the given model. */
    Buffer upstreamBody(String upstreamModel) {
        ObjectNode changed = body.deepCopy();
        changed.put("model", upstreamModel);
        if (stream) {
            changed.withObjectProperty("stream_options").put("include_usage", true);
        }
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(changed));
        } catch (JacksonException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
    }

    /** Returns whether the caller asked for the usage event. */
    boolean wantsUsage() {
        return body.path("stream_options").path("include_usage").asBoolean(false);
    }

    /** Returns the fingerprint of the prompt. Each message of a chat but the last is a part that other prompts may share. */
    RequestFingerprint fingerprint() {
        JsonNode content = body.get(kind.promptField);
        List<String> parts = new ArrayList<>();
        int shared = kind == Kind.CHAT ? Math.min(content.size() - 1, MAX_PARTS) : 0;
        for (int index = 0; index < shared; index++) {
            parts.add(KeyHash.of(content.get(index).toString()));
        }
        return new RequestFingerprint(KeyHash.of(content.toString()), parts);
    }

    /**
     * Returns the first characters of a long prompt, so that requests with a common prefix share an affinity; empty for
     * a short prompt.
     */
    String affinity() {
        return prompt.length() < AFFINITY_PREFIX_LENGTH
                ? ""
                : model + ":" + prompt.substring(0, AFFINITY_PREFIX_LENGTH);
    }

    /** Returns the maximum number of tokens in the response. */
    int maxTokens() {
        JsonNode limit =
                body.hasNonNull("max_completion_tokens") ? body.get("max_completion_tokens") : body.path("max_tokens");
        return limit.canConvertToInt() && limit.intValue() > 0 ? limit.intValue() : DEFAULT_MAX_TOKENS;
    }

    private static boolean isPrompt(JsonNode prompt) {
        return prompt.isTextual() || (prompt.isArray() && !prompt.isEmpty());
    }

    private static ObjectNode tree(Buffer body) {
        try {
            JsonNode tree = MAPPER.readTree(body.getBytes());
            if (tree instanceof ObjectNode object) {
                return object;
            }
            throw badRequest("the body must be a JSON object");
        } catch (JacksonException exception) {
            throw badRequest("the body is not JSON: " + exception.getOriginalMessage());
        } catch (IOException exception) {
            throw badRequest("the body cannot be read");
        }
    }

    private static String text(JsonNode node) {
        if (node.isTextual()) {
            return node.textValue();
        }
        if (node.isArray()) {
            return StreamSupport.stream(node.spliterator(), false)
                    .map(ModelRequest::text)
                    .collect(Collectors.joining("\n"));
        }
        if (node.has("content")) {
            return text(node.get("content"));
        }
        return node.path("text").asText("");
    }

    private static BaobabcartException badRequest(String detail) {
        return BaobabcartException.of(ResultCode.BAD_REQUEST, detail);
    }
}
