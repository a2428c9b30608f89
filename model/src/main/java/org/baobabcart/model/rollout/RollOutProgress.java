package org.baobabcart.model.rollout;

/**
 * The progress of one roll-out. Immutable.
 *
 * @param model the model's name
 * @param to the new version, which distinguishes roll-outs of the same model
 * @param status the status
 * @param stage the zero-based index of the current stage
 * @param reason the reason for the status, for operators
 * @param epoch increases each time a stage starts or restarts, so that earlier evidence is not counted
 * @param controller the controlling router and its incarnation; empty while there is none
 */
public record RollOutProgress(
        String model, String to, RollOutStatus status, int stage, String reason, long epoch, String controller) {
    /** Replaces a null controller by an empty string. */
    public RollOutProgress {
        controller = controller == null ? "" : controller;
    }

    /** Creates the progress of a roll-out in its first epoch, without a controller. */
    public RollOutProgress(String model, String to, RollOutStatus status, int stage, String reason) {
        this(model, to, status, stage, reason, 0, "");
    }

    /** Returns a copy with another status. A change to running restarts the stage and clears the controller. */
    public RollOutProgress withStatus(RollOutStatus newStatus, String newReason) {
        if (newStatus == RollOutStatus.RUNNING && status != RollOutStatus.RUNNING) {
            return new RollOutProgress(model, to, newStatus, stage, newReason, epoch + 1, "");
        }
        return new RollOutProgress(model, to, newStatus, stage, newReason, epoch, controller);
    }

    /** Returns a copy at the start of another stage. */
    public RollOutProgress withStage(int newStage) {
        return new RollOutProgress(model, to, status, newStage, reason, epoch + 1, controller);
    }

    /** Returns a copy with another controller. */
    public RollOutProgress withController(String newController) {
        return new RollOutProgress(model, to, status, stage, reason, epoch, newController);
    }
}
