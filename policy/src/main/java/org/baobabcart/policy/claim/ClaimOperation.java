package org.baobabcart.policy.claim;

import java.util.Optional;

/** A change that a router wants made to a journal. Applying one twice has the effect of applying it once. */
public sealed interface ClaimOperation {
    /** The key concerned. */
    ClaimKey key();

    /** The attempt on whose behalf the change is made. */
    String attemptId();

    /**
     * Claims a key for an attempt. Immutable.
     *
     * @param key what is claimed
     * @param callDigest a digest of the call
     * @param attemptId the attempt
     * @param claimant the id of the router that makes the attempt
     * @param retentionMillis how long the claim is to be kept
     * @param replaces an attempt whose claimant has said that it never sends it, and whose claim may be taken over
     */
    record Acquire(
            ClaimKey key,
            String callDigest,
            String attemptId,
            String claimant,
            long retentionMillis,
            Optional<String> replaces)
            implements ClaimOperation {
        /** The same claim, allowed to take over from an attempt that is never sent. */
        public Acquire replacing(String otherAttemptId) {
            return new Acquire(key, callDigest, attemptId, claimant, retentionMillis, Optional.of(otherAttemptId));
        }
    }

    /**
     * Stores the answer of a finished attempt. Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     * @param answer its answer
     */
    record Finish(ClaimKey key, String attemptId, JournaledAnswer answer) implements ClaimOperation {}

    /**
     * Records that the claimant knows no outcome. Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     */
    record MarkUnknown(ClaimKey key, String attemptId) implements ClaimOperation {}

    /**
     * Removes the claim of an attempt that no upstream received and that is never sent. It is written even where the
     * claim is absent: the new version makes an earlier write fail whose answer was lost and that may still arrive.
     * Immutable.
     *
     * @param key the claimed key
     * @param attemptId the attempt
     */
    record Release(ClaimKey key, String attemptId) implements ClaimOperation {}
}
