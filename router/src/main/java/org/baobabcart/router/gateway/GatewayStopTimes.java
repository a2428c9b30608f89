package org.baobabcart.router.gateway;

import java.time.Duration;

/**
 * The times of a planned stop. Immutable.
 *
 * @param balancerDelay how long the balancer may still send after the router said that it is not ready
 * @param drain how long running requests may take after that
 * @param close how long connections may take to close after that
 */
public record GatewayStopTimes(Duration balancerDelay, Duration drain, Duration close) {
    /** The balancer takes a node out after two questions, one a second, without a good answer. */
    private static final Duration BALANCER_DELAY = Duration.ofMillis(2_600);

    private static final Duration CLOSE = Duration.ofMillis(200);
    /** Left for the end of the process itself. */
    private static final Duration RESERVE = Duration.ofMillis(400);

    /** The times of a stop that has to be over within a grace period. */
    public static GatewayStopTimes within(Duration grace) {
        Duration usable = grace.minus(RESERVE).minus(CLOSE);
        Duration delay = usable.compareTo(BALANCER_DELAY.multipliedBy(2)) > 0 ? BALANCER_DELAY : usable.dividedBy(2);
        return new GatewayStopTimes(delay, usable.minus(delay), CLOSE);
    }
}
