package org.baobabcart.router.traffic;

/**
 * A response to be rated. Immutable.
 *
 * @param requestId the id of the request
 * @param model the model that responded
 * @param version the version of the model
 * @param kind the kind of request, {@code chat} or {@code completion}
 * @param prompt the text of the prompt
 * @param response the text of the response
 */
public record RatingRequest(
        String requestId, String model, String version, String kind, String prompt, String response) {}
