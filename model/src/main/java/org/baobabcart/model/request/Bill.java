package org.baobabcart.model.request;

/**
 * The billed usage of one request. Immutable. The request id identifies the bill.
 *
 * @param requestId the id of the billed request
 * @param workspace the billed workspace
 * @param model the model or service that produced the final answer
 * @param version the version that produced it; empty for services
 * @param units the number of tokens for models; one for a service call
 */
public record Bill(String requestId, String workspace, String model, String version, long units) {}
