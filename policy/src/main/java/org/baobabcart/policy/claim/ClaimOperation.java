package org.baobabcart.policy.claim;

import java.util.Optional;

/** An idempotent change to a journal, requested by a router. */
public sealed interface ClaimOperation {
    /** Returns the key that the operation changes. */
    ClaimKey key();

    /** Returns the attempt on whose behalf the change is made. */
    String attemptId();

    /**
     * Claims a key for an attempt. Immutable.
     *
     * @param key the key to claim
     * @param callDigest a digest of the call
     * @param attemptId the attempt
     * @param claimant the id of the router that makes the attempt
     * @param retentionMillis how long to keep the claim
     * @param replaces an attempt that its claimant has abandoned, and whose claim may be taken over
     */
    record Acquire(
            ClaimKey key,
            String callDigest,
            String attemptId,
            String claimant,
            long retentionMillis,
            Optional<String> replaces)
            implements ClaimOperation {
        /** Returns a copy that may take over the claim of an abandoned attempt. */
        public Acquire replacing(String otherAttemptId) {
            return new Acquire(key, callDigest, attemptId, claimant, retentionMillis, Optional.of(otherAttemptId));
        }
    }

    /**
     * Stores the answer of a finished attempt. Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     * @param answer the answer
     */
    record Finish(ClaimKey key, String attemptId, JournaledAnswer answer) implements ClaimOperation {}

    /**
     * Records that the claimant does not know the outcome. Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     */
    record MarkUnknown(ClaimKey key, String attemptId) implements ClaimOperation {}

    /**
     * Removes the claim of an attempt that no upstream received and that will never be sent. The journal is written
     * even if the claim is absent: the new version causes a conflict for an earlier write that is still in transit and
     * whose answer was lost. Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     */
    record Release(ClaimKey key, String attemptId) implements ClaimOperation {}
}
