package org.baobabcart.integration.claims;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * How a call ended for its caller.
 *
 * @param status the HTTP status, zero where the connection broke
 * @param requestId the router's request id, empty where there was no answer
 * @param body the body
 */
record Ending(int status, String requestId, JsonNode body) {
    boolean booked() {
        return status == 201;
    }

    String booking() {
        return body.path("booking").asText();
    }

    int code() {
        return body.path("error").path("code").asInt();
    }

    boolean saysNotRun() {
        return body.path("error").path("ran").asText().equals("no");
    }

    boolean saysUnknown() {
        return status == 0 || body.path("error").path("ran").asText().equals("unknown");
    }
}
