package org.baobabcart.cli.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/**
 * Response that a caller received. Immutable.
 *
 * @param status the HTTP status, or zero if no complete response was received
 * @param headers the headers with lower-case names
 * @param body the body as text, or the failure if no complete response was received
 */
record DemoResponse(int status, Map<String, String> headers, String body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final String END_EVENT = "data: [DONE]";
    private static final String EVENT_PREFIX = "data: ";
    private static final String FINAL_TOKEN = " end";

    static DemoResponse failed(String reason) {
        return new DemoResponse(0, Map.of(), reason);
    }

    boolean succeeded() {
        return status >= OK && status < FIRST_FAILURE_STATUS;
    }

    /** Returns whether the request was rejected with the statement that no upstream received it. */
    boolean isRejectedNotRun() {
        return "no".equals(json().path("error").path("ran").asText());
    }

    /** Returns the retry delay of an error response in milliseconds, or zero if it has none. */
    long retryAfterMillis() {
        return json().path("error").path("retry_after_ms").asLong(0);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
    }

    JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return MAPPER.missingNode();
        }
    }

    /** Returns the text of a chat response that is not streamed. */
    String text() {
        return json().path("choices").path(0).path("message").path("content").asText();
    }

    /** Returns whether a chat response that is not streamed is complete. */
    boolean isCompleteChat() {
        return succeeded() && text().endsWith(FINAL_TOKEN);
    }

    /** Returns whether a streamed response is complete: it has the final token and the end event. */
    boolean isCompleteStream() {
        return succeeded() && body.strip().endsWith(END_EVENT) && streamText().endsWith(FINAL_TOKEN);
    }

    /** Returns the received text of a streamed response. */
    String streamText() {
        StringBuilder text = new StringBuilder();
        body.lines().filter(line -> line.startsWith(EVENT_PREFIX + "{")).forEach(line -> text.append(delta(line)));
        return text.toString().stripTrailing();
    }

    private static String delta(String line) {
        try {
            return MAPPER.readTree(line.substring(EVENT_PREFIX.length()))
                    .path("choices")
                    .path(0)
                    .path("delta")
                    .path("content")
                    .asText("");
        } catch (JsonProcessingException exception) {
            return "";
        }
    }

    /** Returns a short summary for the report. */
    String summary() {
        if (status == 0) {
            return "no response: " + body;
        }
        JsonNode error = json().path("error");
        return error.isMissingNode()
                ? "status " + status
                : "status " + status + " " + error.path("code").asInt() + " "
                        + error.path("name").asText();
    }
}
