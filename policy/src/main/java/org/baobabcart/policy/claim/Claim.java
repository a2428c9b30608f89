package org.baobabcart.policy.claim;

import java.util.Optional;

/**
 * A claim on an idempotency key. Immutable.
 *
 * @param key the claimed key
 * @param callDigest a digest of the call, to detect the reuse of a key for a different call
 * @param attemptId the only attempt that may be sent
 * @param claimant the id of the router that may send it
 * @param state the state of the attempt
 * @param answer the answer of a finished attempt
 * @param changedAtMillis the journal's clock when the claim was created or last changed
 * @param retentionMillis how long the claim is kept after that
 */
public record Claim(
        ClaimKey key,
        String callDigest,
        String attemptId,
        String claimant,
        State state,
        Optional<JournaledAnswer> answer,
        long changedAtMillis,
        long retentionMillis) {
    private static final int FIXED_CHARACTERS = 300;
    private static final long GRANT_BOUND_MILLIS = Attempt.GRANT_BOUND_NANOS / 1_000_000;

    /** The state of the claimed attempt. */
    public enum State {
        /** The attempt may be waiting, running or lost. */
        OPEN,
        /** The upstream answered. */
        FINISHED,
        /** The attempt may have run; its claimant does not know the outcome. */
        UNKNOWN
    }

    /** Returns whether the claim belongs to the attempt. */
    public boolean belongsTo(String otherAttemptId) {
        return attemptId.equals(otherAttemptId);
    }

    /** Returns the claim with the answer of its finished attempt. */
    public Claim finished(JournaledAnswer newAnswer, long clockMillis) {
        return new Claim(
                key,
                callDigest,
                attemptId,
                claimant,
                State.FINISHED,
                Optional.of(newAnswer),
                clockMillis,
                retentionMillis);
    }

    /** Returns the claim in the state {@link State#UNKNOWN}. */
    public Claim unknown(long clockMillis) {
        return new Claim(
                key, callDigest, attemptId, claimant, State.UNKNOWN, Optional.empty(), clockMillis, retentionMillis);
    }

    /**
     * Returns whether the retention has passed, counted from the latest time at which the attempt may have been
     * dispatched.
     */
    public boolean expired(long clockMillis) {
        return clockMillis - changedAtMillis > retentionMillis + GRANT_BOUND_MILLIS;
    }

    /** Returns an upper bound on the size of the claim in a journal, in bytes, if its texts are ASCII. */
    public int characters() {
        return FIXED_CHARACTERS
                + claimant.length()
                + answer.map(JournaledAnswer::characters).orElse(0);
    }
}
