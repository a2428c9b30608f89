package org.baobabcart.router.rollout;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.policy.rollout.RollOutTransitions;

/**
 * A running or paused roll-out, whose new version receives new work. Immutable.
 *
 * @param rollOut the roll-out as declared in the sheet
 * @param progress the current progress
 * @param stageEpoch the number under which routers exchange evidence of the current stage
 */
record ActiveRollOut(RollOut rollOut, RollOutProgress progress, long stageEpoch) {
    /** Returns the roll-outs of a sheet that are running or paused and whose new version is not withdrawn. */
    static List<ActiveRollOut> of(Sheet sheet, RollOutState state) {
        return sheet.rollOuts().stream()
                .filter(rollOut -> !sheet.isWithdrawn(rollOut.model(), rollOut.to()))
                .filter(rollOut -> !state.isWithdrawn(rollOut.model(), rollOut.to()))
                .map(rollOut -> RollOutTransitions.progress(state, rollOut)
                        .filter(progress -> isActive(progress.status()))
                        .map(progress -> new ActiveRollOut(
                                rollOut, progress, RollOutKey.of(progress).stageEpoch())))
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns whether outcomes of a version count as evidence in this roll-out. */
    boolean tracks(String model, String version) {
        boolean compared = version.equals(rollOut.to()) || version.equals(rollOut.from());
        return model.equals(rollOut.model()) && compared;
    }

    /** Returns the key of the current start of the stage. */
    RollOutKey stageKey() {
        return RollOutKey.of(progress);
    }

    /** Returns the rules of the current stage. */
    RollOutStage stage() {
        int last = rollOut.stages().size() - 1;
        return rollOut.stages().get(Math.max(0, Math.min(progress.stage(), last)));
    }

    private static boolean isActive(RollOutStatus status) {
        return status == RollOutStatus.RUNNING || status == RollOutStatus.PAUSED;
    }
}
