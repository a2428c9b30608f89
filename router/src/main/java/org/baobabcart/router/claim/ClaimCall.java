package org.baobabcart.router.claim;

/**
 * A call that claims an idempotency key. Immutable.
 *
 * @param workspace the workspace, within which keys are unique for each service
 * @param service the service's name
 * @param idempotencyKey the caller's key
 * @param callDigest a digest of method, path and body, by which the reuse of a key for another call is found
 * @param attemptId the id of this attempt, unique over all routers
 */
public record ClaimCall(String workspace, String service, String idempotencyKey, String callDigest, String attemptId) {}
