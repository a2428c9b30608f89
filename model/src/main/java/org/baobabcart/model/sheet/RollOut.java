package org.baobabcart.model.sheet;

import java.util.List;

/**
 * A staged shift of new work from one version of a model to another. Immutable.
 *
 * @param model the model's name
 * @param from the current version
 * @param to the new version
 * @param stages the stages in order, with increasing shares
 * @param whenControllerLost what happens to the roll-out while no router controls it
 */
public record RollOut(
        String model, String from, String to, List<RollOutStage> stages, ControllerLossPolicy whenControllerLost) {
    /** Copies the list of stages. The default policy is {@link ControllerLossPolicy#REST}. */
    public RollOut {
        stages = Lists.copyOrEmpty(stages);
        whenControllerLost = whenControllerLost == null ? ControllerLossPolicy.REST : whenControllerLost;
    }
}
