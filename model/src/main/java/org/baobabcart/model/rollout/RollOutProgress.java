package org.baobabcart.model.rollout;

/**
 * The progress of one roll-out. Immutable.
 *
 * @param model the model's name
 * @param to the new version, which tells a later roll-out of the same model from this one
 * @param status where it stands
 * @param stage the index of the current stage, from zero
 * @param reason why it stands so, for operators
 */
public record RollOutProgress(String model, String to, RollOutStatus status, int stage, String reason) {
    /** The same roll-out in another status. */
    public RollOutProgress withStatus(RollOutStatus newStatus, String newReason) {
        return new RollOutProgress(model, to, newStatus, stage, newReason);
    }

    /** The same roll-out at another stage. */
    public RollOutProgress withStage(int newStage) {
        return new RollOutProgress(model, to, status, newStage, reason);
    }
}
