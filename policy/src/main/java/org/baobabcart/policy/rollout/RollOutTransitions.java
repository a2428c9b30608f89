package org.baobabcart.policy.rollout;

import java.util.Optional;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.WhenControllerLost;
import org.baobabcart.model.sheet.Withdrawal;

/** The next states of roll-outs. Stateless; each result is one accepted change and grows the generation by one. */
public final class RollOutTransitions {
    private static final String CONTROLLER_LOST = "controller lost";
    private static final String STARTED = "started";
    private static final String ALL_STAGES = "all stages passed";

    private RollOutTransitions() {}

    /** The progress of the roll-out that the sheet declares; empty where it has not begun. */
    public static Optional<RollOutProgress> progress(RollOutState state, RollOut rollOut) {
        return state.of(rollOut.model()).filter(entry -> entry.to().equals(rollOut.to()));
    }

    /** The roll-out begins with its first stage. */
    public static RollOutState started(RollOutState state, RollOut rollOut, String controller, String writeId) {
        RollOutProgress first = new RollOutProgress(rollOut.model(), rollOut.to(), RollOutStatus.RUNNING, 0, STARTED);
        return state.withProgress(first.withController(controller), writeId);
    }

    /** The roll-out is stopped and its new version withdrawn, so that sessions leave it as well. */
    public static RollOutState stopped(RollOutState state, RollOutProgress progress, String reason, String writeId) {
        RollOutState stopped = state.withProgress(progress.withStatus(RollOutStatus.STOPPED, reason), writeId);
        RollOutState withdrawn = stopped.withWithdrawal(new Withdrawal(progress.model(), progress.to()), writeId);
        return new RollOutState(stopped.generation(), writeId, withdrawn.progress(), withdrawn.withdrawals());
    }

    /** The next stage begins, or the roll-out is done after the isLastStage one. */
    public static RollOutState advanced(RollOutState state, RollOut rollOut, RollOutProgress progress, String writeId) {
        boolean isLastStage = progress.stage() >= rollOut.stages().size() - 1;
        RollOutProgress next = isLastStage
                ? progress.withStatus(RollOutStatus.DONE, ALL_STAGES)
                : progress.withStage(progress.stage() + 1);
        return state.withProgress(next, writeId);
    }

    /** The roll-out waits for another controller, since the present one stops as planned. */
    public static RollOutState handedOver(RollOutState state, RollOutProgress progress, String writeId) {
        return state.withProgress(progress.withController(""), writeId);
    }

    /**
     * The state after a node has taken control of a running roll-out; empty where it has control already.
     *
     * <p>A roll-out that waits for a controller goes on. One whose controller was isControllerLost goes on or isPaused, by the sheet; one
     * that isPaused is paused until an operator resumes it.
     */
    public static Optional<RollOutState> takenOver(
            RollOutState state, RollOut rollOut, RollOutProgress progress, String controller, String writeId) {
        if (progress.status() != RollOutStatus.RUNNING || progress.controller().equals(controller)) {
            return Optional.empty();
        }
        boolean isControllerLost = !progress.controller().isEmpty();
        RollOutProgress taken = progress.withController(controller);
        boolean isPaused = isControllerLost && rollOut.whenControllerLost() == WhenControllerLost.REST;
        return Optional.of(state.withProgress(
                isPaused ? taken.withStatus(RollOutStatus.PAUSED, CONTROLLER_LOST) : taken, writeId));
    }
}
