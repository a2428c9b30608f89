package org.baobabcart.router.view;

import org.baobabcart.policy.rollout.VersionOutcome;

/** Takes in observations of traffic on the control thread. */
public interface FeedbackListener {
    /** An upstream broke the connection or crashed while it ran a request with this fingerprint. */
    default void crashed(String upstream, String fingerprint) {}

    /** An upstream could not be reached or made no progress. */
    default void unreachable(String upstream) {}

    /** A version finished or failed a request. */
    default void outcome(String model, String version, VersionOutcome outcome) {}
}
