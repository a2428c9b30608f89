package org.baobabcart.load;

/**
 * One request of a load. Immutable.
 *
 * @param startNanos its planned start in nanoseconds from the beginning of the load
 * @param target the base address it goes to first
 * @param workspace who sends it
 * @param rank its rank, or empty
 * @param path the path below the target
 * @param idempotencyKey the key of a call that may not be repeated, or empty
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
    /** The same request to another target. */
    PlannedRequest withTarget(String newTarget) {
        return new PlannedRequest(startNanos, newTarget, workspace, rank, path, idempotencyKey, body);
    }
}
