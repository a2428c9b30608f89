package org.baobabcart.model.request;

/**
 * What one request cost its workspace. Immutable; the request id is its identity.
 *
 * @param requestId the request that is billed
 * @param workspace who pays
 * @param model the model or service that gave the final answer
 * @param version the version that gave it, empty for services
 * @param units tokens for models, one for a service call
 */
public record Bill(String requestId, String workspace, String model, String version, long units) {}
