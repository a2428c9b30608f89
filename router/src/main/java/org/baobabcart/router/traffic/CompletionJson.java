package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** Reads the JSON of completion responses. */
final class CompletionJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionJson() {}

    /** Parses a response body or event data; empty if it is not a JSON object. */
    static Optional<JsonNode> parse(byte[] json) {
        try {
            return Optional.of(MAPPER.readTree(json)).filter(JsonNode::isObject);
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /** Returns the text of the first choice in a complete response or in one event. */
    static String text(JsonNode response) {
        JsonNode choice = response.path("choices").path(0);
        for (String field : new String[] {"message", "delta"}) {
            if (choice.has(field)) {
                return choice.path(field).path("content").asText("");
            }
        }
        return choice.path("text").asText("");
    }

    /** Returns the sum of prompt and completion tokens in the usage; zero if there is no usage. */
    static long totalTokens(JsonNode response) {
        JsonNode usage = response.path("usage");
        return usage.path("prompt_tokens").asLong(0)
                + usage.path("completion_tokens").asLong(0);
    }
}
