package org.baobabcart.policy.placement;

import java.time.Duration;

/**
 * Settings of the placement policy. Immutable.
 *
 * @param maximumLoads the maximum number of concurrent loads in one data centre
 * @param settleTime how long engines must have been missing before a load is ordered
 * @param loadTimeout the time after which a load counts as failed
 * @param initialBackOff the back-off after the first failed load of a version; it doubles with each further failure
 * @param maximumBackOff the maximum back-off
 */
public record PlacementSettings(
        int maximumLoads, Duration settleTime, Duration loadTimeout, Duration initialBackOff, Duration maximumBackOff) {
    private static final int MAXIMUM_LOADS = 4;
    private static final int MAXIMUM_DOUBLINGS = 30;

    /** Returns the settings that the router uses. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                MAXIMUM_LOADS,
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(30),
                Duration.ofMinutes(30));
    }

    long backOffNanos(int failures) {
        long factor = 1L << Math.min(MAXIMUM_DOUBLINGS, failures - 1);
        return Math.min(maximumBackOff.toNanos(), initialBackOff.toNanos() * factor);
    }
}
