package org.baobabcart.policy.claim;

import java.util.Optional;

/**
 * What came of an operation on a journal. Immutable.
 *
 * @param kind the result
 * @param claim the claim that stands for the key, where one does
 */
public record ClaimResult(Kind kind, Optional<Claim> claim) {
    /** Results and whether a stale copy of the journal suffices to tell them. */
    public enum Kind {
        /** The attempt holds the key. */
        GRANTED(false, false),
        /** The call finished before; its answer is in the claim. */
        REPLAY(true, true),
        /** Another attempt holds the key and its outcome is not stored. */
        HELD(false, true),
        /** Another attempt may have run; its claimant does not know. */
        OUTCOME_UNKNOWN(false, true),
        /** The key was used for a different call. */
        KEY_REUSED(false, true),
        /** The outcome is stored, or the release is done. */
        STORED(false, false),
        /** There is no claim of this attempt any more. */
        NO_CLAIM(false, false),
        /** The operation could not be done. */
        UNAVAILABLE(false, false);

        private final boolean permanent;

        private final boolean heldByOther;

        Kind(boolean permanent, boolean heldByOther) {
            this.permanent = permanent;
            this.heldByOther = heldByOther;
        }

        /** Whether another attempt was found to have claimed the key. */
        public boolean heldByOther() {
            return heldByOther;
        }

        /** Whether the result holds even if the journal has changed since it was read. */
        public boolean permanent() {
            return permanent;
        }
    }

    /** A result without a claim. */
    public static ClaimResult of(Kind kind) {
        return new ClaimResult(kind, Optional.empty());
    }

    /** A result with the claim that stands for the key. */
    public static ClaimResult of(Kind kind, Claim claim) {
        return new ClaimResult(kind, Optional.of(claim));
    }
}
