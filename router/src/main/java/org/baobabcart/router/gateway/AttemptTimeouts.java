package org.baobabcart.router.gateway;

import java.time.Duration;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.router.upstream.UpstreamRequest;

/** Computes how long an attempt may make no progress before it is replaced by another one. Stateless. */
final class AttemptTimeouts {
    /** Multiple of the route's latency target after which a repeatable attempt is considered lost. */
    private static final int LOST_AFTER_TARGETS = 3;

    /** Multiple of the current time to first byte; applies if it is longer. */
    private static final int LOST_AFTER_CURRENT_LATENCIES = 4;

    /** Multiple of the route's pause target after which a stream is considered broken. */
    private static final int BROKEN_AFTER_PAUSES = 2;

    /** Leaves a third of the remaining time for another attempt. */
    private static final double SHARE_OF_TIME_LEFT = 2.0 / 3;

    private AttemptTimeouts() {}

    /**
     * Returns the progress timeouts of an attempt.
     *
     * @param pressure the current time to first byte on the route, divided by its target. Under load the first-byte timeout
     *     grows with it, since a repeated attempt would only queue again behind the work that it left.
     */
    static UpstreamRequest.ProgressTimeouts of(Route route, Duration timeLeft, double pressure) {
        RetryPolicy repeat = route.retryPolicy();
        if (!repeat.repeatable()) {
            return new UpstreamRequest.ProgressTimeouts(timeLeft, timeLeft);
        }
        Duration limit = Duration.ofNanos((long) (timeLeft.toNanos() * SHARE_OF_TIME_LEFT));
        double targets = Math.max(LOST_AFTER_TARGETS, LOST_AFTER_CURRENT_LATENCIES * pressure);
        Duration firstByte = min(Duration.ofNanos((long) (route.latencyTarget().toNanos() * targets)), limit);
        Duration pause = route.eventGapTarget().isZero()
                ? firstByte
                : min(route.eventGapTarget().multipliedBy(BROKEN_AFTER_PAUSES), timeLeft);
        return new UpstreamRequest.ProgressTimeouts(firstByte, pause);
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
