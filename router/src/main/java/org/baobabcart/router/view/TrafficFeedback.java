package org.baobabcart.router.view;

import org.baobabcart.policy.rollout.VersionOutcome;

/** Observations that traffic threads hand to the control thread over a bounded queue. Thread-safe, never blocking. */
public interface TrafficFeedback {
    /** An upstream broke the connection or crashed while it ran a request with this fingerprint. */
    void crashed(String upstream, String fingerprint);

    /** An upstream could not be reached or made no progress. */
    void unreachable(String upstream);

    /** A version finished or failed a request. */
    void outcome(String model, String version, VersionOutcome outcome);

    /** Feedback for a process whose control thread learns nothing from traffic. */
    static TrafficFeedback none() {
        return new TrafficFeedback() {
            @Override
            public void crashed(String upstream, String fingerprint) {}

            @Override
            public void unreachable(String upstream) {}

            @Override
            public void outcome(String model, String version, VersionOutcome outcome) {}
        };
    }
}
