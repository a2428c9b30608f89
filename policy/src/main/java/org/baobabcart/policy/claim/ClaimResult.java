package org.baobabcart.policy.claim;

import java.util.Optional;

/**
 * The result of an operation on a journal. Immutable.
 *
 * @param kind the kind of result
 * @param claim the current claim of the key, if there is one
 */
public record ClaimResult(Kind kind, Optional<Claim> claim) {
    /** Kinds of results. */
    public enum Kind {
        /** The attempt holds the claim. */
        GRANTED(false, false),
        /** The call has finished before; the claim contains its answer. */
        REPLAY(true, true),
        /** Another attempt holds the claim and its outcome is not stored. */
        HELD(false, true),
        /** Another attempt may have run; its claimant does not know the outcome. */
        OUTCOME_UNKNOWN(false, true),
        /** The key was used for a different call. */
        KEY_REUSED(false, true),
        /** The outcome was stored or the claim was released. */
        STORED(false, false),
        /** The attempt has no claim any more. */
        NO_CLAIM(false, false),
        /** The operation could not be completed. */
        UNAVAILABLE(false, false);

        private final boolean permanent;

        private final boolean heldByOther;

        Kind(boolean permanent, boolean heldByOther) {
            this.permanent = permanent;
            this.heldByOther = heldByOther;
        }

        /** Returns whether another attempt has claimed the key. */
        public boolean heldByOther() {
            return heldByOther;
        }

        /**
         * Returns whether the result stays valid when the journal changes, so that an outdated copy suffices to return
         * it.
         */
        public boolean permanent() {
            return permanent;
        }
    }

    /** Creates a result without a claim. */
    public static ClaimResult of(Kind kind) {
        return new ClaimResult(kind, Optional.empty());
    }

    /** Creates a result with the current claim of the key. */
    public static ClaimResult of(Kind kind, Claim claim) {
        return new ClaimResult(kind, Optional.of(claim));
    }
}
