package org.baobabcart.policy.cascade;

import java.util.List;

/**
 * A cascade with what its steps cost. Immutable.
 *
 * @param qualityTarget the rating, from 0 to 1, below which an answer is not good enough
 * @param steps at least one step, in the order in which they are tried
 */
public record CascadePlan(double qualityTarget, List<CascadeStep> steps) {
    /** Copies the list. */
    public CascadePlan {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a cascade needs a step");
        }
    }

    /** The index of the last step. */
    public int last() {
        return steps.size() - 1;
    }

    /** Whether the sheet expects the step's answers to reach the target. */
    public boolean declaredSufficient(int step) {
        return steps.get(step).declaredQuality() >= qualityTarget;
    }
}
