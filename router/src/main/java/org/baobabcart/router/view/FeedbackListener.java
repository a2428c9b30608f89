package org.baobabcart.router.view;

import org.baobabcart.policy.rollout.VersionOutcome;

/** Receives observations of traffic on the control thread. */
public interface FeedbackListener {
    /** Called when an upstream could not be reached or made no progress. */
    default void unreachable(String upstream) {}

    /** Called when a version completed or failed a request. */
    default void outcome(String model, String version, VersionOutcome outcome) {}
}
