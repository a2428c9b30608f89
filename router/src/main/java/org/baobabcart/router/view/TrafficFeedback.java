package org.baobabcart.router.view;

import org.baobabcart.policy.rollout.VersionOutcome;

/**
 * Receives observations from traffic threads and passes them to the control thread over a bounded queue. Thread-safe
 * and non-blocking.
 */
public interface TrafficFeedback {
    /** Reports that an upstream could not be reached or made no progress. */
    void unreachable(String upstream);

    /** Reports that a version completed or failed a request. */
    void outcome(String model, String version, VersionOutcome outcome);

    /** Returns feedback that ignores all observations. */
    static TrafficFeedback none() {
        return new TrafficFeedback() {
            @Override
            public void unreachable(String upstream) {}

            @Override
            public void outcome(String model, String version, VersionOutcome outcome) {}
        };
    }
}
