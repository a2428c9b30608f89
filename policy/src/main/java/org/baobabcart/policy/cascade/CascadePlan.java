package org.baobabcart.policy.cascade;

import java.util.List;

/**
 * A cascade with the costs of its steps. Immutable.
 *
 * @param qualityTarget the lowest rating of a good answer, from 0 to 1
 * @param steps at least one step, in the order in which they are tried
 */
public record CascadePlan(double qualityTarget, List<CascadeStep> steps) {
    /** Copies the list. */
    public CascadePlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a cascade needs at least one step");
        }
    }

    /** Returns the index of the last step. */
    public int last() {
        return steps.size() - 1;
    }

    /** Returns whether the quality that the sheet declares for the step reaches the target. */
    public boolean declaredSufficient(int step) {
        return steps.get(step).declaredQuality() >= qualityTarget;
    }
}
