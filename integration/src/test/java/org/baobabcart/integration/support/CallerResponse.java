package org.baobabcart.integration.support;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse;
import java.util.Map;
import org.baobabcart.model.request.Headers;

/** The HTTP response that a caller received; status zero means that the call failed. Immutable. */
public record CallerResponse(int status, HttpHeaders headers, String body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CREATED = 201;
    private static final String END_OF_STREAM = "data: [DONE]";

    static CallerResponse of(HttpResponse<String> response) {
        return new CallerResponse(response.statusCode(), response.headers(), response.body());
    }

    static CallerResponse ofFailure(Throwable failure) {
        return new CallerResponse(0, HttpHeaders.of(Map.of(), (name, value) -> true), String.valueOf(failure));
    }

    public boolean succeeded() {
        return status / 100 == 2;
    }

    public boolean isCompleteStream() {
        return succeeded() && body.trim().endsWith(END_OF_STREAM);
    }

    public String header(String name) {
        return headers.firstValue(name).orElse("");
    }

    public String version() {
        return header(Headers.VERSION);
    }

    public String session() {
        return header(Headers.SESSION);
    }

    public JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException exception) {
            return MissingNode.getInstance();
        }
    }

    public String requestId() {
        return header(Headers.REQUEST_ID);
    }

    public boolean isBooked() {
        return status == CREATED;
    }

    public String booking() {
        return json().path("booking").asText();
    }

    public boolean reportsNotRun() {
        return ran().equals("no");
    }

    public boolean reportsUnknown() {
        return status == 0 || ran().equals("unknown");
    }

    public int code() {
        return json().path("error").path("code").asInt();
    }

    private String ran() {
        return json().path("error").path("ran").asText();
    }
}
