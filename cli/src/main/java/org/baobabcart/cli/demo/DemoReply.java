package org.baobabcart.cli.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/**
 * The answer that a caller got. Immutable.
 *
 * @param status the HTTP status, zero where no whole answer came
 * @param headers headers with names in lower case
 * @param body the body as text
 */
record DemoReply(int status, Map<String, String> headers, String body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int FIRST_FAILURE_STATUS = 300;
    private static final String DONE = "data: [DONE]";
    private static final String DATA = "data: ";
    private static final String LAST_WORD = " end";

    static DemoReply broken(String reason) {
        return new DemoReply(0, Map.of(), reason);
    }

    boolean succeeded() {
        return status >= OK && status < FIRST_FAILURE_STATUS;
    }

    /** Whether this is a refusal that promises that no upstream received the request. */
    boolean refusedNotRun() {
        return "no".equals(json().path("error").path("ran").asText());
    }

    /** When a refusal says to come back, in milliseconds; zero if it does not. */
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

    /** The text of a chat answer that came in one piece. */
    String text() {
        return json().path("choices").path(0).path("message").path("content").asText();
    }

    /** Whether a chat answer in one piece is whole. */
    boolean wholeAnswer() {
        return succeeded() && text().endsWith(LAST_WORD);
    }

    /** Whether a streamed answer is whole: it has its last word and its end mark. */
    boolean wholeStream() {
        return succeeded() && body.strip().endsWith(DONE) && streamText().endsWith(LAST_WORD);
    }

    /** The text of a streamed answer as far as it came. */
    String streamText() {
        StringBuilder text = new StringBuilder();
        body.lines().filter(line -> line.startsWith(DATA + "{")).forEach(line -> text.append(delta(line)));
        return text.toString().stripTrailing();
    }

    private static String delta(String line) {
        try {
            return MAPPER.readTree(line.substring(DATA.length()))
                    .path("choices")
                    .path(0)
                    .path("delta")
                    .path("content")
                    .asText("");
        } catch (JsonProcessingException exception) {
            return "";
        }
    }

    /** A short account for the report. */
    String summary() {
        if (status == 0) {
            return "no answer: " + body;
        }
        JsonNode error = json().path("error");
        return error.isMissingNode()
                ? "status " + status
                : "status " + status + " " + error.path("code").asInt() + " "
                        + error.path("name").asText();
    }
}
