package org.baobabcart.policy.rollout;

import java.util.Optional;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.Withdrawal;

/**
 * Computes the next states of roll-outs. Stateless; each result is one accepted change and increments the generation by
 * one.
 */
public final class RollOutTransitions {
    private static final String CONTROLLER_LOST = "controller lost";
    private static final String STARTED = "started";
    private static final String ALL_STAGES = "all stages passed";

    private RollOutTransitions() {}

    /** Returns the progress of the roll-out that the sheet declares, or empty if it has not started. */
    public static Optional<RollOutProgress> progress(RollOutState state, RollOut rollOut) {
        return state.of(rollOut.model()).filter(entry -> entry.to().equals(rollOut.to()));
    }

    /** Starts the roll-out with its first stage. */
    public static RollOutState started(RollOutState state, RollOut rollOut, String controller, String writeId) {
        RollOutProgress first = new RollOutProgress(rollOut.model(), rollOut.to(), RollOutStatus.RUNNING, 0, STARTED);
        return state.withProgress(first.withController(controller), writeId);
    }

    /** Stops the roll-out and withdraws its new version, so that sessions leave that version as well. */
    public static RollOutState stopped(RollOutState state, RollOutProgress progress, String reason, String writeId) {
        RollOutState stopped = state.withProgress(progress.withStatus(RollOutStatus.STOPPED, reason), writeId);
        RollOutState withdrawn = stopped.withWithdrawal(new Withdrawal(progress.model(), progress.to()), writeId);
        return new RollOutState(stopped.generation(), writeId, withdrawn.progress(), withdrawn.withdrawals());
    }

    /** Starts the next stage, or completes the roll-out after the last one. */
    public static RollOutState advanced(RollOutState state, RollOut rollOut, RollOutProgress progress, String writeId) {
        boolean isLastStage = progress.stage() >= rollOut.stages().size() - 1;
        RollOutProgress next = isLastStage
                ? progress.withStatus(RollOutStatus.DONE, ALL_STAGES)
                : progress.withStage(progress.stage() + 1);
        return state.withProgress(next, writeId);
    }

    /** Releases control of the roll-out to another controller, at a planned stop of the current one. */
    public static RollOutState handedOver(RollOutState state, RollOutProgress progress, String writeId) {
        return state.withProgress(progress.withController(""), writeId);
    }

    /**
     * Returns the state after a node has taken control of a running roll-out, or empty if the roll-out isn't running or
     * the node already has control.
     *
     * <p>A roll-out that was handed over continues. If its controller was lost, the sheet decides whether it continues
     * or is paused until an operator resumes it.
     */
    public static Optional<RollOutState> takenOver(
            RollOutState state, RollOut rollOut, RollOutProgress progress, String controller, String writeId) {
        if (progress.status() != RollOutStatus.RUNNING || progress.controller().equals(controller)) {
            return Optional.empty();
        }
        boolean isControllerLost = !progress.controller().isEmpty();
        RollOutProgress taken = progress.withController(controller);
        boolean isPaused = isControllerLost && rollOut.whenControllerLost() == ControllerLossPolicy.REST;
        return Optional.of(state.withProgress(
                isPaused ? taken.withStatus(RollOutStatus.PAUSED, CONTROLLER_LOST) : taken, writeId));
    }
}
