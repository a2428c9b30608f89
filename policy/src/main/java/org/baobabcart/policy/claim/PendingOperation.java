package org.baobabcart.policy.claim;

/**
 * An operation that waits for its result. Immutable.
 *
 * @param ticket identifies the operation to its submitter
 * @param operation the operation
 * @param submittedNanos the owner's monotonic time of the submission
 * @param deadlineNanos the owner's monotonic time at which the submitter stops waiting
 */
public record PendingOperation(long ticket, ClaimOperation operation, long submittedNanos, long deadlineNanos) {}
