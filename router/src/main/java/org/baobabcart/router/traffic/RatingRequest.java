package org.baobabcart.router.traffic;

/**
 * An answer that is to be rated. Immutable.
 *
 * @param requestId the request
 * @param model the model that answered
 * @param version its version
 * @param kind the kind of work, {@code chat} or {@code completion}
 * @param prompt what was asked
 * @param answer what was answered
 */
public record RatingRequest(
        String requestId, String model, String version, String kind, String prompt, String answer) {}
