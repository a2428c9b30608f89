package org.baobabcart.model.sheet;

import java.util.List;

/**
 * A staged move of new work from one version of a model to another. Immutable.
 *
 * @param model the model's name
 * @param from the version in service
 * @param to the new version
 * @param stages the steps in order, with growing shares
 * @param whenControllerLost what becomes of the roll-out while nobody controls it
 */
public record RollOut(
        String model, String from, String to, List<RollOutStage> stages, ControllerLossPolicy whenControllerLost) {
    /** Copies the list of stages and rests by default. */
    public RollOut {
        stages = Lists.copyOrEmpty(stages);
        whenControllerLost = whenControllerLost == null ? ControllerLossPolicy.REST : whenControllerLost;
    }
}
