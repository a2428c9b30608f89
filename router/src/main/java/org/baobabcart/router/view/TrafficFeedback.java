package org.baobabcart.router.view;

import java.util.OptionalDouble;

/** Observations that traffic threads hand to the control thread over a bounded queue. Thread-safe, never blocking. */
public interface TrafficFeedback {
    /** An upstream broke the connection or crashed while it ran a request with this fingerprint. */
    void crashed(String upstream, String fingerprint);

    /** An upstream could not be reached or made no progress. */
    void unreachable(String upstream);

    /**
     * A version finished or failed a request.
     *
     * @param rating the answer's rating from 0 to 1, if it was rated
     */
    void outcome(String model, String version, boolean success, OptionalDouble rating);
}
