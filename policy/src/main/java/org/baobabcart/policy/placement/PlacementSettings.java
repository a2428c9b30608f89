package org.baobabcart.policy.placement;

import java.time.Duration;

/**
 * Settings of placements. Immutable.
 *
 * @param maximumLoads the greatest number of loads under way in one data centre
 * @param settleTime how long engines must have been missing before a load is ordered
 * @param loadTimeout how long a load may take until it counts as failed
 * @param firstPause the pause after the first failed load of a version; it doubles with each further one
 * @param longestPause the greatest pause
 */
public record PlacementSettings(
        int maximumLoads, Duration settleTime, Duration loadTimeout, Duration firstPause, Duration longestPause) {
    private static final int MAXIMUM_LOADS = 4;
    private static final int LARGEST_DOUBLINGS = 30;

    /** The settings that the router uses. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                MAXIMUM_LOADS,
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(30),
                Duration.ofMinutes(30));
    }

    long pauseNanos(int failures) {
        long factor = 1L << Math.min(LARGEST_DOUBLINGS, failures - 1);
        return Math.min(longestPause.toNanos(), firstPause.toNanos() * factor);
    }
}
