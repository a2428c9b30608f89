package org.baobabcart.model.rollout;

/**
 * The progress of one roll-out. Immutable.
 *
 * @param model the model's name
 * @param to the new version, which tells a later roll-out of the same model from this one
 * @param status where it stands
 * @param stage the index of the current stage, from zero
 * @param reason why it stands so, for operators
 * @param epoch grows each time a stage begins or is begun again, so that evidence of earlier times is not counted
 * @param controller the router that controls it, with its incarnation; empty while it waits for one
 */
public record RollOutProgress(
        String model, String to, RollOutStatus status, int stage, String reason, long epoch, String controller) {
    /** Replaces a missing controller by none. */
    public RollOutProgress {
        controller = controller == null ? "" : controller;
    }

    /** A roll-out whose first stage begins and that waits for its controller. */
    public RollOutProgress(String model, String to, RollOutStatus status, int stage, String reason) {
        this(model, to, status, stage, reason, 0, "");
    }

    /** The same roll-out in another status; one that runs again begins its stage again and waits for its controller. */
    public RollOutProgress withStatus(RollOutStatus newStatus, String newReason) {
        if (newStatus == RollOutStatus.RUNNING && status != RollOutStatus.RUNNING) {
            return new RollOutProgress(model, to, newStatus, stage, newReason, epoch + 1, "");
        }
        return new RollOutProgress(model, to, newStatus, stage, newReason, epoch, controller);
    }

    /** The same roll-out at the beginning of another stage. */
    public RollOutProgress withStage(int newStage) {
        return new RollOutProgress(model, to, status, newStage, reason, epoch + 1, controller);
    }

    /** The same roll-out under another controller. */
    public RollOutProgress withController(String newController) {
        return new RollOutProgress(model, to, status, stage, reason, epoch, newController);
    }
}
