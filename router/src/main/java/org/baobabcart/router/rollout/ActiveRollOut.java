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
 * A roll-out that gives new work to its new version now. Immutable.
 *
 * @param rollOut what the sheet declares
 * @param progress where it stands
 * @param stageEpoch the number that its evidence is exchanged under
 */
record ActiveRollOut(RollOut rollOut, RollOutProgress progress, long stageEpoch) {
    /** The active roll-outs of a sheet. */
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

    /** Whether outcomes of a version are evidence for it. */
    boolean counts(String model, String version) {
        boolean either = version.equals(rollOut.to()) || version.equals(rollOut.from());
        return model.equals(rollOut.model()) && either;
    }

    /** The beginning of the present stage. */
    RollOutKey key() {
        return RollOutKey.of(progress);
    }

    /** The rules of the present stage. */
    RollOutStage stage() {
        int last = rollOut.stages().size() - 1;
        return rollOut.stages().get(Math.max(0, Math.min(progress.stage(), last)));
    }

    private static boolean isActive(RollOutStatus status) {
        return status == RollOutStatus.RUNNING || status == RollOutStatus.PAUSED;
    }
}
