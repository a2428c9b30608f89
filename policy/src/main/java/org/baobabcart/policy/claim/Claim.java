package org.baobabcart.policy.claim;

import java.util.Optional;

/**
 * A claimed idempotency key. Immutable.
 *
 * @param key what is claimed
 * @param callDigest a digest of the call, by which the reuse of a key for another call is found
 * @param attemptId the one attempt that may be sent
 * @param claimant the id of the router that may send it
 * @param state what is known of the attempt
 * @param answer the answer of a finished attempt
 * @param changedAtMillis the journal's clock when the claim was made or last changed
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

    /** What is known of the attempt. */
    public enum State {
        /** It may be waiting, running or lost. */
        OPEN,
        /** The upstream answered. */
        FINISHED,
        /** It may have run; its claimant does not know. */
        UNKNOWN
    }

    /** Whether the claim belongs to the attempt. */
    public boolean belongsTo(String otherAttemptId) {
        return attemptId.equals(otherAttemptId);
    }

    /** The claim with the answer of its finished attempt. */
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

    /** The claim of an attempt of which its claimant knows no outcome. */
    public Claim unknown(long clockMillis) {
        return new Claim(
                key, callDigest, attemptId, claimant, State.UNKNOWN, Optional.empty(), clockMillis, retentionMillis);
    }

    /** Whether the claim has been kept for longer than its retention, counted from the last moment of a dispatch. */
    public boolean expired(long clockMillis) {
        return clockMillis - changedAtMillis > retentionMillis + GRANT_BOUND_MILLIS;
    }

    /** At most how many bytes the claim takes in a journal, if its texts are ASCII. */
    public int characters() {
        return FIXED_CHARACTERS
                + claimant.length()
                + answer.map(JournaledAnswer::characters).orElse(0);
    }
}
