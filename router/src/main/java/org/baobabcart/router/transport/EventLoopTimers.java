package org.baobabcart.router.transport;

import io.vertx.core.Vertx;
import java.time.Duration;

/** Starts timers on an event loop for durations that come from settings, a configuration or a request. */
public final class EventLoopTimers {
    /** The event loop takes no shorter delay. */
    private static final Duration SHORTEST = Duration.ofMillis(1);
    /** Longer than any process runs, and far from an overflow in nanoseconds. */
    private static final Duration LONGEST = Duration.ofDays(3_660);

    private EventLoopTimers() {}

    /**
     * Starts a timer that fires once, and returns its id. A duration below a millisecond, zero or negative fires after one millisecond.
     */
    public static long start(Vertx vertx, Duration delay, Runnable action) {
        return vertx.setTimer(bounded(delay).toMillis(), ignored -> action.run());
    }

    private static Duration bounded(Duration delay) {
        if (delay.compareTo(SHORTEST) < 0) {
            return SHORTEST;
        }
        return delay.compareTo(LONGEST) > 0 ? LONGEST : delay;
    }
}
