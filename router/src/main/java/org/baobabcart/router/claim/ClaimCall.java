package org.baobabcart.router.claim;

/**
 * A call whose idempotency key is to be claimed. Immutable.
 *
 * @param workspace the workspace; keys are unique within a workspace and service
 * @param service the service's name
 * @param idempotencyKey the caller's key
 * @param callDigest a digest of method, path and body, used to detect the reuse of a key for a different call
 * @param attemptId the id of this attempt, unique across all routers
 */
public record ClaimCall(String workspace, String service, String idempotencyKey, String callDigest, String attemptId) {}
