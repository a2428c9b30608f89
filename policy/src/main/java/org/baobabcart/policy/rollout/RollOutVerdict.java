package org.baobabcart.policy.rollout;

/**
 * The verdict on a stage. Immutable.
 *
 * @param kind the action to take
 * @param reason the reason, as text for operators
 */
public record RollOutVerdict(Kind kind, String reason) {
    /** The action to take on a stage. */
    public enum Kind {
        /** Stop the roll-out, since the new version is worse than the margins allow. */
        STOP,
        /** Continue the stage. */
        HOLD,
        /** Advance to the next stage. */
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
