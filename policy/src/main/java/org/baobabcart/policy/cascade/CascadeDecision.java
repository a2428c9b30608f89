package org.baobabcart.policy.cascade;

import java.util.OptionalInt;

/**
 * Decides whether the answer of a cascade's step is accepted. Immutable.
 *
 * @param nextStep the index of the step to try next; empty if the answer is accepted
 */
public record CascadeDecision(OptionalInt nextStep) {
    private static final CascadeDecision ACCEPT = new CascadeDecision(OptionalInt.empty());

    /** Returns the decision to pass the answer on to the caller. */
    public static CascadeDecision accept() {
        return ACCEPT;
    }

    /** Returns the decision to try another step. */
    public static CascadeDecision escalate(int nextStep) {
        return new CascadeDecision(OptionalInt.of(nextStep));
    }

    /** Returns whether the answer is passed on to the caller. */
    public boolean accepted() {
        return nextStep.isEmpty();
    }
}
