package org.baobabcart.policy.rollout;

/**
 * What becomes of a stage. Immutable.
 *
 * @param kind what to do
 * @param reason why, for operators
 */
public record RollOutVerdict(Kind kind, String reason) {
    /** What to do with a stage. */
    public enum Kind {
        /** The new version is worse than the margins allow. */
        STOP,
        /** The stage goes on. */
        HOLD,
        /** The next stage may begin. */
        ADVANCE
    }

    static RollOutVerdict stop(String reason) {
        return new RollOutVerdict(Kind.STOP, reason);
    }

    static RollOutVerdict hold(String reason) {
        return new RollOutVerdict(Kind.HOLD, reason);
    }

    static RollOutVerdict advance(String reason) {
        return new RollOutVerdict(Kind.ADVANCE, reason);
    }
}
