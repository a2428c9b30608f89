package org.baobabcart.load;

/**
 * A planned request of a load. Immutable.
 *
 * @param startNanos the planned start in nanoseconds since the start of the load
 * @param target the base address of the target
 * @param workspace the workspace that sends the request
 * @param rank the rank, or empty
 * @param path the path relative to the target
 * @param idempotencyKey the idempotency key of a call that must not run twice, or empty
 * @param body the JSON body
 */
record PlannedRequest(
        long startNanos,
        String target,
        LoadWorkspace workspace,
        String rank,
        String path,
        String idempotencyKey,
        String body) {
    /** Returns a copy with a different target. */
    PlannedRequest withTarget(String newTarget) {
        return new PlannedRequest(startNanos, newTarget, workspace, rank, path, idempotencyKey, body);
    }
}
