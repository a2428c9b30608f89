package org.baobabcart.policy.cascade;

import java.util.OptionalInt;

/**
 * What follows an answer of a cascade's step. Immutable.
 *
 * @param nextStep the index of the step to try next; empty where the answer is passed on
 */
public record CascadeDecision(OptionalInt nextStep) {
    private static final CascadeDecision ACCEPT = new CascadeDecision(OptionalInt.empty());

    /** The answer is passed on. */
    public static CascadeDecision accept() {
        return ACCEPT;
    }

    /** Another step is tried. */
    public static CascadeDecision escalate(int nextStep) {
        return new CascadeDecision(OptionalInt.of(nextStep));
    }

    /** Whether the answer is passed on. */
    public boolean accepted() {
        return nextStep.isEmpty();
    }
}
