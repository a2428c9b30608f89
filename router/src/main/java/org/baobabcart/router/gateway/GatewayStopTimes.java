package org.baobabcart.router.gateway;

import java.time.Duration;

/**
 * Durations of the phases of a planned stop. Immutable.
 *
 * @param balancerDelay how long requests are still accepted after the router has turned not ready, until the balancer notices
 * @param drain how long running requests may take after that
 * @param close how long connections may take to close after that
 */
public record GatewayStopTimes(Duration balancerDelay, Duration drain, Duration close) {
    /** The balancer checks readiness once a second and stops using a router after two failed checks. */
    private static final Duration BALANCER_DELAY = Duration.ofMillis(2_600);

    private static final Duration CLOSE = Duration.ofMillis(200);
    /** Reserved for the exit of the process itself. */
    private static final Duration RESERVE = Duration.ofMillis(400);

    /** Divides a grace period into the phases of a stop that has to end within it. */
    public static GatewayStopTimes within(Duration grace) {
        Duration usable = grace.minus(RESERVE).minus(CLOSE);
        Duration delay = usable.compareTo(BALANCER_DELAY.multipliedBy(2)) > 0 ? BALANCER_DELAY : usable.dividedBy(2);
        return new GatewayStopTimes(delay, usable.minus(delay), CLOSE);
    }
}
